//! Hindsight by processes: several forwarders' real sides tell two planners of their calls, a letter of ten is lost and one
//! doubled. On a calm run no cache is named; one that becomes slow is, by both; and with planners killed, caches started
//! anew, a new table and a forwarder that lies nobody is named who isn't slow.

use std::fs;
use std::time::{Duration, Instant};

use crate::support::{Fleet, Forwarder, OURS, Planner};
use granitelb_balancer::calls::AttemptOutcome;
use granitelb_balancer::ids::{EndpointId, Key, RequestClassId};
use granitelb_balancer::time::Span;
use granitelb_control_plane::clock::Clock;
use granitelb_coordination::component::Component;
use granitelb_coordination::counterfactual::{ForwarderComponent, Settings, is_sampled};
use granitelb_coordination::message::Message;
use granitelb_coordination::observation::{FinishedAttempt, Observation, ObservedEndpoint};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId};

const LONGER: Span = Span::from_millis(40);

/// Four caches; the `slow` one takes 40 ms longer of an SLO of 50. Every third call goes to its second candidate. In another
/// table keys have other candidates.
fn call(n: u64, table: u64, slow: Option<u64>) -> FinishedAttempt {
    let candidates: Vec<_> = (0..3).map(|place| EndpointId((n + table + place) % 4)).collect();
    let cache = candidates[usize::from((n / 4).is_multiple_of(3))];
    let noise = Span((n * 7919 % 101) * 100);
    let longer = if slow == Some(cache.0) { LONGER } else { Span::ZERO };
    FinishedAttempt {
        call: (n * 64..).find(|c| is_sampled(*c)).expect("one in two"),
        number: 0,
        key: Key(n),
        request_class: RequestClassId(0),
        write: false,
        work: None,
        cache,
        is_origin: false,
        candidates,
        outcome: AttemptOutcome::Fulfilled,
        latency: Span::from_millis(10) + noise + longer,
        bytes: 1000,
        out_then: 0,
        slo: Span::from_millis(50),
    }
}

struct World {
    fleet: Fleet,
    clock: Clock,
    forwarders: Vec<(ForwarderComponent, Forwarder)>,
    calls: u64,
    letters: usize,
}

impl World {
    /// Two planners that judge each 2 s, and so many forwarders: not four or eight, since then each would see the calls of one
    /// cache alone, and nobody is named by one.
    fn new(forwarders: u64) -> (World, [Planner; 2]) {
        let fleet = Fleet::new(2);
        let text = fs::read_to_string(fleet.path("operator.toml")).expect("a file");
        fs::write(fleet.path("operator.toml"), text + "judge_ms = 2000\n").expect("written");
        let planners = [fleet.start(1), fleet.start(2)];
        let clock = Clock::start();
        let alive = [1, 2].map(|id| Member::Planner(PlannerId(id)));
        let forwarder = |n| {
            let mut side =
                ForwarderComponent::new(Settings::default(), ForwarderId(n), Incarnation(1), clock.now());
            side.on_membership_change(clock.now(), &alive);
            (side, Forwarder::new(&format!("node-{n}")))
        };
        let forwarders = (0..forwarders).map(forwarder).collect();
        (World { fleet, clock, forwarders, calls: 0, letters: 0 }, planners)
    }

    /// For so long, each forwarder sees a call every 20 ms, made from its number and the forwarder's.
    fn run(
        &mut self,
        span: Duration,
        call: impl Fn(u64, usize) -> FinishedAttempt,
        is_over: impl Fn() -> bool,
    ) {
        let ends = Instant::now() + span;
        while Instant::now() < ends && !is_over() {
            for (number, (side, forwarder)) in self.forwarders.iter_mut().enumerate() {
                self.calls += 1;
                let ended = call(self.calls, number);
                side.on_observation(self.clock.now(), &Observation::AttemptFinished(Box::new(ended)));
                while let Some((to, message)) = side.poll_message(self.clock.now()) {
                    let Member::Planner(to) = to else { continue };
                    let bytes = forwarder.sealed(&Message::Counterfactual(message), OURS);
                    self.letters += 1;
                    for _ in 0..[0, 1, 1, 1, 1, 1, 1, 1, 1, 2][self.letters % 10] {
                        forwarder.send(&bytes, self.fleet.addresses[usize::from(to.0) - 1]);
                    }
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// All forwarders' lists say that this cache has just started.
    fn starts_anew(&mut self, cache: u64) {
        let started = Some(self.clock.now());
        let (cache, warm_after) = (EndpointId(cache), Span::ZERO);
        let server = ObservedEndpoint { cache, is_origin: false, zone: 0, size: 1.0, started, warm_after };
        for (side, _) in &mut self.forwarders {
            side.on_observation(self.clock.now(), &Observation::EndpointsChanged(vec![server]));
        }
    }
}

/// Caches that a planner's log has with this event.
fn named(planner: &Planner, event: &str) -> Vec<String> {
    let cache =
        |l: &serde_json::Value| l["message"].as_str().and_then(|m| m.split(' ').nth(1)).map(String::from);
    planner.said(event).iter().filter_map(cache).collect()
}

fn names_nobody(planner: &Planner) -> bool {
    named(planner, "hindsight_worse").is_empty() && named(planner, "hindsight_better").is_empty()
}

/// Both have named cache 0, and no other.
fn only_the_slow_one(planners: &[Planner; 2]) -> bool {
    planners.iter().all(|p| {
        let worse = named(p, "hindsight_worse");
        !worse.is_empty() && worse.iter().all(|c| *c == "0000000000000000")
    })
}

#[test]
fn one_slow_cache_is_named_by_all_planners_and_none_before_it_was_slow() {
    let (mut world, planners) = World::new(6);
    world.run(Duration::from_secs(10), |n, _| call(n, 0, None), || false);
    assert!(planners.iter().all(names_nobody), "nothing was slow");
    world.run(Duration::from_secs(30), |n, _| call(n, 0, Some(0)), || only_the_slow_one(&planners));
    assert!(only_the_slow_one(&planners));
}

/// It takes with it what was known of it: one planner has named it and takes it back, another is killed meanwhile and comes
/// back with nothing, and a forwarder is gone for good.
#[test]
fn a_cache_that_starts_anew_is_not_held_to_what_it_was() {
    let (mut world, mut planners) = World::new(6);
    world.run(Duration::from_secs(30), |n, _| call(n, 0, Some(0)), || only_the_slow_one(&planners));
    assert!(only_the_slow_one(&planners));
    planners[1].kill();
    world.starts_anew(0);
    world.forwarders.truncate(5);
    planners[1] = world.fleet.start(2);
    let before = named(&planners[0], "hindsight_worse").len();
    let takes_back = || !named(&planners[0], "hindsight_no_support").is_empty();
    world.run(Duration::from_secs(20), |n, _| call(n, 0, None), takes_back);
    assert!(takes_back());
    world.run(Duration::from_secs(5), |n, _| call(n, 0, None), || false);
    assert_eq!(named(&planners[0], "hindsight_worse").len(), before);
    assert!(names_nobody(&planners[1]));
}

/// Half of the forwarders have a new table while the others have the old one, a planner is killed and comes back, and one
/// forwarder of five says all the while that cache 1 takes all of the SLO: nobody is named. Then a cache is slow: it is.
#[test]
fn a_new_table_and_a_forwarder_that_lies_name_nobody_and_hide_nobody() {
    let (mut world, mut planners) = World::new(5);
    let told = |table: [u64; 5], slow: Option<u64>| {
        move |n: u64, forwarder: usize| call(n, table[forwarder], if forwarder == 0 { Some(1) } else { slow })
    };
    world.run(Duration::from_secs(5), told([0; 5], None), || false);
    planners[0].kill();
    world.run(Duration::from_secs(2), told([1, 1, 0, 0, 0], None), || false);
    planners[0] = world.fleet.start(1);
    world.run(Duration::from_secs(5), told([1; 5], None), || false);
    assert!(planners.iter().all(names_nobody), "one alone says that a cache is slow");
    world.run(Duration::from_secs(40), told([1; 5], Some(0)), || only_the_slow_one(&planners));
    assert!(only_the_slow_one(&planners), "{}", planners.each_ref().map(Planner::log).join("\n\n"));
}
