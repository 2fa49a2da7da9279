//! Splits of growing shards by processes, in quick time: planners that are killed at each step, and an origin that is
//! slow in mid-split; letters are lost and doubled all the while.

use std::fs;
use std::time::Duration;

use crate::growing::{GROW, Growing, caches, place};
use granitelb_balancer::slot_table::caches_of;
use granitelb_coordination::endpoint_health::{self, Part, Report, Seen};
use granitelb_coordination::leases::{self, Need, Resource};
use granitelb_coordination::message::Message;
use granitelb_coordination::shard_growth::shard_map::{SplitPhase, VersionedShardMap};

const LONG: Duration = Duration::from_secs(25);

fn stands(growing: &Growing) -> u8 {
    place(growing.auditor.last(GROW[0]).0)
}

/// Split once; they grow on, so that the next split may be foreseen already.
fn settled(growing: &Growing) -> bool {
    GROW.iter().all(|shard| growing.auditor.last(*shard).1 == 1)
}

#[test]
fn a_leader_killed_at_each_step_is_followed_by_another_that_goes_on_from_there() {
    let mut growing = Growing::start(300, "spare_per_s = 1000000.0\n");
    let steps = [
        SplitPhase::Foreseen,
        SplitPhase::Planned,
        SplitPhase::Copying(1),
        SplitPhase::Copying(9),
        SplitPhase::DualRead,
        SplitPhase::Switched,
    ];
    for step in steps {
        let at = place(Some(step));
        growing.until(&format!("at {step:?}"), LONG, |g| g.auditor.last(GROW[0]).1 == 1 || stands(g) >= at);
        let leader = growing.leader();
        println!(
            "{:?}: killed planner {leader} at {:?}",
            growing.began.elapsed(),
            growing.auditor.last(GROW[0])
        );
        growing.planners.remove(&leader).expect("it lives").kill();
        let stood = growing.auditor.told.len();
        growing.until("gone on", LONG, |g| g.auditor.told.len() > stood);
        println!("{:?}: then {:?}", growing.began.elapsed(), growing.auditor.last(GROW[0]));
        if step == SplitPhase::Copying(9) {
            fs::remove_dir_all(growing.fleet.path(&format!("state-{leader}"))).expect("it had one");
        }
        growing.start_planner(leader);
    }
    growing.until("settled", LONG, settled);
    growing.until("of one form", LONG, |g| {
        let last = g.auditor.told.values().last().map(VersionedShardMap::to_balancer_shard_map);
        g.nodes.iter().all(|node| node.shard_map() == last)
    });
    growing.auditor.check_steps();
    let withdrawn = |shard_map: &VersionedShardMap| {
        shard_map.shards.values().any(|s| s.phase == Some(SplitPhase::Withdrawn))
    };
    assert!(!growing.auditor.told.values().any(withdrawn), "nothing was in the way but killed planners");
}

type Says = Box<dyn Fn(u64) -> Message>;

/// Two forwarders say this so many times, each fifth of a second.
fn say(growing: &mut Growing, times: u32, letter: impl Fn(u64) -> Message) {
    for _ in 0..times {
        let number = granitelb_control_plane::clock::Clock::start().now().0;
        (0..2).for_each(|node| growing.say(node, &letter(number)));
        growing.pass(Duration::from_millis(200));
    }
}

/// More of the origin than there is, or nothing.
fn asks(amount: u32) -> impl Fn(u64) -> Message {
    move |ask| {
        let needs = vec![Need { resource: Resource::Origin, amount, using: ask, heads: 1, has: 0 }];
        Message::Leases(leases::LeaseMessage::Ask { ask, needs })
    }
}

/// What came of shots at one of the shard's caches.
fn reports(failed: f64, answered: f64) -> impl Fn(u64) -> Message {
    let cache = *caches_of(GROW[0].0, 1, &caches()).first().expect("several");
    let seen = Seen { cache, failed, answered, out: 0.0 };
    move |number| {
        Message::EndpointHealth(endpoint_health::HealthMessage::Report(Report {
            number,
            part: Part::WHOLE,
            caches: vec![seen],
        }))
    }
}

#[test]
fn a_split_pauses_while_the_origin_is_slow_or_a_cache_fails_and_is_taken_back_if_that_goes_on() {
    let mut growing = Growing::start(1000, "[leases]\norigin_per_s = 100000.0\n");
    let mut until = SplitPhase::Copying(2);
    let reach = |growing: &mut Growing, step| {
        growing.until(&format!("at {step:?}"), LONG, |g| stands(g) >= place(Some(step)));
    };
    // For less time than a split waits.
    let troubles: [(Says, Says); 2] = [
        (Box::new(asks(90_000_000)), Box::new(asks(0))),
        (Box::new(reports(5.0, 0.0)), Box::new(reports(0.0, 5.0))),
    ];
    for (begins, ends) in troubles {
        reach(&mut growing, until);
        // A part of the copying lasts a quarter of a second.
        let (mut told, mut stood) = (0, 0);
        for _ in 0..10 {
            say(&mut growing, 1, &begins);
            stood = if growing.auditor.told.len() == told { stood + 1 } else { 0 };
            told = growing.auditor.told.len();
            if stood == 4 {
                break;
            }
        }
        assert_eq!(stood, 4, "it goes on past {until:?}");
        say(&mut growing, 2, &ends);
        until = SplitPhase::Copying(7);
    }
    reach(&mut growing, SplitPhase::Copying(11));
    say(&mut growing, 25, asks(90_000_000));
    let withdrawn =
        |shard_map: &VersionedShardMap| shard_map.layout(GROW[0]).phase == Some(SplitPhase::Withdrawn);
    assert!(growing.auditor.told.values().any(withdrawn), "{:?}", growing.auditor.told.values().last());
    growing.auditor.check_steps();
}
