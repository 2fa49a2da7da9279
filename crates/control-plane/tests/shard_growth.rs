//! Splits of growing shards with planners as processes and accounting days that pass quickly. Planners are
//! killed at each step of a split, and the origin is slow or a cache fails during a split. One message of ten
//! is lost and one of ten is duplicated all the while.

use std::fs;
use std::time::Duration;

use granitelb_balancer::slot_table::shard_placement;
use granitelb_control_plane::clock::Clock;
use granitelb_coordination::endpoint_health::{EndpointCounts, Fragment, HealthMessage, HealthReport};
use granitelb_coordination::leases::{Demand, LeaseMessage, Resource};
use granitelb_coordination::message::Message;
use granitelb_coordination::shard_growth::shard_map::{SplitPhase, VersionedShardMap};

use crate::support::growing_fleet::{GROWING_SHARDS, GrowingFleet, caches, step_rank};

const PROGRESS_TIMEOUT: Duration = Duration::from_secs(25);
/// The interval at which forwarders send a message in [`send_repeatedly`].
const SEND_INTERVAL: Duration = Duration::from_millis(200);
const REPORTING_FORWARDERS: usize = 2;
/// A lease request that exceeds the origin's capacity, in thousandths of a fetch a second.
const EXCESSIVE_AMOUNT: u32 = 90_000_000;

/// The rank of the step that the first growing shard's split has reached.
fn current_rank(growing: &GrowingFleet) -> u8 {
    step_rank(growing.auditor.latest(GROWING_SHARDS[0]).step)
}

/// Whether both shards were split once. The shards continue to grow, so that their next split may be foreseen
/// already.
fn are_all_split_once(growing: &GrowingFleet) -> bool {
    GROWING_SHARDS.iter().all(|shard| growing.auditor.latest(*shard).splits == 1)
}

/// Whether all forwarders use the latest shard map.
fn do_all_use_the_latest_map(growing: &GrowingFleet) -> bool {
    let latest = growing.auditor.shard_maps.values().last().map(VersionedShardMap::to_balancer_shard_map);
    growing.nodes.iter().all(|node| node.shard_map() == latest)
}

/// Kills the leader, waits until the next leader has made a step, and restarts the killed planner.
fn fail_over(growing: &mut GrowingFleet, store: StoreAfterKill) {
    let leader = growing.leader();
    let latest = growing.auditor.latest(GROWING_SHARDS[0]);
    println!("{:?}: killed planner {leader} at {latest:?}", growing.started_at.elapsed());
    growing.kill_planner(leader);
    let shard_maps = growing.auditor.shard_maps.len();
    growing.run_until("the next leader continues", PROGRESS_TIMEOUT, |g| {
        g.auditor.shard_maps.len() > shard_maps
    });
    let latest = growing.auditor.latest(GROWING_SHARDS[0]);
    println!("{:?}: then {latest:?}", growing.started_at.elapsed());
    if store == StoreAfterKill::Lost {
        let folder = growing.fleet.path(&format!("state-{leader}"));
        fs::remove_dir_all(folder).expect("the folder exists");
    }
    growing.start_planner(leader);
}

/// Whether a killed planner restarts with its store.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StoreAfterKill {
    Intact,
    Lost,
}

#[test]
fn another_planner_continues_when_the_leader_is_killed_at_any_step() {
    let mut growing = GrowingFleet::start(300, "spare_per_s = 1000000.0\n");
    let steps = [
        SplitPhase::Foreseen,
        SplitPhase::Planned,
        SplitPhase::Copying(1),
        SplitPhase::Copying(9),
        SplitPhase::DualRead,
        SplitPhase::Switched,
    ];
    for step in steps {
        let rank = step_rank(Some(step));
        growing.run_until(&format!("the split is at {step:?}"), PROGRESS_TIMEOUT, |g| {
            g.auditor.latest(GROWING_SHARDS[0]).splits == 1 || current_rank(g) >= rank
        });
        let is_store_lost = step == SplitPhase::Copying(9);
        fail_over(&mut growing, if is_store_lost { StoreAfterKill::Lost } else { StoreAfterKill::Intact });
    }
    growing.run_until("both shards are split", PROGRESS_TIMEOUT, are_all_split_once);
    growing.run_until("all forwarders use one shard map", PROGRESS_TIMEOUT, do_all_use_the_latest_map);
    growing.auditor.check_steps();
    let is_withdrawn = |shard_map: &VersionedShardMap| {
        shard_map.shards.values().any(|s| s.phase == Some(SplitPhase::Withdrawn))
    };
    assert!(
        !growing.auditor.shard_maps.values().any(is_withdrawn),
        "a split was withdrawn because planners were killed"
    );
}

/// A function that creates a message from an increasing number.
type CreateMessage = Box<dyn Fn(u64) -> Message>;

/// Two forwarders send a message to all planners, `times` times at [`SEND_INTERVAL`].
fn send_repeatedly(growing: &mut GrowingFleet, times: u32, create: impl Fn(u64) -> Message) {
    for _ in 0..times {
        let number = Clock::start().now().0;
        for node in 0..REPORTING_FORWARDERS {
            growing.send_to_planners(node, &create(number));
        }
        growing.run_for(SEND_INTERVAL);
    }
}

/// Creates requests for a lease of this amount of the origin, in thousandths of a fetch a second.
fn lease_request(amount: u32) -> impl Fn(u64) -> Message {
    move |request_id| {
        let demands = vec![Demand {
            resource: Resource::Origin,
            amount,
            request_in_use: request_id,
            requesters: 1,
            already_held: 0,
        }];
        Message::Leases(LeaseMessage::Request { request_id, demands })
    }
}

/// Creates health reports about one of the first growing shard's caches, with these counts of attempts.
fn health_report(failed: f64, answered: f64) -> impl Fn(u64) -> Message {
    let shard = GROWING_SHARDS[0];
    let cache = *shard_placement(shard.0, 1, &caches()).first().expect("the shard has caches");
    let counts = EndpointCounts { endpoint: cache, failed, answered, in_flight: 0.0 };
    move |number| {
        let report = HealthReport { sequence: number, fragment: Fragment::SINGLE, endpoints: vec![counts] };
        Message::EndpointHealth(HealthMessage::Report(report))
    }
}

/// The messages by which forwarders report the beginning and the end of a fault.
struct ReportedFault {
    begin: CreateMessage,
    end: CreateMessage,
}

/// Reports a fault until the split has made no step during four reports in a row.
fn report_until_paused(growing: &mut GrowingFleet, create: &CreateMessage, step: SplitPhase) {
    // Without a fault, each part of the copying takes a quarter of a second, about as long as a report.
    let mut shard_maps = 0;
    let mut unchanged = 0;
    for _ in 0..10 {
        send_repeatedly(growing, 1, create);
        let is_unchanged = growing.auditor.shard_maps.len() == shard_maps;
        unchanged = if is_unchanged { unchanged + 1 } else { 0 };
        shard_maps = growing.auditor.shard_maps.len();
        if unchanged == 4 {
            return;
        }
    }
    panic!("the split continues past {step:?} during a reported fault");
}

fn run_until_step(growing: &mut GrowingFleet, step: SplitPhase) {
    let rank = step_rank(Some(step));
    growing.run_until(&format!("the split is at {step:?}"), PROGRESS_TIMEOUT, |g| current_rank(g) >= rank);
}

#[test]
fn split_pauses_during_a_fault_and_is_withdrawn_if_the_fault_lasts() {
    let mut growing = GrowingFleet::start(1000, "[leases]\norigin_per_s = 100000.0\n");
    let slow_origin =
        ReportedFault { begin: Box::new(lease_request(EXCESSIVE_AMOUNT)), end: Box::new(lease_request(0)) };
    let failing_cache =
        ReportedFault { begin: Box::new(health_report(5.0, 0.0)), end: Box::new(health_report(0.0, 5.0)) };
    // Each of these faults ends before the split stops waiting for the end.
    for (step, fault) in [(SplitPhase::Copying(2), slow_origin), (SplitPhase::Copying(7), failing_cache)] {
        run_until_step(&mut growing, step);
        report_until_paused(&mut growing, &fault.begin, step);
        send_repeatedly(&mut growing, 2, &fault.end);
    }
    run_until_step(&mut growing, SplitPhase::Copying(11));
    send_repeatedly(&mut growing, 25, lease_request(EXCESSIVE_AMOUNT));
    let is_withdrawn = |shard_map: &VersionedShardMap| {
        shard_map.layout(GROWING_SHARDS[0]).phase == Some(SplitPhase::Withdrawn)
    };
    let shard_maps = &growing.auditor.shard_maps;
    assert!(shard_maps.values().any(is_withdrawn), "{:?}", shard_maps.values().last());
    growing.auditor.check_steps();
}
