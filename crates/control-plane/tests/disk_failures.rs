//! Planners whose disk is full, or whose state folder is removed, while they split shards and grant leases.
//! Planners are processes.

use std::fs;
use std::time::Duration;

use granitelb_control_plane::clock::Clock;
use granitelb_coordination::leases::{Demand, LeaseMessage, Resource};
use granitelb_coordination::message::Message;
use granitelb_coordination::shard_growth::shard_map::SplitPhase;

use crate::support::growing_fleet::{GROWING_SHARDS, GrowingFleet, step_rank};

const PROGRESS_TIMEOUT: Duration = Duration::from_secs(25);
const GRANT_ATTEMPTS: u64 = 60;

fn lease_request(request_id: u64) -> Message {
    let demands = vec![Demand {
        resource: Resource::Origin,
        amount: 5000,
        request_in_use: request_id,
        requesters: 1,
        already_held: 0,
    }];
    Message::Leases(LeaseMessage::Request { request_id, demands })
}

/// Runs the fleet until the planner has granted another lease.
fn run_until_granted(growing: &mut GrowingFleet, planner: u8) {
    let before = growing.auditor.grants.get(&planner).copied();
    for attempt in 1..GRANT_ATTEMPTS {
        let request_id = Clock::start().now().0 + attempt;
        growing.send_to_planners(0, &lease_request(request_id));
        growing.run_for(Duration::from_millis(200));
        if growing.auditor.grants.get(&planner).copied() > before {
            return;
        }
    }
    panic!("planner {planner} grants nothing: {:?}", growing.auditor.grants);
}

fn is_at(step: SplitPhase) -> impl Fn(&GrowingFleet) -> bool {
    move |growing| step_rank(growing.auditor.latest(GROWING_SHARDS[0]).step) >= step_rank(Some(step))
}

fn are_all_split(growing: &GrowingFleet) -> bool {
    GROWING_SHARDS.iter().all(|shard| growing.auditor.latest(*shard).splits >= 1)
}

/// Guards against a full disk that stops a planner entirely. The planner sends no message that depends on a
/// snapshot that is not stored, but grants leases all the while. The other two planners agree on shard maps
/// without it, as long as it is not the leader.
#[test]
fn full_disk_stops_only_what_depends_on_it_until_there_is_space() {
    let mut growing =
        GrowingFleet::start(300, "spare_per_s = 1000000.0\n[leases]\norigin_per_s = 100000.0\n");
    growing.run_until("a split is foreseen", PROGRESS_TIMEOUT, is_at(SplitPhase::Foreseen));
    growing.planners[&2].limit_file_size(Some(4096));
    growing.run_until("planner 2 fails to store its state", PROGRESS_TIMEOUT, |g| {
        !g.planners[&2].events("snapshot_write_failed").is_empty()
    });
    let shard_maps = growing.auditor.shard_maps.len();
    run_until_granted(&mut growing, 2);
    growing.run_until("the other planners continue", PROGRESS_TIMEOUT, |g| {
        g.auditor.shard_maps.len() >= shard_maps + 2
    });
    let failures = growing.planners[&2].events("snapshot_write_failed");
    assert_eq!(failures.len(), 1, "logged once: {failures:#?}");
    let message = failures[0]["message"].as_str().expect("the line has a message");
    assert!(message.starts_with("growth: ") && message.contains("Make room on the disk"), "{message}");
    for other in [1, 3] {
        let failed_members = growing.planners[&other].events("member_failed");
        assert!(failed_members.is_empty(), "heartbeats are sent all the while: {failed_members:#?}");
    }
    growing.planners[&2].limit_file_size(None);
    growing.run_until("the planner stores its state again", PROGRESS_TIMEOUT, |g| {
        !g.planners[&2].events("snapshot_write_recovered").is_empty()
    });
    // The planner's store is intact after a kill, and the fleet completes the splits.
    growing.kill_planner(2);
    growing.start_planner(2);
    growing.run_until("both shards are split", PROGRESS_TIMEOUT, are_all_split);
    assert!(growing.planners[&2].events("store_refused").is_empty());
    growing.auditor.check_steps();
}

/// Guards against a planner that goes on writing to a removed file, whose state would be lost when the
/// planner is killed.
#[test]
fn removed_folder_is_recreated_and_the_planner_continues_with_its_state() {
    let mut growing = GrowingFleet::start(300, "spare_per_s = 1000000.0\n");
    growing.run_until("a split is foreseen", PROGRESS_TIMEOUT, is_at(SplitPhase::Foreseen));
    fs::remove_dir_all(growing.fleet.path("state-1")).expect("the folder exists");
    growing.run_until("the planner stores its state again", PROGRESS_TIMEOUT, |g| {
        !g.planners[&1].events("snapshot_write_recovered").is_empty()
    });
    let failures = growing.planners[&1].events("snapshot_write_failed");
    assert!(failures[0]["message"].as_str().is_some_and(|m| m.contains("was removed")), "{failures:#?}");
    growing.kill_planner(1);
    growing.start_planner(1);
    let refused = growing.planners[&1].events("store_refused");
    assert!(refused.is_empty() && growing.fleet.store_file(1).exists(), "{refused:#?}");
    growing.run_until("both shards are split", PROGRESS_TIMEOUT, are_all_split);
    growing.auditor.check_steps();
}
