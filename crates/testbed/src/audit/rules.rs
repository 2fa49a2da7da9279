//! The four rules, looked for in the book.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use super::leaving::Leaving;
use crate::event_log::{
    ClientAttempt, ClientAttemptEnd, Event, EventLog, Listed, NodeId, ServerAttempt, ServerAttemptEnd,
    ServerId, Timestamp,
};
use crate::experiment::{Experiment, FaultKind, RequestEffect};

/// What clocks and loopback may add to any time that a rule names, in milliseconds.
pub const SLACK_MS: f64 = 50.0;
/// New work to a draining or gone cache may go on for so long after a node was told.
pub const GRACE_MS: f64 = 300.0;
/// Breaches of one kind that are told one by one; more are counted.
const TOLD: usize = 5;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Rule {
    /// Each call gets exactly one final answer in time, made for it, and nothing is sent for it after.
    OneAnswer,
    /// No effect twice, and none for what was rate-limited.
    NoEffectTwice,
    /// Nothing new to a draining or gone cache after the grace.
    Drains,
    /// No cold cache pushed over, nor the origin.
    Cold,
    /// One form a version, one step at a time, no two splits on one cache.
    Growth,
}

/// A rule broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RuleViolation {
    pub rule: Rule,
    /// The kind of breach, the same for all alike.
    pub kind: &'static str,
    pub count: usize,
    /// The first few.
    pub examples: Vec<String>,
}

/// The book with its records found by name.
struct Records<'a> {
    experiment: &'a Experiment,
    event_log: &'a EventLog,
    tries: HashMap<&'a str, &'a ClientAttempt>,
    shots: HashMap<&'a str, Vec<&'a ServerAttempt>>,
    /// When each node could not be expected to answer.
    down: BTreeMap<NodeId, Vec<(Timestamp, Timestamp)>>,
    /// When each took nothing new, though it owed answers.
    stopping: BTreeMap<NodeId, Vec<(Timestamp, Timestamp)>>,
    /// What links on purpose add to a shot's way, in milliseconds.
    delay_ms: f64,
}

/// What links on purpose may add to a shot's way, in milliseconds.
pub fn delay_ms(experiment: &Experiment) -> f64 {
    let late = |f: &crate::experiment::Fault| match f.kind {
        FaultKind::LinkDelay => 2.0 * f.ms.unwrap_or(0.0),
        FaultKind::LinkThrottle => 1000.0,
        _ => 0.0,
    };
    experiment.faults().iter().map(late).sum()
}

pub type Found = Vec<(Rule, &'static str, String)>;

pub fn check(experiment: &Experiment, event_log: &EventLog) -> Vec<RuleViolation> {
    let records = Records::new(experiment, event_log);
    let mut found = Vec::new();
    records.one_answer(&mut found);
    records.nothing_after(&mut found);
    records.no_effect_twice(&mut found);
    records.single_shots(&mut found);
    records.drains(&mut found);
    records.cold(&mut found);
    gather(found)
}

/// Breaches by their kind.
pub fn gather(found: Found) -> Vec<RuleViolation> {
    let mut breaches: Vec<RuleViolation> = Vec::new();
    for (rule, kind, example) in found {
        let at = breaches.iter().position(|b| b.kind == kind).unwrap_or_else(|| {
            breaches.push(RuleViolation { rule, kind, count: 0, examples: Vec::new() });
            breaches.len() - 1
        });
        breaches[at].count += 1;
        if breaches[at].examples.len() < TOLD {
            breaches[at].examples.push(example);
        }
    }
    breaches
}

impl<'a> Records<'a> {
    fn new(experiment: &'a Experiment, event_log: &'a EventLog) -> Records<'a> {
        let mut shots: HashMap<&str, Vec<&ServerAttempt>> = HashMap::new();
        for shot in &event_log.shots {
            shots.entry(&shot.id).or_default().push(shot);
        }
        let mut down: BTreeMap<NodeId, Vec<(Timestamp, Timestamp)>> = BTreeMap::new();
        let mut stopping = down.clone();
        for (at, event) in &event_log.events {
            match event {
                Event::NodeDown { node } => down.entry(*node).or_default().push((*at, Timestamp(i64::MAX))),
                Event::NodeStops { node } => {
                    stopping.entry(*node).or_default().push((*at, Timestamp(i64::MAX)))
                }
                Event::NodeUp { node } => {
                    let last = [&mut down, &mut stopping].map(|d| d.get_mut(node).and_then(|d| d.last_mut()));
                    last.into_iter().flatten().for_each(|d| d.1 = d.1.min(*at));
                }
                _ => {}
            }
        }
        Records {
            experiment,
            event_log,
            tries: event_log.tries.iter().map(|t| (t.id.as_str(), t)).collect(),
            shots,
            down,
            stopping,
            delay_ms: delay_ms(experiment),
        }
    }

    fn effect(&self, t: &ClientAttempt) -> RequestEffect {
        self.experiment.request_classes[t.product].effect
    }

    fn shots_of(&self, id: &str) -> &[&'a ServerAttempt] {
        self.shots.get(id).map_or(&[], Vec::as_slice)
    }

    fn is_excused(&self, t: &ClientAttempt) -> bool {
        // What found no connection was not taken, unless a shot was sent for it: its client had asked on a kept
        // connection, which ended, and then once more.
        let untaken = t.end == ClientAttemptEnd::Unreached && self.shots_of(&t.id).is_empty();
        let stopping = self.stopping.get(&t.node).filter(|_| untaken);
        let down = self.down.get(&t.node).into_iter().chain(stopping).flatten();
        down.into_iter().any(|(from, to)| t.sent <= *to && t.ended >= *from)
    }

    /// Whether the link that a shot came on was silent at some time of its life, so that the server could not
    /// see what the node did.
    fn was_cut_off(&self, shot: &ServerAttempt) -> bool {
        let Some(seat) = self.event_log.servers.get(shot.server.0).and_then(|s| s.seat) else { return false };
        self.experiment.faults().iter().any(|f| {
            let meant = f.kind == FaultKind::LinkSilent && f.target_caches(self.experiment).contains(&seat);
            let from_node = f.nodes.is_empty() || f.nodes.contains(&shot.node.0);
            let (from, to) = (Timestamp::from_s(f.at_s), Timestamp::from_s(f.end_s()));
            meant && from_node && shot.arrived <= to && shot.ended.is_none_or(|e| e >= from)
        })
    }

    fn one_answer(&self, found: &mut Found) {
        for t in &self.event_log.tries {
            let timeout = self.experiment.request_classes[t.product].timeout_ms as f64;
            let took = t.ended.ms_since(t.sent);
            let kind = match &t.end {
                _ if self.is_excused(t) => None,
                ClientAttemptEnd::Left => None,
                ClientAttemptEnd::Unanswered => Some("no final answer"),
                // Closed while the call was on its way, unread: it was not accepted.
                ClientAttemptEnd::Torn { used_before: true } if self.shots_of(&t.id).is_empty() => None,
                ClientAttemptEnd::Torn { .. } => Some("connection ended without an answer"),
                ClientAttemptEnd::Fulfilled { made_for, .. } if *made_for != t.id => {
                    Some("answer not made for the call")
                }
                ClientAttemptEnd::Unreached if !self.shots_of(&t.id).is_empty() => {
                    Some("connection ended without an answer")
                }
                ClientAttemptEnd::Unreached => Some("node not reached"),
                _ if took > timeout + SLACK_MS => Some("final answer after the client timeout"),
                _ => None,
            };
            let what = || format!("try {} at {:.3} s, {took:.0} ms", t.id, t.sent.seconds());
            found.extend(kind.map(|kind| (Rule::OneAnswer, kind, what())));
        }
        for (at, event) in &self.event_log.events {
            let seconds = at.seconds();
            match event {
                Event::Stray { node } => {
                    let what = format!("node {} at {seconds:.3} s", node.0);
                    found.push((Rule::OneAnswer, "a second answer", what));
                }
                Event::PlannerCrashed { planner, how } => {
                    let what = format!("planner {planner} at {seconds:.3} s: {how}");
                    found.push((Rule::OneAnswer, "a planner crashed", what));
                }
                Event::NodeCrashed { node, how } => {
                    let what = format!("node {} at {seconds:.3} s: {how}", node.0);
                    found.push((Rule::OneAnswer, "a node crashed", what));
                }
                _ => {}
            }
        }
    }

    fn nothing_after(&self, found: &mut Found) {
        for shot in &self.event_log.shots {
            let Some(t) = self.tries.get(shot.id.as_str()) else {
                found.push((Rule::OneAnswer, "a shot that no client asked for", shot.id.clone()));
                continue;
            };
            if t.end == ClientAttemptEnd::Left {
                continue;
            }
            let after = shot.arrived.ms_since(t.ended);
            if after > SLACK_MS + self.delay_ms && !self.was_cut_off(shot) && !self.is_excused(t) {
                let what = format!("try {}, {after:.0} ms after its answer", t.id);
                found.push((Rule::OneAnswer, "sent after the final answer", what));
            }
        }
        let leaving = Leaving::measure(self.event_log, self.delay_ms);
        if leaving.breaks() {
            found.push((Rule::OneAnswer, "sent on for clients that had left", format!("{leaving:?}")));
        }
    }

    fn no_effect_twice(&self, found: &mut Found) {
        let mut by_id: BTreeMap<&str, usize> = BTreeMap::new();
        let mut by_key: BTreeMap<&str, usize> = BTreeMap::new();
        for effect in &self.event_log.effects {
            *by_id.entry(&effect.id).or_default() += 1;
            if let Some(key) = &effect.idempotency_key {
                *by_key.entry(key).or_default() += 1;
            }
        }
        for (key, count) in by_key.iter().filter(|(_, count)| **count > 1) {
            let what = format!("key {key}, {count} times");
            found.push((Rule::NoEffectTwice, "a deduplicated effect twice", what));
        }
        for t in self.event_log.tries.iter().filter(|t| self.effect(t) == RequestEffect::NonIdempotent) {
            let ran = by_id.get(t.id.as_str()).copied().unwrap_or(0);
            let what = || format!("try {} at {:.3} s", t.id, t.sent.seconds());
            if ran > 1 {
                found.push((Rule::NoEffectTwice, "a non-idempotent effect twice", what()));
            }
            if ran > 0 && matches!(t.end, ClientAttemptEnd::RateLimited { .. }) {
                found.push((Rule::NoEffectTwice, "rate-limited, though it ran", what()));
            }
            let mut shots: Vec<_> = self.shots_of(&t.id).to_vec();
            shots.sort_by_key(|s| s.arrived);
            let harmless =
                |s: &ServerAttempt| matches!(s.end, ServerAttemptEnd::TurnedAway | ServerAttemptEnd::Lacked);
            let risky = shots.iter().position(|s| !harmless(s));
            if risky.is_some_and(|n| n + 1 < shots.len()) {
                found.push((Rule::NoEffectTwice, "sent again, though it may have run", what()));
            }
        }
    }

    fn single_shots(&self, found: &mut Found) {
        if self.experiment.world.hedging {
            return;
        }
        for (id, shots) in &self.shots {
            let mut shots = shots.clone();
            shots.sort_by_key(|s| s.arrived);
            for pair in shots.windows(2) {
                let over = pair[0].ended.is_some_and(|e| pair[1].arrived.ms_since(e) > -SLACK_MS);
                if !over && !self.was_cut_off(pair[0]) {
                    let what = format!("try {id} at {:.3} s", pair[1].arrived.seconds());
                    found.push((Rule::NoEffectTwice, "a second copy while one was out", what));
                }
            }
        }
    }

    fn drains(&self, found: &mut Found) {
        for stop in stops(self.event_log) {
            for shot in stop.shots.iter().filter(|s| !self.was_cut_off(s)) {
                let after = shot.arrived.ms_since(stop.told);
                if after > GRACE_MS + SLACK_MS + self.delay_ms {
                    let name = &self.event_log.servers[stop.server.0].name;
                    let what = format!("node {} to {name}, {after:.0} ms after", stop.node.0);
                    found.push((Rule::Drains, "a new shot to a draining or gone cache", what));
                }
            }
        }
    }

    /// Whether over two thirds of what pushed a cache over came from nodes that had been told of its start.
    fn fell_by_the_told(&self, server: ServerId, at: Timestamp) -> bool {
        let span = self.experiment.world.cache.overload_window_s;
        let is_start = |e: &Event| *e == Event::ColdStart { server };
        let starts = self.event_log.events.iter().filter(|(then, e)| *then <= at && is_start(e));
        let start = starts.map(|(then, _)| *then).max().unwrap_or(Timestamp(i64::MIN));
        let within = |s: &&ServerAttempt| {
            s.server == server && s.arrived <= at && at.ms_since(s.arrived) <= span * 1e3
        };
        let told = |s: &ServerAttempt| {
            let of_start = |t: &&crate::event_log::EndpointNotification| {
                t.node == s.node && t.server == server && t.at >= start
            };
            self.event_log
                .told
                .iter()
                .filter(of_start)
                .any(|t| t.listed == Listed::Ready && t.at <= s.arrived)
        };
        let shots: Vec<_> = self.event_log.shots.iter().filter(within).collect();
        3 * shots.iter().filter(|s| told(s)).count() > 2 * shots.len()
    }

    fn cold(&self, found: &mut Found) {
        for (at, event) in &self.event_log.events {
            let seconds = at.seconds();
            match event {
                Event::FellOver { server } if self.fell_by_the_told(*server, *at) => {
                    let what = format!("{} at {seconds:.3} s", self.event_log.servers[server.0].name);
                    found.push((Rule::Cold, "a cold cache pushed over", what));
                }
                Event::OriginOverrun => {
                    found.push((Rule::Cold, "the origin overrun", format!("at {seconds:.3} s")));
                }
                _ => {}
            }
        }
    }
}

/// The new shots of a node to a cache from when it was told that the cache is draining or gone.
pub struct Stop<'a> {
    pub node: NodeId,
    pub server: ServerId,
    pub told: Timestamp,
    pub shots: Vec<&'a ServerAttempt>,
}

pub fn stops(event_log: &EventLog) -> Vec<Stop<'_>> {
    let mut told: Vec<_> = event_log.told.iter().collect();
    told.sort_by_key(|t| t.at);
    // From when to when each pair was told not to send.
    let mut spans: BTreeMap<(NodeId, ServerId), Vec<(Timestamp, Timestamp)>> = BTreeMap::new();
    for t in told {
        let known = spans.entry((t.node, t.server)).or_default();
        let barred = known.last_mut().filter(|s| s.1 == Timestamp(i64::MAX));
        match (t.listed, barred) {
            (Listed::Ready, Some(span)) => span.1 = t.at,
            (Listed::Draining | Listed::Gone, None) => known.push((t.at, Timestamp(i64::MAX))),
            _ => {}
        }
    }
    let mut shots: HashMap<(NodeId, ServerId), Vec<&ServerAttempt>> = HashMap::new();
    for shot in &event_log.shots {
        shots.entry((shot.node, shot.server)).or_default().push(shot);
    }
    let mut stops = Vec::new();
    for ((node, server), spans) in spans {
        for (from, to) in spans {
            let within = |s: &&&ServerAttempt| s.arrived > from && s.arrived <= to;
            let shots = shots.get(&(node, server)).into_iter().flatten().filter(within).copied().collect();
            stops.push(Stop { node, server, told: from, shots });
        }
    }
    stops
}
