//! Test of floods of datagrams sent to a planner and to a node, with planners and nodes as processes.

#[path = "control_plane/fleet.rs"]
mod fleet;
#[path = "control_plane/flood.rs"]
mod flood;
#[path = "control_plane/node_fixture.rs"]
#[allow(dead_code, reason = "other tests use more of it")]
mod node_fixture;

use std::path::Path;
use std::time::Duration;

use self::fleet::{FaultReports, Fleet, PlannerProcess};
use self::flood::FloodKind;

const DATAGRAMS_PER_S: u64 = 20_000;
const FLOOD_TIME: Duration = Duration::from_secs(4);
/// The number of datagrams in all that a flood must exceed.
const MIN_DATAGRAMS: u64 = 10_000;
/// The origin fetches a second that the nodes exceed only with leases: six need no lease, and the nodes
/// request leases for some 30 more.
const MIN_LEASED_FETCHES_PER_S: f64 = 12.0;

/// Guards against a flood that makes members report others as silent or stops leases. All three kinds of
/// datagrams are sent at once; of these kinds, valid messages of a member cost a planner most.
#[test]
fn flood_causes_no_failure_reports_and_leases_go_on() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("flood");
    // Removing the folder fails at the first run, where it does not exist yet.
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    let program = Path::new(env!("CARGO_BIN_EXE_granitelb"));
    let mut fleet = Fleet::start(program, &folder, 87, (2, 2), 60.0);
    let targets = [fleet.message_addresses[0], fleet.message_address_of(0)];
    let floods: Vec<_> = FloodKind::ALL.into_iter().map(|kind| flood::datagrams(kind, 5000)).collect();
    let (sent, counts) = fleet.with_requests(|count_requests| {
        fleet.wait_for_leases();
        std::thread::scope(|scope| {
            let send = |datagrams| flood::flood(datagrams, &targets, DATAGRAMS_PER_S / 3, FLOOD_TIME);
            let senders: Vec<_> =
                floods.iter().map(|datagrams| scope.spawn(move || send(datagrams))).collect();
            let counts = count_requests(FLOOD_TIME);
            let sent = senders.into_iter().map(|sender| sender.join().expect("a sender")).sum::<u64>();
            (sent, counts)
        })
    });
    assert!(sent > MIN_DATAGRAMS, "only {sent} datagrams were sent");
    let logs: String = fleet.nodes.iter().map(|node| node.log()).collect();
    assert_eq!(fleet.fault_reports(), FaultReports { silent_members: 0, missing_leases: 0 }, "{logs}");
    let fetches_per_s = counts.fetches as f64 / FLOOD_TIME.as_secs_f64();
    assert!(fetches_per_s > MIN_LEASED_FETCHES_PER_S, "{counts:?}: the nodes use no leases");
    fleet.planners.iter_mut().for_each(PlannerProcess::stop);
    let log = fleet.planners[0].log();
    assert!(log.contains("flood") && log.contains("close the planner's port"), "{log}");
}
