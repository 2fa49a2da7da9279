//! Runs the scenarios, text files of events and expected decisions, on a balancer without a host. [`runner`]
//! describes the syntax of the files.

#[path = "../support/mod.rs"]
mod support;

mod parse;
mod runner;

use test_case::test_case;

macro_rules! scenario {
    ($name:literal) => {
        include_str!(concat!($name, ".txt"))
    };
}

#[test_case(scenario!("ordinary-path"); "ordinary path")]
#[test_case(scenario!("outcomes"); "outcomes")]
#[test_case(scenario!("client-timeout"); "client timeout")]
#[test_case(scenario!("effects"); "effects")]
#[test_case(scenario!("draining"); "draining")]
#[test_case(scenario!("warm-up"); "warm up")]
#[test_case(scenario!("warm-up-latency"); "warm up while answers take longer")]
#[test_case(scenario!("many-nodes"); "many nodes")]
#[test_case(scenario!("restart"); "restart")]
#[test_case(scenario!("request-coalescing"); "request coalescing")]
#[test_case(scenario!("unresponsive-cache"); "unresponsive cache")]
#[test_case(scenario!("learning"); "learning")]
#[test_case(scenario!("watch-backoff"); "watch backoff")]
#[test_case(scenario!("watch-timeout"); "watch timeout")]
#[test_case(scenario!("reported-held"); "reported held")]
#[test_case(scenario!("reported-waiting"); "reported waiting")]
#[test_case(scenario!("reported-stale"); "reported stale")]
#[test_case(scenario!("reported-queueing-time"); "reported queueing time")]
#[test_case(scenario!("slow-cache-pause"); "slow cache pause")]
#[test_case(scenario!("slow-limit-growth"); "slow limit growth")]
#[test_case(scenario!("bounded-state"); "bounded state")]
#[test_case(scenario!("heavy-key"); "heavy key")]
#[test_case(scenario!("late-answers-only"); "late answers only")]
#[test_case(scenario!("value-after-slo"); "value after slo")]
#[test_case(scenario!("tightest-slo"); "tightest slo")]
#[test_case(scenario!("list-on-request"); "list on request")]
#[test_case(scenario!("settings-update"); "settings update")]
#[test_case(scenario!("congested-cache"); "congested cache")]
#[test_case(scenario!("overtaken-attempt"); "overtaken attempt")]
#[test_case(scenario!("timeouts-and-limit"); "timeouts and limit")]
#[test_case(scenario!("unresponsive-zone"); "unresponsive zone")]
#[test_case(scenario!("last-attempt"); "last attempt")]
#[test_case(scenario!("all-candidates-failing"); "all candidates failing")]
#[test_case(scenario!("control-plane"); "control plane")]
#[test_case(scenario!("slow-origin-limit"); "slow origin limit")]
#[test_case(scenario!("read-through"); "read through")]
#[test_case(scenario!("doubted-list"); "doubted list")]
#[test_case(scenario!("empty-list"); "empty list")]
#[test_case(scenario!("unknown-work"); "unknown work")]
fn scenario(text: &str) {
    runner::run(text);
}
