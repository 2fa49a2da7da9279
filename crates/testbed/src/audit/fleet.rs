//! What the fleet did together, from the books of the relay, the servers and the clients.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::figures::{Second, served_calls};
use crate::event_log::{Event, EventLog, Member, RelayedMessage, Timestamp};
use crate::experiment::{Experiment, FaultKind, LeasesForm, Lie};
use crate::message_reference::{
    self, Comparison, CounterfactualMessage, LeaseMessage, MessageKind, Resource,
};
use crate::schedule::Schedule;

/// Trials of a cache that hangs are counted from so long after it began: until then nobody can know.
const KNOWN_S: f64 = 3.0;
/// Nodes with fewer calls say nothing of fairness.
const FEW: usize = 20;
/// Service before planners are back, and after.
const BEFORE_S: usize = 3;
const AFTER_S: usize = 5;

#[derive(Clone, Debug, Default, Serialize)]
pub struct FleetFigures {
    /// Letters that the relay took, those that it passed not once, and those it changed.
    pub letters: usize,
    pub letters_lost: usize,
    pub letters_changed: usize,
    pub bytes_per_s: f64,
    pub grants: usize,
    /// Live leases and the reserve over the whole, at the worst moment and resource.
    pub leases: f64,
    pub origin_over_whole: f64,
    pub cold_over_whole: f64,
    pub sick_trials: f64,
    pub fairness: f64,
    pub step: f64,
    /// Against the same calls with nothing befalling planners and letters, where that was played.
    pub loss: Option<f64>,
    /// Slow caches that planners said to be worse than others, and caches that are not slow.
    pub named: usize,
    pub named_wrongly: usize,
    pub planners_crashed: usize,
}

impl FleetFigures {
    pub fn measure(
        experiment: &Experiment,
        schedule: &Schedule,
        event_log: &EventLog,
        seconds: &[Second],
    ) -> FleetFigures {
        let form = experiment.fleet.as_ref().and_then(|f| f.leases.clone());
        let leases = Leases::read(event_log);
        let bytes: usize = event_log.letters.iter().map(|l| l.bytes.len()).sum();
        let named = named(experiment, event_log);
        let crashed = event_log.events.iter().filter(|(_, e)| matches!(e, Event::PlannerCrashed { .. }));
        FleetFigures {
            letters: event_log.letters.len(),
            letters_lost: event_log.letters.iter().filter(|l| l.passed.is_empty()).count(),
            letters_changed: event_log.letters.iter().filter(|l| l.changed).count(),
            bytes_per_s: bytes as f64 / experiment.seconds,
            grants: leases.held.values().map(Vec::len).sum(),
            leases: form.as_ref().map_or(0.0, |f| leases.over_whole(f, experiment.world.nodes)),
            origin_over_whole: form.as_ref().map_or(0.0, |f| origin_over_whole(f, experiment, event_log)),
            cold_over_whole: form.as_ref().map_or(0.0, |f| cold_over_whole(f, experiment, event_log)),
            sick_trials: sick_trials(experiment, event_log),
            fairness: fairness(experiment, schedule, event_log),
            step: step(experiment, seconds),
            loss: None,
            named: named.0,
            named_wrongly: named.1,
            planners_crashed: crashed.count(),
        }
    }
}

/// What leases may add up to: nobody answers for a planner that lies.
pub fn asked_of_leases(experiment: &Experiment) -> Option<f64> {
    let lies = experiment.faults().iter().any(|f| f.lie == Some(Lie::Grants));
    let on = experiment.fleet.as_ref().is_some_and(|f| f.leases.is_some());
    experiment.expect.leases.or((on && !lies).then_some(1.0))
}

/// A grant at its holder, who counts it from when it sent the ask: the relay took that no earlier.
struct Held {
    life: u64,
    asked: Timestamp,
    from: Timestamp,
    to: Timestamp,
    amount: u32,
}

struct Leases {
    held: Books,
}

/// By holder, giver and resource, in the order in which they came. Standing parts of the origin's fetches are books of
/// their own: one of them takes no lease's place.
type Books = BTreeMap<(usize, usize, Resource, Lasting), Vec<Held>>;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Lasting {
    Lease,
    Standing,
}

impl Leases {
    fn read(event_log: &EventLog) -> Leases {
        let mut asks: BTreeMap<(usize, usize, Lasting, u64), (Timestamp, u64)> = BTreeMap::new();
        let mut lives: BTreeMap<usize, u64> = BTreeMap::new();
        let mut held = Books::new();
        let mut letters: Vec<&RelayedMessage> = event_log.letters.iter().filter(|l| !l.changed).collect();
        letters.sort_by_key(|l| l.taken);
        for letter in letters {
            if let (Member::Node(node), Some(sender)) =
                (letter.from, message_reference::decode_sender(&event_log.secret, &letter.bytes))
                && lives.insert(node, sender.incarnation).is_some_and(|before| before < sender.incarnation)
            {
                // What an earlier life held went with it.
                end_all(&mut held, node, None, letter.taken, |h| h.life < sender.incarnation);
            }
            let lease = message_reference::decode::<LeaseMessage>(
                &event_log.secret,
                MessageKind::Leases,
                &letter.bytes,
            );
            let life = lease.as_ref().map_or(0, |(sender, _)| sender.incarnation);
            let Some((_, message)) = lease else { continue };
            match (letter.from, letter.to) {
                (Member::Node(node), Member::Planner(planner)) => {
                    let (lasting, ask, back) = match message {
                        LeaseMessage::Request { request: ask, .. } => (Lasting::Lease, ask, false),
                        LeaseMessage::RequestAllocation { request: ask, .. } => {
                            (Lasting::Standing, ask, false)
                        }
                        LeaseMessage::Return { request: ask } => (Lasting::Lease, ask, true),
                        LeaseMessage::ReturnAllocation { request: ask } => (Lasting::Standing, ask, true),
                        LeaseMessage::Grant { .. } | LeaseMessage::Allocation { .. } => continue,
                    };
                    if !back {
                        asks.insert((node, planner, lasting, ask), (letter.taken, life));
                        continue;
                    }
                    let asked = asks.get(&(node, planner, lasting, ask)).map(|(asked, _)| *asked);
                    end_all(&mut held, node, Some((planner, lasting)), letter.taken, |h| {
                        asked.is_some_and(|a| h.asked <= a)
                    });
                }
                (Member::Planner(planner), Member::Node(node)) => {
                    let (lasting, ask, granted, lasts) = match message {
                        LeaseMessage::Grant { request: ask, granted, duration: lasts } => {
                            (Lasting::Lease, ask, granted, lasts)
                        }
                        LeaseMessage::Allocation { request: ask, amount, duration: lasts } if lasts > 0 => {
                            (Lasting::Standing, ask, vec![(Resource::Origin, amount)], lasts)
                        }
                        _ => continue,
                    };
                    // A node that starts anew counts its asks anew: the last one of that number is meant.
                    let asked = asks.get(&(node, planner, lasting, ask)).copied();
                    let Some((asked, life)) = asked else { continue };
                    let to = Timestamp(asked.0 + i64::from(lasts));
                    for passed in &letter.passed {
                        for (resource, amount) in &granted {
                            let grant = Held { life, asked, from: *passed, to, amount: *amount };
                            held.entry((node, planner, *resource, lasting)).or_default().push(grant);
                        }
                    }
                }
                _ => {}
            }
        }
        held.values_mut().for_each(|h| h.sort_by_key(|h| (h.from, h.asked)));
        Leases { held }
    }

    /// The most that was held at a moment, with the parts that are each node's for ever.
    fn over_whole(&self, form: &LeasesForm, nodes: usize) -> f64 {
        let mut changes: BTreeMap<Resource, Vec<(Timestamp, i64)>> = BTreeMap::new();
        for ((_, _, resource, _), grants) in &self.held {
            let changes = changes.entry(*resource).or_default();
            let mut last: Option<&Held> = None;
            for (n, grant) in grants.iter().enumerate() {
                if last.is_some_and(|l| l.asked >= grant.asked) {
                    // One that came twice, or after a later one: the holder keeps to the later.
                    continue;
                }
                last = Some(grant);
                let newer = grants[n + 1..].iter().find(|g| g.asked > grant.asked).map(|g| g.from);
                let to = newer.map_or(grant.to, |n| n.min(grant.to));
                if to > grant.from {
                    changes.push((grant.from, i64::from(grant.amount)));
                    changes.push((to, -i64::from(grant.amount)));
                }
            }
        }
        let mut worst = 0.0_f64;
        for (resource, mut changes) in changes {
            // Thousandths of a fetch, millionths of a second of work.
            let whole = match resource {
                Resource::Origin => form.origin_per_s * 1e3,
                Resource::WarmingCache(_) => form.cold_work * 1e6,
            };
            changes.sort_unstable();
            let mut sum = 0;
            let most = changes.iter().map(|(_, change)| {
                sum += change;
                sum
            });
            let most = most.max().unwrap_or(0);
            let own = (whole * form.reserve / nodes as f64).floor() * nodes as f64;
            worst = worst.max((most as f64 + own) / whole);
        }
        worst
    }
}

/// Leases of a node that end before their time.
fn end_all(
    held: &mut Books,
    node: usize,
    giver: Option<(usize, Lasting)>,
    at: Timestamp,
    which: impl Fn(&Held) -> bool,
) {
    let meant =
        held.iter_mut().filter(|((n, p, _, l), _)| *n == node && giver.is_none_or(|giver| giver == (*p, *l)));
    for lease in meant.flat_map(|(_, all)| all).filter(|h| which(h)) {
        lease.to = lease.to.min(at);
    }
}

/// The most of what came, by its weight, within any second.
fn busiest(mut came: Vec<(Timestamp, f64)>) -> f64 {
    came.sort_by_key(|c| c.0);
    let (mut first, mut sum, mut most) = (0, 0.0, 0.0_f64);
    for (at, weight) in &came {
        sum += weight;
        while at.0 - came[first].0.0 >= 1_000_000 {
            sum -= came[first].1;
            first += 1;
        }
        most = most.max(sum);
    }
    most
}

fn origin_over_whole(form: &LeasesForm, experiment: &Experiment, event_log: &EventLog) -> f64 {
    let reads: std::collections::HashSet<&str> = event_log
        .tries
        .iter()
        .filter(|t| !experiment.product[t.product].writes())
        .map(|t| t.id.as_str())
        .collect();
    let at_origin = |s: &&crate::event_log::ServerAttempt| event_log.servers[s.server.0].seat.is_none();
    let came = event_log.shots.iter().filter(at_origin).filter(|s| reads.contains(s.id.as_str()));
    busiest(came.map(|s| (s.arrived, 1.0)).collect()) / form.origin_per_s
}

fn cold_over_whole(form: &LeasesForm, experiment: &Experiment, event_log: &EventLog) -> f64 {
    let mut came: BTreeMap<usize, Vec<(Timestamp, f64)>> = BTreeMap::new();
    for shot in &event_log.shots {
        let Some(started) = event_log.servers[shot.server.0].started else { continue };
        if shot.arrived.ms_since(started) < experiment.world.cache.warm_after_s * 1000.0 {
            came.entry(shot.server.0).or_default().push((shot.arrived, shot.work));
        }
    }
    came.into_values().map(busiest).fold(0.0, f64::max) / form.cold_work
}

fn sick_trials(experiment: &Experiment, event_log: &EventLog) -> f64 {
    let mut most = 0.0_f64;
    for fault in experiment.faults().iter().filter(|f| f.kind == FaultKind::Hang) {
        let (from, to) = (fault.at_s + KNOWN_S, fault.at_s + fault.for_s);
        if to - from < 1.0 {
            continue;
        }
        for cache in fault.named(experiment) {
            let there =
                |s: &&crate::event_log::ServerAttempt| event_log.servers[s.server.0].seat == Some(cache);
            let within = |s: &&crate::event_log::ServerAttempt| (from..to).contains(&s.arrived.seconds());
            let count = event_log.shots.iter().filter(there).filter(within).count();
            most = most.max(count as f64 / (to - from));
        }
    }
    most
}

/// How many slow caches were said to be worse than others, and how many that are not slow.
fn named(experiment: &Experiment, event_log: &EventLog) -> (usize, usize) {
    let mut said = BTreeSet::new();
    for letter in event_log.letters.iter().filter(|l| matches!(l.from, Member::Planner(_)) && !l.changed) {
        let read = message_reference::decode::<CounterfactualMessage>(
            &event_log.secret,
            MessageKind::Counterfactual,
            &letter.bytes,
        );
        let Some((_, CounterfactualMessage::Comparisons(all) | CounterfactualMessage::LatencyRatios(all))) =
            read
        else {
            continue;
        };
        said.extend(all.iter().filter(|s| s.comparison == Comparison::Worse).map(|s| s.cache));
    }
    let faults = experiment.faults();
    let slow = faults.iter().filter(|f| f.kind == FaultKind::Slow).flat_map(|f| f.named(experiment));
    let slow: BTreeSet<usize> = slow.collect();
    let (mut right, mut wrong) = (0, 0);
    for server in
        event_log.servers.iter().filter(|s| said.contains(&message_reference::endpoint_number(&s.name)))
    {
        let is_slow = server.seat.is_some_and(|s| slow.contains(&s));
        *if is_slow { &mut right } else { &mut wrong } += 1;
    }
    (right, wrong)
}

fn fairness(experiment: &Experiment, schedule: &Schedule, event_log: &EventLog) -> f64 {
    let mut nodes: BTreeMap<usize, (usize, usize)> = BTreeMap::new();
    for (call, served) in schedule.calls.iter().zip(served_calls(experiment, schedule, event_log)) {
        let node = nodes.entry(call.node).or_default();
        node.0 += usize::from(served);
        node.1 += 1;
    }
    let shares: Vec<f64> =
        nodes.values().filter(|(_, asked)| *asked >= FEW).map(|(s, a)| *s as f64 / *a as f64).collect();
    let (sum, squares): (f64, f64) = (shares.iter().sum(), shares.iter().map(|s| s * s).sum());
    if squares > 0.0 { sum * sum / (shares.len() as f64 * squares) } else { 1.0 }
}

/// By how much the service of two seconds running fell below what it was before, at the worst return of planners.
fn step(experiment: &Experiment, seconds: &[Second]) -> f64 {
    let service = |of: &[Second]| {
        let (served, asked) =
            (of.iter().map(|s| s.served).sum::<f64>(), of.iter().map(|s| s.asked).sum::<f64>());
        if asked > 0.0 { served / asked } else { 1.0 }
    };
    let mut worst = 0.0_f64;
    let away = experiment.faults().into_iter();
    for fault in away.filter(|f| f.kind.befalls_planners() && !f.kind.befalls_letters()) {
        let back = (fault.end_s() as usize).min(seconds.len());
        let before = service(&seconds[back.saturating_sub(BEFORE_S)..back]);
        let after = &seconds[back..(back + AFTER_S).min(seconds.len())];
        worst = after.windows(2).map(|two| before - service(two)).fold(worst, f64::max);
    }
    worst
}

#[cfg(test)]
mod tests;
