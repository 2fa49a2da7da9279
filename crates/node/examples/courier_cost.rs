//! What the courier costs the loop: CPU a call of a node with an operator's file beside one without, under the
//! same load on loopback. `cargo build --release`, then
//! `cargo run --release -p granitelb-node --example courier_cost [TIMES [SECONDS]]`.

#[path = "../tests/together/stage.rs"]
#[allow(dead_code, reason = "the tests use more of it")]
mod stage;

use std::path::Path;
use std::time::{Duration, Instant};

use granitelb_coordination::membership;
use granitelb_coordination::message::Message;
use stage::{Client, Stage};

const CLIENTS: usize = 8;
const OPERATOR: &str =
    "forwarders = 300\n[leases]\norigin_per_s = 1000.0\n[growth]\nshard_bytes = 1000000000\n[hindsight]\n";

/// Time on a core, in microseconds: of the loop's thread, and of all.
fn busy(process: u32) -> (f64, f64) {
    let tasks = std::fs::read_dir(format!("/proc/{process}/task")).expect("a process");
    let (mut own, mut all) = (0.0, 0.0);
    for task in tasks.flatten() {
        let text = std::fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        let ns: f64 = text.split(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0.0);
        all += ns / 1e3;
        if task.file_name().to_str() == Some(process.to_string().as_str()) {
            own += ns / 1e3;
        }
    }
    (own, all)
}

/// CPU a call: of the loop alone, of the loop with the courier, of all threads with it; and calls a second at each.
/// Every client asks both nodes in turn, so that whatever else the machine does falls to both.
fn play(program: &Path, folder: &Path, gap: Duration, seconds: f64, swapped: bool) -> [f64; 4] {
    let start = |operator, n| Stage::start(program, folder, &format!("127.84.9.{n}"), operator, 200);
    let (off, mut on) = if swapped {
        let on = start(Some(OPERATOR), 2);
        (start(None, 1), on)
    } else {
        (start(None, 1), start(Some(OPERATOR), 2))
    };
    let nodes = [off.node, on.node];
    let load = move |seconds: f64| {
        let until = Instant::now() + Duration::from_secs_f64(seconds);
        let ask = move |client: usize| {
            let mut connections = nodes.map(Client::new);
            let mut asked = 0u64;
            let mut due = Instant::now();
            while Instant::now() < until {
                // Whoever is second finds a machine that is awake: both are as often.
                connections.reverse();
                for connection in &mut connections {
                    assert_eq!(connection.ask(&format!("k{}-{client}-{asked}", asked % 500)), 200);
                }
                asked += 1;
                due += gap;
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
            }
            asked
        };
        let clients: Vec<_> = (0..CLIENTS).map(|n| std::thread::spawn(move || ask(n))).collect();
        clients.into_iter().map(|c| c.join().expect("calls")).sum::<u64>()
    };
    load(0.5);
    let before = [busy(off.child.id()), busy(on.child.id())];
    let calls = std::thread::scope(|scope| {
        let load = scope.spawn(|| load(seconds));
        while !load.is_finished() {
            if on.planner.hear().is_some() {
                on.planner.say(&Message::Membership(membership::MembershipMessage::Heartbeat));
            }
        }
        load.join().expect("calls")
    }) as f64;
    let after = [busy(off.child.id()), busy(on.child.id())];
    let own = |n: usize| (after[n].0 - before[n].0) / calls;
    [own(0), own(1), (after[1].1 - before[1].1) / calls, calls / seconds]
}

fn main() {
    let argument = |n| std::env::args().nth(n).and_then(|text| text.parse::<f64>().ok());
    let (times, seconds) = (argument(1).unwrap_or(8.0) as usize, argument(2).unwrap_or(4.0));
    let own = std::env::current_exe().expect("a path");
    let program = own.parent().and_then(Path::parent).expect("a folder").join("granitelb");
    let folder = std::env::temp_dir();
    println!(
        "| calls a second | loop alone, us a call | with the courier | more: median, least, most | all its threads |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for gap_us in [40_000, 4_000, 0] {
        let gap = Duration::from_micros(gap_us);
        let seen: Vec<_> = (0..times).map(|n| play(&program, &folder, gap, seconds, n % 2 == 1)).collect();
        let sorted = |of: &dyn Fn(&[f64; 4]) -> f64| {
            let mut all: Vec<_> = seen.iter().map(of).collect();
            all.sort_by(f64::total_cmp);
            all
        };
        let median = |n: usize| sorted(&|s| s[n])[times / 2];
        let more = sorted(&|s| (s[1] / s[0] - 1.0) * 100.0);
        println!(
            "| {:.0} | {:.1} | {:.1} | {:+.1}%, {:+.1}%, {:+.1}% | {:.1} |",
            median(3),
            median(0),
            median(1),
            more[times / 2],
            more[0],
            more[times - 1],
            median(2)
        );
    }
}
