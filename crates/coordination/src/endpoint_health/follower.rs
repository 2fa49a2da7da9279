//! A forwarder's side: counts what it sees for its reports, and makes one advice of what planners say.

use std::collections::{BTreeMap, BTreeSet};

use granitelb_balancer::calls::{AttemptOutcome, ControlPlaneUpdate};
use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};

use super::part::{Part, Parts};
use super::planner::{MOST_CACHES, Plan, Version};
use super::report::{Report, Seen};
use super::view::HealthStatus;
use crate::member::{Incarnation, PlannerId};

/// A plan counts for so long: a planner that is silent must not go on deciding.
const LASTS: Span = Span::from_millis(2000);

/// A shot left without an answer for less than this share of its SLO says nothing of the cache, as in the module.
const SILENCE: f64 = 0.5;

/// One version of a planner's plan, as far as it came.
struct Said {
    at: (Incarnation, Version),
    parts: Parts,
    verdicts: Vec<(EndpointId, HealthStatus, Time)>,
}

/// What a planner said last. While a version is not whole the one before counts for what is not named anew.
#[derive(Default)]
struct Plans {
    before: Option<Said>,
    newest: Option<Said>,
}

#[derive(Default)]
pub struct Follower {
    number: u64,
    seen: BTreeMap<EndpointId, Seen>,
    /// By planner; there are no more than planner ids.
    plans: BTreeMap<PlannerId, Plans>,
}

impl Follower {
    pub fn new() -> Follower {
        Follower::default()
    }

    fn of(&mut self, cache: EndpointId) -> Option<&mut Seen> {
        let room = self.seen.len() < MOST_CACHES || self.seen.contains_key(&cache);
        room.then(|| self.seen.entry(cache).or_insert(Seen { cache, answered: 0.0, failed: 0.0, out: 0.0 }))
    }

    pub fn on_attempt_sent(&mut self, cache: EndpointId) {
        if let Some(seen) = self.of(cache) {
            seen.out += 1.0;
        }
    }

    /// A shot has ended after so long, for a call with this SLO.
    pub fn on_attempt_finished(
        &mut self,
        cache: EndpointId,
        outcome: AttemptOutcome,
        latency: Span,
        slo: Span,
    ) {
        let Some(seen) = self.of(cache) else { return };
        seen.out = (seen.out - 1.0).max(0.0);
        match outcome {
            AttemptOutcome::Fulfilled | AttemptOutcome::CacheMiss | AttemptOutcome::Rejected => {
                seen.answered += 1.0
            }
            // A forwarder calls off what is silent: where it may, nothing at a hung cache ever times out.
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled if latency >= slo.scaled(SILENCE) => {
                seen.failed += 1.0
            }
            // What was never sent says nothing, nor does what had little time or was called off soon.
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
            AttemptOutcome::Unreachable | AttemptOutcome::Errored | AttemptOutcome::Reset => {
                seen.failed += 1.0
            }
        }
    }

    /// What was seen since the last report, in its parts. Sums begin anew, so that a lost report loses what it told and
    /// no more.
    pub fn report(&mut self) -> Vec<Report> {
        self.number += 1;
        let caches: Vec<_> = self.seen.values().copied().collect();
        self.seen.retain(|_, s| s.out > 0.0);
        self.seen.values_mut().for_each(|s| (s.answered, s.failed) = (0.0, 0.0));
        let number = self.number;
        Part::cut(&caches).map(|(part, caches)| Report { number, part, caches }).collect()
    }

    /// A plan came, or a part of one; what is older than what the planner said before is passed over.
    pub fn plan_came(&mut self, now: Time, from: PlannerId, incarnation: Incarnation, plan: Plan) -> bool {
        if plan.part.check().is_err() || plan.verdicts.len() > MOST_CACHES {
            return false;
        }
        let at = (incarnation, plan.version);
        let plans = self.plans.entry(from).or_default();
        if plans.newest.as_ref().is_none_or(|n| at > n.at) {
            plans.before = plans.newest.take().or(plans.before.take());
            plans.newest = Some(Said { at, parts: Parts::default(), verdicts: Vec::new() });
        }
        let Some(newest) = plans.newest.as_mut().filter(|n| n.at == at) else { return false };
        if !newest.parts.take(plan.part) {
            return false;
        }
        newest.verdicts.extend(plan.verdicts.into_iter().map(|(cache, verdict)| (cache, verdict, now)));
        if newest.parts.whole(plan.part.of) {
            plans.before = None;
        }
        true
    }

    /// What planners say now, as one. Where they differ on a cache, whoever has the fresher evidence is believed; with
    /// none fresher it is not held to fail. A cache that this forwarder has the turn to try is not told of at all.
    pub fn advice(&self, now: Time) -> ControlPlaneUpdate {
        let mut fresh: BTreeMap<EndpointId, (Time, bool)> = BTreeMap::new();
        let turns = self.turns(now);
        for (cache, verdict, came) in self.plans.values().flat_map(|p| p.standing(now)) {
            let (ago, fails) = match verdict {
                HealthStatus::Failing { ago } | HealthStatus::Probe { ago } => (ago, true),
                HealthStatus::Recovered { ago } => (ago, false),
            };
            // Ages go over the wire, since clocks differ; the way itself is not counted.
            let at = Time(came.0.saturating_sub(ago.0));
            let said = fresh.entry(cache).or_insert((at, fails));
            if at > said.0 || at == said.0 && !fails {
                *said = (at, fails);
            }
        }
        let of = |which: bool| fresh.iter().filter(move |(_, f)| f.1 == which).map(|(c, f)| (*c, f.0));
        let failing = of(true).filter(|(c, _)| !turns.contains(c)).collect();
        ControlPlaneUpdate { failing, answering: of(false).collect(), ..ControlPlaneUpdate::default() }
    }

    /// The failing caches that it is this forwarder's turn to try, by any planner; in order.
    pub fn turns(&self, now: Time) -> Vec<EndpointId> {
        let standing = self.plans.values().flat_map(|p| p.standing(now));
        let turns =
            standing.filter(|(_, verdict, _)| matches!(verdict, HealthStatus::Probe { .. })).map(|v| v.0);
        turns.collect::<BTreeSet<_>>().into_iter().collect()
    }

    pub fn entries(&self) -> usize {
        let said = self.plans.values().flat_map(|p| [&p.before, &p.newest]).flatten();
        self.seen.len() + said.map(|s| 1 + s.verdicts.len()).sum::<usize>()
    }
}

impl Plans {
    fn standing(&self, now: Time) -> impl Iterator<Item = (EndpointId, HealthStatus, Time)> {
        let anew = self.newest.iter().flat_map(|n| &n.verdicts);
        let named: BTreeSet<_> = anew.clone().map(|v| v.0).collect();
        let before = self.before.iter().flat_map(|b| &b.verdicts).filter(move |v| !named.contains(&v.0));
        anew.chain(before).copied().filter(move |(_, _, came)| now - *came < LASTS)
    }
}
