//! Measures the effect of datagram floods on a planner and on a node. The fleet consists of three planners
//! and six nodes, which are processes of the program given as the first argument. Prints a table of the
//! requests and the leases.

#[path = "../tests/control_plane/fleet.rs"]
#[allow(dead_code, reason = "the tests use more of the module")]
mod fleet;
#[path = "../tests/control_plane/flood.rs"]
mod flood;
#[path = "../tests/control_plane/node_fixture.rs"]
#[allow(dead_code, reason = "the tests use more of the module")]
mod node_fixture;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use self::fleet::{Fleet, RequestCounts};
use self::flood::FloodKind;

const DATAGRAMS_PER_S: u64 = 50_000;
const FLOOD_TIME: Duration = Duration::from_secs(6);
/// Duration for which requests are counted before the flood.
const BASELINE_TIME: Duration = Duration::from_secs(3);

/// The receiver of a flood.
#[derive(Clone, Copy)]
enum Target {
    Planner,
    Node,
}

impl Target {
    fn name(self) -> &'static str {
        match self {
            Target::Planner => "a planner",
            Target::Node => "a node",
        }
    }

    fn address(self, fleet: &Fleet) -> SocketAddr {
        match self {
            Target::Planner => fleet.message_addresses[0],
            Target::Node => fleet.message_address_of(0),
        }
    }
}

fn main() {
    let program = std::env::args().nth(1).expect("the program as the first argument");
    println!(
        "| flood | target | datagrams per second | members reported silent | reports of no leases | answered before | during | fetches per second before | during |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for kind in FloodKind::ALL {
        for target in [Target::Planner, Target::Node] {
            println!("| {} |", measure(Path::new(&program), kind, target));
        }
    }
}

/// Starts a fleet, floods the target, and returns a row of the table.
fn measure(program: &Path, kind: FloodKind, target: Target) -> String {
    let folder = std::env::temp_dir().join(format!("flood-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let fleet = Fleet::start(program, &folder, 86, (3, 6), 300.0);
    let targets = [target.address(&fleet)];
    let datagrams = flood::datagrams(kind, DATAGRAMS_PER_S * (FLOOD_TIME.as_secs() + 1));
    let row = fleet.with_requests(|count_requests| {
        fleet.wait_for_leases();
        let baseline = count_requests(BASELINE_TIME);
        let before = fleet.fault_reports();
        let (counts, sent) = std::thread::scope(|scope| {
            let sender = scope.spawn(|| flood::flood(&datagrams, &targets, DATAGRAMS_PER_S, FLOOD_TIME));
            (count_requests(FLOOD_TIME), sender.join().expect("a sender"))
        });
        let after = fleet.fault_reports();
        format!(
            "{kind:?} | {} | {} | {} | {} | {:.1}% | {:.1}% | {} | {}",
            target.name(),
            sent / FLOOD_TIME.as_secs(),
            after.silent_members - before.silent_members,
            after.missing_leases - before.missing_leases,
            answered_percent(&baseline),
            answered_percent(&counts),
            baseline.fetches / BASELINE_TIME.as_secs(),
            counts.fetches / FLOOD_TIME.as_secs()
        )
    });
    drop(fleet);
    std::fs::remove_dir_all(&folder).expect("removed");
    row
}

/// The share of the requests that were answered, in percent.
fn answered_percent(counts: &RequestCounts) -> f64 {
    100.0 * counts.answered as f64 / counts.requests as f64
}
