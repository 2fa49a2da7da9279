//! Planners' disks that are full, or taken away, in the middle of splits and leases; planners are processes.

use std::fs;
use std::time::Duration;

use crate::growing::{GROW, Growing, place};
use granitelb_coordination::leases::{self, Need, Resource};
use granitelb_coordination::message::Message;
use granitelb_coordination::shard_growth::shard_map::SplitPhase;

const LONG: Duration = Duration::from_secs(25);

fn asks(ask: u64) -> Message {
    let needs = vec![Need { resource: Resource::Origin, amount: 5000, using: ask, heads: 1, has: 0 }];
    Message::Leases(leases::LeaseMessage::Ask { ask, needs })
}

/// Until the planner has granted anew.
fn until_granted(growing: &mut Growing, planner: u8) {
    let before = growing.auditor.grants.get(&planner).copied();
    for ask in 1..60 {
        let now = granitelb_control_plane::clock::Clock::start().now().0 + ask;
        growing.say(0, &asks(now));
        growing.pass(Duration::from_millis(200));
        if growing.auditor.grants.get(&planner).copied() > before {
            return;
        }
    }
    panic!("planner {planner} grants no more: {:?}", growing.auditor.grants);
}

/// The other two agree without it, as long as it does not lead; what it has not kept it does not say, and it grants leases
/// all the while.
#[test]
fn a_full_disk_costs_what_rests_on_it_alone_until_there_is_room() {
    let mut growing = Growing::start(300, "spare_per_s = 1000000.0\n[leases]\norigin_per_s = 100000.0\n");
    let at = |step| move |g: &Growing| place(g.auditor.last(GROW[0]).0) >= place(Some(step));
    growing.until("foreseen", LONG, at(SplitPhase::Foreseen));
    growing.planners[&2].room_for_files(Some(4096));
    growing.until("not kept", LONG, |g| !g.planners[&2].said("not_kept").is_empty());
    let told = growing.auditor.told.len();
    until_granted(&mut growing, 2);
    growing.until("gone on by the others", LONG, |g| g.auditor.told.len() >= told + 2);
    let said = growing.planners[&2].said("not_kept");
    assert_eq!(said.len(), 1, "named once: {said:#?}");
    let text = said[0]["message"].as_str().expect("a sentence");
    assert!(text.starts_with("growth: ") && text.contains("Make room on the disk"), "{text}");
    for other in [1, 3] {
        let gone = growing.planners[&other].said("member_gone");
        assert!(gone.is_empty(), "beats go out all the while: {gone:#?}");
    }
    growing.planners[&2].room_for_files(None);
    growing.until("kept again", LONG, |g| !g.planners[&2].said("kept_again").is_empty());
    // Killed, it has a whole store; and the fleet goes on to the end.
    growing.planners.remove(&2).expect("it lives").kill();
    growing.start_planner(2);
    growing.until("split", LONG, |g| GROW.iter().all(|shard| g.auditor.last(*shard).1 >= 1));
    assert!(growing.planners[&2].said("store_refused").is_empty());
    growing.auditor.check_steps();
}

#[test]
fn a_folder_that_is_taken_away_is_begun_anew_and_the_planner_goes_on_from_there() {
    let mut growing = Growing::start(300, "spare_per_s = 1000000.0\n");
    let at = |step| move |g: &Growing| place(g.auditor.last(GROW[0]).0) >= place(Some(step));
    growing.until("foreseen", LONG, at(SplitPhase::Foreseen));
    let folder = growing.fleet.path("state-1");
    fs::remove_dir_all(&folder).expect("it had one");
    growing.until("kept again", LONG, |g| !g.planners[&1].said("kept_again").is_empty());
    let said = growing.planners[&1].said("not_kept");
    assert!(said[0]["message"].as_str().is_some_and(|m| m.contains("was taken away")), "{said:#?}");
    growing.planners.remove(&1).expect("it lives").kill();
    growing.start_planner(1);
    let begun = growing.planners[&1].said("store_refused");
    assert!(begun.is_empty() && growing.fleet.store(1).exists(), "{begun:#?}");
    growing.until("split", LONG, |g| GROW.iter().all(|shard| g.auditor.last(*shard).1 >= 1));
    growing.auditor.check_steps();
}
