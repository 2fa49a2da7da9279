//! Counterfactual estimates with planners as processes. The components of several forwarders report their
//! requests to two planners; one message of ten is lost and one of ten is duplicated. Without a fault no
//! cache is named in the log. Both planners name a cache that becomes slow. No other cache is named when
//! planners are killed, a cache restarts, the shard map changes, or a forwarder sends false reports.

use std::fs;
use std::thread;
use std::time::{Duration, Instant};

use granitelb_balancer::AttemptOutcome;
use granitelb_balancer::ids::{EndpointId, Key, RequestClassId};
use granitelb_balancer::time::{Span, Time};
use granitelb_control_plane::clock::Clock;
use granitelb_coordination::component::{Component, HEARTBEAT_INTERVAL};
use granitelb_coordination::counterfactual::{ForwarderComponent, Settings, is_sampled};
use granitelb_coordination::membership::MembershipMessage;
use granitelb_coordination::message::Message;
use granitelb_coordination::observation::{FinishedAttempt, Observation, ObservedEndpoint};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId};
use serde_json::Value;

use crate::support::{Fleet, Forwarder, Planner, SECRET};

const CACHES: u64 = 4;
const CANDIDATES: u64 = 3;
const SLOW_CACHE: u64 = 0;
/// The slow cache as the log names it.
const SLOW_CACHE_IN_LOG: &str = "0000000000000000";
const BASE_LATENCY: Span = Span::from_millis(10);
const SLOW_EXTRA_LATENCY: Span = Span::from_millis(40);
const SLO: Span = Span::from_millis(50);
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// The number of times that each of ten consecutive messages arrives.
const COPIES: [usize; 10] = [0, 1, 1, 1, 1, 1, 1, 1, 1, 2];

/// The number of the shard map by which candidates are chosen.
#[derive(Clone, Copy)]
struct ShardMapNumber(u64);

/// The attempt of a request. One request of three goes to its second candidate. An attempt at the slow cache
/// takes 40 ms longer, of an SLO of 50 ms. In another shard map a key has other candidates.
fn attempt(request: u64, shard_map: ShardMapNumber, slow_cache: Option<u64>) -> FinishedAttempt {
    let candidate = |place| EndpointId((request + shard_map.0 + place) % CACHES);
    let candidates: Vec<_> = (0..CANDIDATES).map(candidate).collect();
    let is_second_choice = (request / CACHES).is_multiple_of(3);
    let cache = candidates[usize::from(is_second_choice)];
    let noise = Span((request * 7919 % 101) * 100);
    let extra_latency = if slow_cache == Some(cache.0) { SLOW_EXTRA_LATENCY } else { Span::ZERO };
    FinishedAttempt {
        request_hash: (request * 64..).find(|hash| is_sampled(*hash)).expect("one hash of two is sampled"),
        number: 0,
        key: Key(request),
        request_class: RequestClassId(0),
        write: false,
        work: None,
        cache,
        is_origin: false,
        candidates,
        outcome: AttemptOutcome::Fulfilled,
        latency: BASE_LATENCY + noise + extra_latency,
        bytes: 1000,
        in_flight_at_send: 0,
        slo: SLO,
    }
}

/// The counterfactual component of a forwarder, with the forwarder's socket.
struct ReportingForwarder {
    component: ForwarderComponent,
    transport: Forwarder,
    /// The time of the next heartbeat, which is sent even if the component has no messages, as by a node's
    /// agent. Without heartbeats, planners on a loaded machine, where reports are less frequent, would
    /// declare the forwarder failed.
    next_heartbeat: Time,
}

/// Planners as processes, and forwarders that report to them.
struct ReportingFleet {
    fleet: Fleet,
    clock: Clock,
    forwarders: Vec<ReportingForwarder>,
    requests: u64,
    messages: usize,
}

impl ReportingFleet {
    /// Starts two planners that compare caches every 2 s, and forwarders. The number of forwarders must not
    /// be four or eight: each forwarder would report the requests of a single cache, and reports of a single
    /// forwarder name no cache.
    fn start(forwarders: u64) -> (ReportingFleet, [Planner; 2]) {
        let fleet = Fleet::new(2);
        let config = fs::read_to_string(fleet.path("operator.toml")).expect("the file is read");
        fs::write(fleet.path("operator.toml"), config + "judge_ms = 2000\n").expect("the file is written");
        let planners = [fleet.start(1), fleet.start(2)];
        let clock = Clock::start();
        let alive = [1, 2].map(|id| Member::Planner(PlannerId(id)));
        let forwarder = |n| {
            let now = clock.now();
            let mut component =
                ForwarderComponent::new(Settings::default(), ForwarderId(n), Incarnation(1), now);
            component.on_membership_change(now, &alive);
            ReportingForwarder {
                component,
                transport: Forwarder::new(&format!("node-{n}")),
                next_heartbeat: now,
            }
        };
        let forwarders = (0..forwarders).map(forwarder).collect();
        (ReportingFleet { fleet, clock, forwarders, requests: 0, messages: 0 }, planners)
    }

    /// Runs for `time` or until a condition holds. Each forwarder handles a request every 20 ms; `attempt`
    /// creates the request's attempt from the numbers of the request and of the forwarder.
    fn run(
        &mut self,
        time: Duration,
        attempt: impl Fn(u64, usize) -> FinishedAttempt,
        is_over: impl Fn() -> bool,
    ) {
        let deadline = Instant::now() + time;
        while Instant::now() < deadline && !is_over() {
            for n in 0..self.forwarders.len() {
                self.requests += 1;
                let observation = Observation::AttemptFinished(Box::new(attempt(self.requests, n)));
                self.forwarders[n].component.on_observation(self.clock.now(), &observation);
                self.send_messages(n);
                self.send_heartbeats(n);
            }
            thread::sleep(REQUEST_INTERVAL);
        }
    }

    /// Sends the messages of a forwarder's component, of which some are lost and some are duplicated.
    fn send_messages(&mut self, n: usize) {
        let ReportingForwarder { component, transport, .. } = &mut self.forwarders[n];
        while let Some((to, message)) = component.poll_message(self.clock.now()) {
            let Member::Planner(planner) = to else { continue };
            let bytes = transport.seal(&Message::Counterfactual(message), SECRET);
            self.messages += 1;
            for _ in 0..COPIES[self.messages % COPIES.len()] {
                transport.send(&bytes, self.fleet.addresses[usize::from(planner.0) - 1]);
            }
        }
    }

    /// Sends a heartbeat to all planners when the next one is due.
    fn send_heartbeats(&mut self, n: usize) {
        let now = self.clock.now();
        let ReportingForwarder { transport, next_heartbeat, .. } = &mut self.forwarders[n];
        if now < *next_heartbeat {
            return;
        }
        *next_heartbeat = now + HEARTBEAT_INTERVAL;
        for address in &self.fleet.addresses {
            let bytes = transport.seal(&Message::Membership(MembershipMessage::Heartbeat), SECRET);
            transport.send(&bytes, *address);
        }
    }

    /// Gives all forwarders an endpoint list by which a cache has just started.
    fn restart_cache(&mut self, cache: u64) {
        let endpoint = ObservedEndpoint {
            cache: EndpointId(cache),
            is_origin: false,
            zone: 0,
            size: 1.0,
            started: Some(self.clock.now()),
            warm_after: Span::ZERO,
        };
        for forwarder in &mut self.forwarders {
            let observation = Observation::EndpointsChanged(vec![endpoint]);
            forwarder.component.on_observation(self.clock.now(), &observation);
        }
    }
}

/// The caches that lines with this event in a planner's log name.
fn named_caches(planner: &Planner, event: &str) -> Vec<String> {
    let cache = |line: &Value| line["message"].as_str().and_then(|m| m.split(' ').nth(1)).map(String::from);
    planner.events(event).iter().filter_map(cache).collect()
}

/// Whether a planner has named no cache as worse or better than others.
fn names_no_cache(planner: &Planner) -> bool {
    named_caches(planner, "hindsight_worse").is_empty()
        && named_caches(planner, "hindsight_better").is_empty()
}

/// Whether both planners have named the slow cache, and no other.
fn name_only_the_slow_cache(planners: &[Planner; 2]) -> bool {
    planners.iter().all(|planner| {
        let worse = named_caches(planner, "hindsight_worse");
        !worse.is_empty() && worse.iter().all(|cache| *cache == SLOW_CACHE_IN_LOG)
    })
}

fn healthy_attempt(request: u64, _forwarder: usize) -> FinishedAttempt {
    attempt(request, ShardMapNumber(0), None)
}

fn attempt_with_slow_cache(request: u64, _forwarder: usize) -> FinishedAttempt {
    attempt(request, ShardMapNumber(0), Some(SLOW_CACHE))
}

#[test]
fn slow_cache_is_named_by_all_planners_and_none_is_named_before() {
    let (mut fleet, planners) = ReportingFleet::start(6);
    fleet.run(Duration::from_secs(10), healthy_attempt, || false);
    assert!(planners.iter().all(names_no_cache), "no cache was slow");
    fleet.run(Duration::from_secs(30), attempt_with_slow_cache, || name_only_the_slow_cache(&planners));
    assert!(name_only_the_slow_cache(&planners));
}

/// Guards against a restarted cache that is judged by reports from before its restart. The planner that has
/// named the cache withdraws that; the other planner is killed and restarts without state; and one forwarder
/// leaves for good.
#[test]
fn restarted_cache_is_not_judged_by_its_past() {
    let (mut fleet, mut planners) = ReportingFleet::start(6);
    fleet.run(Duration::from_secs(30), attempt_with_slow_cache, || name_only_the_slow_cache(&planners));
    assert!(name_only_the_slow_cache(&planners));
    planners[1].kill();
    fleet.restart_cache(SLOW_CACHE);
    fleet.forwarders.truncate(5);
    planners[1] = fleet.fleet.start(2);
    let before = named_caches(&planners[0], "hindsight_worse").len();
    let is_withdrawn = || !named_caches(&planners[0], "hindsight_no_support").is_empty();
    fleet.run(Duration::from_secs(20), healthy_attempt, is_withdrawn);
    assert!(is_withdrawn());
    fleet.run(Duration::from_secs(5), healthy_attempt, || false);
    assert_eq!(named_caches(&planners[0], "hindsight_worse").len(), before);
    assert!(names_no_cache(&planners[1]));
}

/// Guards against a cache that is named because forwarders have different shard maps or because of one
/// forwarder's false reports. Two of five forwarders have a new shard map while the others have the old one,
/// a planner is killed and restarts, and one forwarder of five reports all the while that cache 1 uses up the
/// SLO: no cache is named. Then a cache becomes slow, and is named.
#[test]
fn new_shard_map_and_false_reports_name_no_cache_and_hide_no_slow_cache() {
    const FALSELY_REPORTING_FORWARDER: usize = 0;
    const FALSELY_REPORTED_CACHE: u64 = 1;
    let attempt_with_maps = |maps: [u64; 5], slow_cache: Option<u64>| {
        move |request: u64, forwarder: usize| {
            let reported = if forwarder == FALSELY_REPORTING_FORWARDER {
                Some(FALSELY_REPORTED_CACHE)
            } else {
                slow_cache
            };
            attempt(request, ShardMapNumber(maps[forwarder]), reported)
        }
    };
    let (mut fleet, mut planners) = ReportingFleet::start(5);
    fleet.run(Duration::from_secs(5), attempt_with_maps([0; 5], None), || false);
    planners[0].kill();
    fleet.run(Duration::from_secs(2), attempt_with_maps([1, 1, 0, 0, 0], None), || false);
    planners[0] = fleet.fleet.start(1);
    fleet.run(Duration::from_secs(5), attempt_with_maps([1; 5], None), || false);
    assert!(planners.iter().all(names_no_cache), "only one forwarder reports that a cache is slow");
    let attempts = attempt_with_maps([1; 5], Some(SLOW_CACHE));
    fleet.run(Duration::from_secs(40), attempts, || name_only_the_slow_cache(&planners));
    let logs = planners.each_ref().map(Planner::log);
    assert!(name_only_the_slow_cache(&planners), "{}", logs.join("\n\n"));
}
