//! The calls of one product, made ready: each with its value, the choices counted, and two models.

use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};

use super::model::Model;
use super::observation::{How, SampledRequest};
use super::survival::{Timed, Value, values};
use crate::member::ForwarderId;

/// So many of a group have to be seen to the end, and so many choices have to be there to speak of a candidate.
pub const LEAST: usize = 5;
/// What is chosen more seldom than this is not weighed: one call would stand for too many.
pub const LEAST_SHARE: f64 = 0.03;
/// What all caches show counts as much as so many calls with the one among the candidates.
const LEAN: f64 = 4.0;

/// What is asked of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Measure {
    /// The share of the SLO that it waits; one not answered within it waits all of it.
    Waited,
    /// Whether it is fulfilled within the SLO.
    InTime,
}

impl Measure {
    pub(super) fn of(self, value: &Value) -> f64 {
        match self {
            Measure::Waited => value.waited,
            Measure::InTime => value.in_time,
        }
    }
}

/// A call with its value.
pub struct Case {
    pub seen: SampledRequest,
    pub from: ForwarderId,
    pub bucket: u64,
    pub value: Value,
    /// The value rests on calls at the same cache, not on those at all of them.
    pub own: bool,
}

/// Of calls with a candidate at a place: how many there were, and how many went to it with a value of their own.
#[derive(Clone, Copy, Default)]
pub struct Choices {
    pub calls: usize,
    pub chosen: usize,
    pub own: usize,
}

impl Choices {
    pub fn give_evidence(self) -> bool {
        self.chosen >= LEAST && self.chosen as f64 >= LEAST_SHARE * self.calls as f64
    }
}

pub struct Book {
    pub(super) cases: Vec<Case>,
    pub(super) forwarders: usize,
    /// By cache, place and class; and by place and class.
    pub(super) choices: BTreeMap<(u64, usize, u8), Choices>,
    pub(super) all: BTreeMap<(usize, u8), Choices>,
    /// Where each cache is a candidate: the calls by number, and at which place.
    pub(super) where_candidate: BTreeMap<u64, Vec<(usize, usize)>>,
    /// For each measure two, each fitted without the keys that it is used for; made when first asked for.
    models: [OnceCell<[Model; 2]>; 2],
}

impl Book {
    /// Calls of one product, each with who told of it and the time bucket in which it was made.
    pub fn of<'a>(calls: impl Iterator<Item = (&'a SampledRequest, ForwarderId, u64)>) -> Book {
        let calls: Vec<_> = calls.collect();
        let share = |tenths: u32| f64::from(tenths);
        // What was chosen at a later place mostly misses: cut ones of both together would look alike and are not.
        let narrow = |o: &SampledRequest| (o.chosen(), o.class, o.place > 0);
        let wide = |o: &SampledRequest| (o.class, o.place > 0);
        let by_narrow = grouped(&calls, narrow, share);
        let by_wide = grouped(&calls, wide, share);
        let mut cases = Vec::new();
        for (n, (seen, from, bucket)) in calls.into_iter().enumerate() {
            let own = by_narrow.get(&n);
            let Some(value) = own.or_else(|| by_wide.get(&n)) else { continue };
            cases.push(Case { seen: seen.clone(), from, bucket, value: *value, own: own.is_some() });
        }
        let mut choices: BTreeMap<_, Choices> = BTreeMap::new();
        let mut all: BTreeMap<_, Choices> = BTreeMap::new();
        let mut where_candidate: BTreeMap<u64, Vec<(usize, usize)>> = BTreeMap::new();
        for (n, case) in cases.iter().enumerate() {
            for (place, cache) in case.seen.candidates.iter().enumerate() {
                where_candidate.entry(*cache).or_default().push((n, place));
                let one = choices.entry((*cache, place, case.seen.class)).or_default();
                for c in [one, all.entry((place, case.seen.class)).or_default()] {
                    let chosen = usize::from(case.seen.place) == place;
                    c.calls += 1;
                    c.chosen += usize::from(chosen);
                    c.own += usize::from(chosen && case.own);
                }
            }
        }
        let forwarders = cases.iter().map(|c: &Case| c.from).collect::<BTreeSet<_>>().len();
        Book { cases, forwarders, choices, all, where_candidate, models: Default::default() }
    }

    fn models(&self, measure: Measure) -> &[Model; 2] {
        self.models[usize::from(measure == Measure::InTime)].get_or_init(|| {
            let fit = |fold| Model::fit(self.cases.iter().filter(|c| fold_of(c) != fold), measure);
            [fit(0), fit(1)]
        })
    }

    pub fn calls(&self) -> usize {
        self.cases.len()
    }

    /// Caches that are a candidate of any call.
    pub fn caches(&self) -> Vec<u64> {
        self.where_candidate.keys().copied().collect()
    }

    /// What the model expects of a call at one of its candidates.
    pub(super) fn expects(&self, case: &Case, place: usize, measure: Measure) -> f64 {
        let model = &self.models(measure)[fold_of(case)];
        model.expects(case.seen.candidates[place], place, case.seen.class, case.bucket)
    }

    /// How often calls like this one are sent to that candidate.
    pub(super) fn chance(&self, case: &Case, place: usize) -> f64 {
        let class = case.seen.class;
        let all = self.all.get(&(place, class)).copied().unwrap_or_default();
        let one = self.choices.get(&(case.seen.candidates[place], place, class)).copied().unwrap_or_default();
        let mean = all.chosen as f64 / (all.calls as f64).max(1.0);
        ((one.chosen as f64 + LEAN * mean) / (one.calls as f64 + LEAN)).max(LEAST_SHARE / 2.0)
    }

    /// What a call showed beyond what was expected of it where it went, for as many as it stands for.
    pub(super) fn beyond(&self, case: &Case, measure: Measure) -> f64 {
        let place = usize::from(case.seen.place);
        (measure.of(&case.value) - self.expects(case, place, measure)) / self.chance(case, place)
    }
}

/// Calls of one key are all in one fold.
fn fold_of(case: &Case) -> usize {
    (case.seen.key & 1) as usize
}

/// The values of the calls whose group says enough, by their number; times on this scale, which has to grow with them.
pub(super) fn grouped<K: Ord>(
    calls: &[(&SampledRequest, ForwarderId, u64)],
    group_of: impl Fn(&SampledRequest) -> K,
    scale: impl Fn(u32) -> f64,
) -> BTreeMap<usize, Value> {
    let mut groups: BTreeMap<K, Vec<usize>> = BTreeMap::new();
    for (n, (seen, ..)) in calls.iter().enumerate() {
        groups.entry(group_of(seen)).or_default().push(n);
    }
    let mut found = BTreeMap::new();
    // A product has one SLO; if it changes, the greatest is what all can be judged by.
    let horizon = scale(calls.iter().map(|(seen, ..)| seen.slo).max().unwrap_or(0));
    for members in groups.values() {
        // It is known at once that one turned away gets no answer: nothing of it was cut.
        let (refused, waited): (Vec<usize>, Vec<usize>) =
            members.iter().partition(|n| calls[**n].0.how == How::Refused);
        found.extend(refused.into_iter().map(|n| (n, Value { waited: 1.0, in_time: 0.0 })));
        let timed = waited.iter().map(|n| {
            let seen = calls[*n].0;
            Timed { took: scale(seen.took), came: seen.how != How::Cut }
        });
        let timed: Vec<Timed> = timed.collect();
        if let Some(values) = values(&timed, horizon, LEAST) {
            found.extend(waited.into_iter().zip(values));
        }
    }
    found
}
