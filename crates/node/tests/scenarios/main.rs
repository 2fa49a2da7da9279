//! Runs the node's scenarios: text files of commands, run against the program itself with scripted clients, endpoints and
//! a discovery on loopback, or against the parser alone.
//!
//! Commands are run in order; each waits for what it names. Before `start`:
//!
//! - `settings K=JSON ...`, `limits sockets=N`: keys of the configuration, a dot goes deeper.
//! - `known NAME ...`: the endpoint list that the node has at the start.
//!
//! Discovery. An endpoint's name may have `:STATE`, `@BOOT_MS` (or `@now-MS`) and `~ZONE#CELL` (nothing after `#`: no cell)
//! after it, and `=OTHER` before these for an endpoint at the address of another; `?` is an invalid entry.
//!
//! - `watch-request [after=N] [within=MS]`: the node requests the watch, at most so long after the last line;
//!   `while=trickle` or `while=heartbeats` writes an incomplete line, or empty lines, on the former watch meanwhile.
//! - `accept-watch`: answers with a head. `watch`: both. `interim-response`: answers with a status of 103.
//! - `watch-pending MS`: the request is left open and no other one is made. `refuse-watch`: answers with 503.
//! - `close-watch`, `silence-watch`: ends the watch, or sends nothing more on it.
//! - `list NAME ...`, `change NAME ...`: sends the complete list, or changes. `change-over-lines`, `change-indented`: the
//!   same over several lines. `partial-change`: the first half of it. `set-revision N`: the next list follows revision N.
//! - `heartbeat`, `malformed-list`, `cut-off-list`: sends an empty line, an invalid list, the start of one.
//! - `move-discovery`: the next configuration names another address. `former-change NAME ...`, `former-closed`: as before,
//!   on the former watch.
//!
//! Clients.
//!
//! - `request CLIENT CLASS KEY id=ID [timeout=MS] [put=BODY] [close]`, `send CLIENT TEXT`: writes.
//! - `disconnect`, `reset-client`, `half-close CLIENT`: closes, resets, or closes for writing.
//! - `stop-reading CLIENT`, `resume-reading CLIENT`: connects with a small buffer and reads nothing until resumed.
//! - `response CLIENT STATUS [body=TEXT] [+ HEADER: VALUE]`, `client-closed CLIENT`, `client-open CLIENT`: checks.
//! - `idle-clients N`, `partial-clients N`, `health-clients N`, `request-clients N`: clients connect and send nothing, part of
//!   a request, a health check, a request each; they are named `idle0`, `partial0`, `health0`, `crowd0` and so on.
//!
//! Endpoints. An upper-case name stands for the endpoint that it is first seen at, `any` for any.
//!
//! - `attempt ENDPOINT ID [put=BODY] [left=MS]`: an attempt arrives, with at most this time left.
//! - `reply ID STATUS [body=TEXT] [+ HEADER: VALUE]`, `reply-part ID TEXT`: answers it.
//! - `reset-attempt ID`, `close-attempt ID`: ends its connection. `attempt-closed ID`: the node has ended it.
//! - `connection-count ENDPOINT N`: the number of connections made so far.
//! - `kill ENDPOINT`, `block ENDPOINT`, `unblock ENDPOINT` (also `discovery`): connections are refused, or not answered.
//!
//! The program and time.
//!
//! - `start`, `stop`, `exits`, `freeze`, `resume`, `reload [K=JSON ...]`, `limit-descriptors N`.
//! - `low-cpu MS`: the node hardly uses its core. `quiet MS`: nothing happens. `wait MS`.
//!
//! Without a process.
//!
//! - `invalid KEY JSON says KEY`: checks that a configuration is refused.
//! - `report TEXT [says NAME=VALUE ...]`: parses a load report.
//! - `attempt-end REASON partly-written|fully-written OUTCOME`: the outcome of an attempt whose connection was closed.
//! - `decode request|response TEXT` and the expected messages as `> ...`: decodes at once, byte by byte, and split at each
//!   position.

mod connection;
mod harness;
mod in_process;
mod notation;

use harness::Harness;
use test_case::test_case;

#[test_case(include_str!("answers.txt"); "answers")]
#[test_case(include_str!("bad-input.txt"); "bad_input")]
#[test_case(include_str!("cold.txt"); "cold")]
#[test_case(include_str!("configuration.txt"); "configuration")]
#[test_case(include_str!("crowd.txt"); "crowd")]
#[test_case(include_str!("crowd-memory.txt"); "crowd_memory")]
#[test_case(include_str!("deaf-discovery.txt"); "deaf_discovery")]
#[test_case(include_str!("descriptors.txt"); "descriptors")]
#[test_case(include_str!("drained-early.txt"); "drained_early")]
#[test_case(include_str!("drains.txt"); "drains")]
#[test_case(include_str!("wrong-list.txt"); "wrong list")]
#[test_case(include_str!("attempt-ends.txt"); "attempt_ends")]
#[test_case(include_str!("gone-as-it-came-up.txt"); "gone_as_it_came_up")]
#[test_case(include_str!("gone-with-call.txt"); "gone_with_call")]
#[test_case(include_str!("half-answer.txt"); "half_answer")]
#[test_case(include_str!("junk.txt"); "junk")]
#[test_case(include_str!("moved-and-refused.txt"); "moved_and_refused")]
#[test_case(include_str!("never-sent.txt"); "never_sent")]
#[test_case(include_str!("never-up.txt"); "never_up")]
#[test_case(include_str!("one-answer.txt"); "one_answer")]
#[test_case(include_str!("outcomes.txt"); "outcomes")]
#[test_case(include_str!("parsers.txt"); "parsers")]
#[test_case(include_str!("pipelined-times.txt"); "pipelined_times")]
#[test_case(include_str!("refused.txt"); "refused")]
#[test_case(include_str!("late-up.txt"); "late_up")]
#[test_case(include_str!("late-up-gone.txt"); "late_up_gone")]
#[test_case(include_str!("last-look.txt"); "last_look")]
#[test_case(include_str!("last-look-crowd.txt"); "last_look_crowd")]
#[test_case(include_str!("load-reports.txt"); "load_reports")]
#[test_case(include_str!("migrate.txt"); "migrate")]
#[test_case(include_str!("migrate-refused.txt"); "migrate_refused")]
#[test_case(include_str!("reload.txt"); "reload")]
#[test_case(include_str!("rude-crowd.txt"); "rude_crowd")]
#[test_case(include_str!("rude.txt"); "rude")]
#[test_case(include_str!("stop.txt"); "stop")]
#[test_case(include_str!("stop-frozen.txt"); "stop_frozen")]
#[test_case(include_str!("stop-late-call.txt"); "stop_late_call")]
#[test_case(include_str!("stop-rested-late.txt"); "stop_rested_late")]
#[test_case(include_str!("stop-unread.txt"); "stop_unread")]
#[test_case(include_str!("takeover.txt"); "takeover")]
#[test_case(include_str!("same-table.txt"); "same_table")]
#[test_case(include_str!("second-answer.txt"); "second_answer")]
#[test_case(include_str!("sent-much-and-left.txt"); "sent_much_and_left")]
#[test_case(include_str!("silent-cache.txt"); "silent_cache")]
#[test_case(include_str!("silent-watch.txt"); "silent_watch")]
#[test_case(include_str!("starved.txt"); "starved")]
#[test_case(include_str!("stop-idle.txt"); "stop_idle")]
#[test_case(include_str!("torn-answer.txt"); "torn_answer")]
#[test_case(include_str!("unasked.txt"); "unasked")]
#[test_case(include_str!("unnamed-zones.txt"); "unnamed_zones")]
#[test_case(include_str!("watch.txt"); "watch")]
#[test_case(include_str!("watch-broken-off.txt"); "watch_broken_off")]
#[test_case(include_str!("watch-drips.txt"); "watch_drips")]
#[test_case(include_str!("watch-first-beat.txt"); "watch_first_beat")]
#[test_case(include_str!("watch-hinted.txt"); "watch_hinted")]
#[test_case(include_str!("watch-moved-while-refused.txt"); "watch_moved_while_refused")]
#[test_case(include_str!("watch-older-list.txt"); "watch_older_list")]
#[test_case(include_str!("watch-renamed.txt"); "watch_renamed")]
#[test_case(include_str!("watch-slow-answer.txt"); "watch_slow_answer")]
#[test_case(include_str!("watch-spread.txt"); "watch_spread")]
#[test_case(include_str!("watch-unanswered.txt"); "watch_unanswered")]
fn run_scenario(text: &str) {
    let mut harness = None;
    let lines: Vec<_> =
        text.lines().map(str::trim).filter(|line| !line.is_empty() && !line.starts_with('#')).collect();
    for (index, line) in lines.iter().enumerate() {
        if let Some(arguments) = line.strip_prefix("decode ") {
            let expected = lines[index + 1..].iter().map_while(|line| line.strip_prefix("> "));
            in_process::check_decoder(arguments, &expected.collect::<Vec<_>>());
        } else if !line.starts_with("> ") {
            harness.get_or_insert_with(Harness::new).run(line);
        }
    }
}
