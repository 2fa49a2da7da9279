//! How shards were split, from the letters on the relay and the servers' books: by code of the lab's own.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

use serde::Serialize;

use super::expectations::UnmetExpectation;
use super::rules::{self, Found, Rule, RuleViolation};
use crate::event_log::{ClientAttempt, Event, EventLog, Member, ServerAttempt, ServerAttemptEnd, Timestamp};
use crate::experiment::{Experiment, GrowthExpect, GrowthForm};
use crate::message_reference::{self, MessageKind};
use crate::shard_map_reference::{Placement, ShardGrowthMessage, ShardMap, ShardState, SplitPhase, shard_of};

/// Until the origin's slowness can be known. In trials nodes remember fetches for 3 s: after 2.1 s of slow ones those are
/// half; a fetch that is slow itself, a beat, and one whose letters are lost come on top.
const KNOWN_S: f64 = 3.5;
/// A node goes by a form it was told of within this.
const TAKEN_S: f64 = 0.5;

#[derive(Clone, Debug, Default, Serialize)]
pub struct GrowthFigures {
    pub forms: usize,
    /// Whatever steps there were, in order: seconds, shard, where it came to.
    pub steps: Vec<(f64, u8, ShardState)>,
    pub settled: usize,
    pub withdrawn: usize,
    pub steps_while_slow: usize,
    /// Kills of planners, and those after which another one took the next step meanwhile.
    pub kills: usize,
    /// Where splits stood at each.
    pub killed_at: Vec<ShardState>,
    pub gone_on: usize,
    /// Reads that missed at the new place while both were read; of them those that the old place had, those that went to the
    /// origin, and those of the latter that asked the old place first.
    pub missed: usize,
    pub spared: usize,
    pub at_origin: usize,
    pub old_first: usize,
    /// Reads at nodes that held an older form, of keys that by the newest one stand elsewhere; and of them those that the origin
    /// answered. The same of all nodes that held the newest, once all keys of the shard had moved.
    pub behind: usize,
    pub behind_at_origin: usize,
    pub moved: usize,
    pub moved_at_origin: usize,
    /// Faults that never came about, since their step did not.
    pub faults_missing: usize,
    /// Nodes that did not end with the last form.
    pub nodes_behind: usize,
}

impl fmt::Display for GrowthFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} forms, {} settled, {} withdrawn; {} of {} kills gone on from, {} steps while slow; both read: {} missed, \
             {} spared, {} at the origin, {} of them asked the old place first; by an older form {} reads, {} at the origin, \
             by the newest {}, {}; {} nodes behind at the end",
            self.forms,
            self.settled,
            self.withdrawn,
            self.gone_on,
            self.kills,
            self.steps_while_slow,
            self.missed,
            self.spared,
            self.at_origin,
            self.old_first,
            self.behind,
            self.behind_at_origin,
            self.moved,
            self.moved_at_origin,
            self.nodes_behind
        )?;
        for of in &self.killed_at {
            write!(f, "\n        killed at {:?} after {} splits", of.phase, of.bits)?;
        }
        let mut last = None;
        for (at, shard, of) in &self.steps {
            // Of the copying its first part alone.
            let copies = matches!(of.phase, Some(SplitPhase::Copying(n)) if n > 1);
            if !copies && last != Some((*shard, *of)) {
                let step = of.phase.map_or(format!("{} bits", of.bits), |s| format!("{s:?}"));
                write!(f, "\n        {at:.2} s: shard {shard} {step}")?;
            }
            last = Some((*shard, *of));
        }
        Ok(())
    }
}

impl GrowthFigures {
    /// What falls short of the bars.
    pub fn hold(&self, expect: &GrowthExpect) -> Vec<UnmetExpectation> {
        let some = |n: Option<usize>| n.map(|n| n as f64);
        let old_first = if self.at_origin > 0 { self.old_first as f64 / self.at_origin as f64 } else { 1.0 };
        let at_least = [
            ("growth.expect.settled", some(expect.settled), self.settled as f64),
            ("growth.expect.given_up", some(expect.given_up), self.withdrawn as f64),
            ("growth.expect.gone_on", some(expect.gone_on), self.gone_on as f64),
            ("growth.expect.old_first", expect.old_first, old_first),
            ("growth.expect.behind", some(expect.behind), self.behind as f64),
        ];
        let at_most = [
            ("growth.expect.withdrawn", some(expect.withdrawn), self.withdrawn as f64),
            ("growth.expect.steps_while_slow", some(expect.steps_while_slow), self.steps_while_slow as f64),
            // These are asked always.
            ("growth: faults that never came about", Some(0.0), self.faults_missing as f64),
            ("growth: nodes without the last form", Some(0.0), self.nodes_behind as f64),
        ];
        let low = at_least.into_iter().filter(|(_, asked, m)| asked.is_some_and(|a| *m < a));
        let high = at_most.into_iter().filter(|(_, asked, m)| asked.is_some_and(|a| *m > a));
        low.chain(high)
            .map(|(bar, asked, measured)| UnmetExpectation {
                bar,
                asked: asked.unwrap_or_default(),
                measured,
            })
            .collect()
    }
}

/// Forms that nodes were told of.
#[derive(Default)]
struct EndpointNotification {
    /// By version: who told it first, and when.
    first: BTreeMap<u64, (Timestamp, usize, ShardMap)>,
    /// When a node was told of each.
    nodes: BTreeMap<usize, Vec<(Timestamp, u64)>>,
    /// The last that each node said it goes by, after the life in which it said so.
    held: BTreeMap<usize, (u64, u64)>,
}

impl EndpointNotification {
    fn read(event_log: &EventLog, found: &mut Found) -> EndpointNotification {
        let mut told = EndpointNotification::default();
        let mut lives: BTreeMap<(usize, usize), (u64, u64)> = BTreeMap::new();
        for letter in event_log.letters.iter().filter(|l| !l.changed) {
            let Some((sender, message)) = message_reference::decode::<ShardGrowthMessage>(
                &event_log.secret,
                MessageKind::ShardGrowth,
                &letter.bytes,
            ) else {
                continue;
            };
            match (letter.from, letter.to, message) {
                (Member::Planner(planner), Member::Node(node), ShardGrowthMessage::Map { map: form }) => {
                    let version = form.version;
                    let known =
                        told.first.entry(version).or_insert_with(|| (letter.taken, planner, form.clone()));
                    if known.2 != form {
                        let text = format!("version {version}: {:?} and {form:?}", known.2);
                        found.push((Rule::Growth, "two forms of one version", text));
                    }
                    let passed = letter.passed.iter().min();
                    told.nodes.entry(node).or_default().extend(passed.map(|at| (*at, version)));
                }
                (Member::Node(node), Member::Planner(planner), ShardGrowthMessage::MapInUse { version }) => {
                    // Letters overtake each other in the relay and not before it, but for those to several planners.
                    let (life, last) =
                        lives.insert((node, planner), (sender.incarnation, version)).unwrap_or_default();
                    if life == sender.incarnation && version < last {
                        let text = format!("node {node} held {last}, then {version}");
                        found.push((Rule::Growth, "a node went back to an older form", text));
                    }
                    let held = told.held.entry(node).or_default();
                    *held = (*held).max((sender.incarnation, version));
                }
                _ => {}
            }
        }
        told.nodes.values_mut().for_each(|all| all.sort_unstable());
        told
    }

    /// The form that a node went by for all of a time, as far as it is known.
    fn held(&self, node: usize, from: Timestamp, to: Timestamp) -> Option<&ShardMap> {
        let all = self.nodes.get(&node)?;
        let sure = Timestamp(from.0 - (TAKEN_S * 1e6) as i64);
        let best = |until: Timestamp| all.iter().filter(|(at, _)| *at <= until).map(|(_, v)| *v).max();
        let version = best(sure).filter(|v| best(to) == Some(*v))?;
        self.first.get(&version).map(|(_, _, form)| form)
    }
}

/// The figures, and what was broken.
pub fn judge(
    experiment: &Experiment,
    form: &GrowthForm,
    event_log: &EventLog,
) -> (GrowthFigures, Vec<RuleViolation>) {
    let mut found = Found::new();
    let told = EndpointNotification::read(event_log, &mut found);
    let mut figures = GrowthFigures { forms: told.first.len(), ..GrowthFigures::default() };
    let names = event_log.servers.iter().filter(|s| s.seat.is_some()).map(|s| s.name.as_str());
    let places = Placement::new(names);
    check_steps(&told, &places, &mut figures, &mut found);
    figures.steps_while_slow = steps_while_slow(&told, event_log);
    (figures.kills, figures.gone_on) = gone_on(&told, event_log);
    let downs = event_log.events.iter().filter(|(_, e)| matches!(e, Event::PlannerDown { .. }));
    let stood = |at: Timestamp| told.first.values().rfind(|(then, _, _)| *then < at);
    let all = downs.filter_map(|(at, _)| stood(*at)).flat_map(|(_, _, form)| form.shards.values().copied());
    figures.killed_at = all.collect();
    both_read(experiment, form, event_log, &told, &places, &mut figures);
    let began = event_log.events.iter().filter(|(_, e)| matches!(e, Event::FaultBegan { .. })).count();
    figures.faults_missing = experiment.faults().len().saturating_sub(began);
    let last = told.first.keys().last().copied().unwrap_or(0);
    // One that was told in the last moment need not have said so.
    let long_ago = told.first.get(&last).is_some_and(|f| f.0.seconds() + 3.0 < experiment.seconds);
    let nodes = 0..experiment.begins_with();
    figures.nodes_behind =
        nodes.filter(|n| long_ago && told.held.get(n).is_none_or(|held| held.1 != last)).count();
    (figures, rules::gather(found))
}

/// Whether a split may come from one to the other at once.
fn follows(from: ShardState, to: ShardState) -> bool {
    if to.bits == from.bits + 1 {
        return from.phase == Some(SplitPhase::Switched) && to.phase.is_none();
    }
    let place = |s: ShardState| s.phase.map_or(Some(0), SplitPhase::rank);
    let on = place(from).zip(place(to)).is_some_and(|(a, b)| b == a + 1);
    let back = match (from.phase, to.phase) {
        (Some(SplitPhase::Withdrawn | SplitPhase::Forecast | SplitPhase::Planned), None) => true,
        (Some(SplitPhase::Planned), Some(SplitPhase::Forecast)) => true,
        (Some(SplitPhase::Withdrawn), Some(SplitPhase::Withdrawn)) => false,
        (Some(_), Some(SplitPhase::Withdrawn)) => true,
        _ => false,
    };
    to.bits == from.bits && (on || back)
}

fn check_steps(
    told: &EndpointNotification,
    places: &Placement,
    figures: &mut GrowthFigures,
    found: &mut Found,
) {
    let mut before = ShardMap::default();
    for (version, (at, _, form)) in &told.first {
        let shards: BTreeSet<u8> = before.shards.keys().chain(form.shards.keys()).copied().collect();
        let changed: Vec<u8> = shards.into_iter().filter(|s| before.shard(*s) != form.shard(*s)).collect();
        for shard in &changed {
            figures.steps.push((at.seconds(), *shard, form.shard(*shard)));
            let (from, to) = (before.shard(*shard), form.shard(*shard));
            figures.settled += usize::from(to.bits > from.bits);
            let withdrawn = Some(SplitPhase::Withdrawn);
            figures.withdrawn += usize::from(to.phase == withdrawn && from.phase != withdrawn);
        }
        // Of a version that no node was told of nothing is known: what follows it may be two steps on.
        if *version == before.version + 1 {
            if changed.len() > 1 {
                found.push((
                    Rule::Growth,
                    "two shards changed at once",
                    format!("version {version}: {changed:?}"),
                ));
            }
            for shard in changed.iter().filter(|s| !follows(before.shard(**s), form.shard(**s))) {
                let text = format!(
                    "version {version}, shard {shard}: {:?} to {:?}",
                    before.shard(*shard),
                    form.shard(*shard)
                );
                found.push((Rule::Growth, "a step out of order", text));
            }
        }
        let active = form.shards.iter().filter(|(_, of)| of.phase.is_some_and(SplitPhase::is_active));
        let taken: Vec<_> =
            active.map(|(shard, of)| (shard, places.caches_of_shard(*shard, of.bits + 1))).collect();
        for (n, (shard, caches)) in taken.iter().enumerate() {
            if let Some((other, _)) = taken[..n].iter().find(|(_, theirs)| !theirs.is_disjoint(caches)) {
                let text = format!("version {version}: shards {other} and {shard}");
                found.push((Rule::Growth, "two splits on one cache", text));
            }
        }
        before = form.clone();
    }
}

/// Steps on of splits that move keys, while the origin was slow for long enough to be known.
fn steps_while_slow(told: &EndpointNotification, event_log: &EventLog) -> usize {
    let named = |e: &Event| match e {
        Event::FaultBegan { what } | Event::FaultEnded { what } => what.starts_with("OriginSlow"),
        _ => false,
    };
    let all: Vec<_> = event_log.events.iter().filter(|(_, e)| named(e)).collect();
    let mut steps = 0;
    for (at, _) in all.iter().filter(|(_, e)| matches!(e, Event::FaultBegan { .. })) {
        let from = at.seconds() + KNOWN_S;
        let ends = all.iter().find(|(end, e)| end > at && matches!(e, Event::FaultEnded { .. }));
        let to = ends.map_or(f64::INFINITY, |(end, _)| end.seconds());
        let within = told.first.values().filter(|(at, _, _)| (from..to).contains(&at.seconds()));
        steps += within.filter(|(_, _, form)| steps_on(told, form)).count();
    }
    steps
}

fn steps_on(told: &EndpointNotification, form: &ShardMap) -> bool {
    let Some((_, _, before)) = told.first.get(&form.version.wrapping_sub(1)) else { return false };
    form.shards.iter().any(|(shard, to)| {
        let place = |s: ShardState| s.phase.and_then(SplitPhase::rank);
        let on = place(before.shard(*shard)).zip(place(*to)).is_some_and(|(a, b)| b > a);
        on && to.phase.is_some_and(SplitPhase::is_active)
    })
}

/// Planners that went down, and those in whose absence another one told of a new form.
fn gone_on(told: &EndpointNotification, event_log: &EventLog) -> (usize, usize) {
    let (mut kills, mut gone_on) = (0, 0);
    for (at, event) in &event_log.events {
        let Event::PlannerDown { planner } = event else { continue };
        kills += 1;
        let up = |(then, e): &&(Timestamp, Event)| {
            then > at && matches!(e, Event::PlannerUp { planner: p } if p == planner)
        };
        let back = event_log.events.iter().find(up).map_or(Timestamp(i64::MAX), |(then, _)| *then);
        let next = told.first.values().any(|(then, by, _)| then > at && *then < back && by != planner);
        gone_on += usize::from(next);
    }
    (kills, gone_on)
}

/// A read at a node whose form puts its key elsewhere than the newest that any node was told of, or at one that holds that.
fn reads_behind(
    event_log: &EventLog,
    told: &EndpointNotification,
    places: &Placement,
    read: &ClientAttempt,
    shots: Option<&Vec<&ServerAttempt>>,
    figures: &mut GrowthFigures,
) {
    let sure = Timestamp(read.sent.0 - (TAKEN_S * 1e6) as i64);
    let newest = told.first.values().rfind(|(at, _, _)| *at < sure);
    let Some(newest) = newest.map(|(_, _, form)| form.shard(shard_of(read.key))) else { return };
    // Bits by which all its keys are told apart.
    let whole = |of: ShardState| match of.phase {
        None => Some(of.bits),
        Some(SplitPhase::DualRead | SplitPhase::Switched) => Some(of.bits + 1),
        Some(_) => None,
    };
    let none = ShardMap::default();
    let held = match told.nodes.get(&read.node.0) {
        // It was told of none yet.
        Some(all) if all.iter().any(|(at, _)| *at < read.ended) => {
            told.held(read.node.0, read.sent, read.ended)
        }
        _ => Some(&none),
    };
    let (Some(bits), Some(held)) = (whole(newest), held) else { return };
    let of = held.shard(shard_of(read.key));
    let old_bits = whole(of).unwrap_or(of.bits);
    let [first, old, new] = [0, old_bits, bits].map(|bits| places.cache_of(read.key, bits));
    let at_origin = shots.is_some_and(|all| all.iter().any(|s| event_log.servers[s.server.0].seat.is_none()));
    if old != new && matches!(of.phase, None | Some(SplitPhase::Forecast | SplitPhase::Planned)) {
        figures.behind += 1;
        figures.behind_at_origin += usize::from(at_origin);
    } else if old == new && first != new {
        figures.moved += 1;
        figures.moved_at_origin += usize::from(at_origin);
    }
}

fn both_read(
    experiment: &Experiment,
    growth: &GrowthForm,
    event_log: &EventLog,
    told: &EndpointNotification,
    places: &Placement,
    figures: &mut GrowthFigures,
) {
    let mut shots: HashMap<&str, Vec<&ServerAttempt>> = HashMap::new();
    event_log.shots.iter().for_each(|shot| shots.entry(&shot.id).or_default().push(shot));
    let seat = |shot: &ServerAttempt| event_log.servers[shot.server.0].seat;
    for read in event_log.tries.iter().filter(|t| !experiment.product[t.product].writes()) {
        if read.key < crate::shard_map_reference::FIRST_GROWING_KEY
            || !growth.shards.contains(&shard_of(read.key))
        {
            continue;
        }
        reads_behind(event_log, told, places, read, shots.get(read.id.as_str()), figures);
        let Some(form) = told.held(read.node.0, read.sent, read.ended) else { continue };
        let of = form.shard(shard_of(read.key));
        if of.phase != Some(SplitPhase::DualRead) {
            continue;
        }
        let [old, new] = [of.bits, of.bits + 1].map(|bits| places.cache_of(read.key, bits));
        let Some(all) = shots.get(read.id.as_str()).filter(|_| old != new) else { continue };
        let mut all = all.clone();
        all.sort_by_key(|s| s.arrived);
        let lacked = |s: &&ServerAttempt| seat(s) == new && s.end == ServerAttemptEnd::Lacked;
        if !all.first().is_some_and(lacked) {
            continue;
        }
        figures.missed += 1;
        let at_old = all.iter().position(|s| seat(s) == old);
        figures.spared += usize::from(at_old.is_some_and(|n| all[n].end == ServerAttemptEnd::Answered));
        if let Some(at_origin) = all.iter().position(|s| seat(s).is_none()) {
            figures.at_origin += 1;
            figures.old_first += usize::from(at_old.is_some_and(|n| n < at_origin));
        }
    }
}

#[cfg(test)]
mod tests;
