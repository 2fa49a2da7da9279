//! What would have been, with an interval, or no number at all.
//!
//! Each call gives what the model expects of the choice in question; a call that was truly sent so adds what it showed
//! beyond that, as often as it stands for others. The mean is right if either the model or the count of choices is
//! right for alike calls (doubly robust). Where nobody chose so, nothing corrects the model, and there is no number.

use std::collections::{BTreeMap, BTreeSet};

use super::book::{Book, Case, LEAST, LEAST_SHARE, Measure};
use super::observation::{CLASSES, PLACES};

/// Ends of a 95% interval, in standard errors.
const ENDS: f64 = 1.96;
/// So many keys have to bear the variance: of fewer their spread is a guess, and the interval with it.
pub(super) const LEAST_FREEDOM: f64 = 4.0;
/// Of fewer forwarders it can't be told how they differ.
const LEAST_FORWARDERS: usize = 8;
/// So many standard errors by forwarders make a mean theirs in common; what only one of them saw makes one.
const SHARED: f64 = 2.0;
/// Student's expansions serve from so many on.
const FEWEST: f64 = 3.0;
/// Of the calls asked about, so many have to be of classes for which there is evidence.
const LEAST_COVERED: f64 = 0.5;

/// No node's choice gives evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no node's choice gives evidence")]
pub struct NoSupport;

#[derive(Clone, Debug, PartialEq)]
pub struct Estimate {
    pub mean: f64,
    pub low: f64,
    pub high: f64,
    /// How likely so much or more is by chance alone.
    pub by_chance: f64,
    /// Several forwarders saw it: it isn't one alone that is cut off from a cache, or lies.
    pub shared: bool,
    pub calls: usize,
    /// What it speaks of: classes, and the places that are compared in each.
    pub over: Vec<(u8, Vec<usize>)>,
}

/// A way to choose among a key's candidates, to be valued without being played.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The table's first.
    First,
    /// One of three by chance.
    RandomOfThree,
    /// The module's, as it was played.
    AsPlayed,
    /// As played, but a call that went to its first while the node had so many out there goes to its second.
    LeavesFirstAt(u8),
}

/// A variance by groups whose members are not independent, and the sum of squares of what single groups add to it.
#[derive(Clone, Copy, Default)]
pub(super) struct Spread {
    pub variance: f64,
    pub squares: f64,
    /// The most that a single group adds.
    pub largest: f64,
}

impl Spread {
    fn add<'a>(&mut self, weight: f64, mean: f64, of: &[(&'a Case, f64)], group: impl Fn(&'a Case) -> u64) {
        let mut groups: BTreeMap<u64, f64> = BTreeMap::new();
        for (case, value) in of {
            *groups.entry(group(case)).or_default() += value - mean;
        }
        let (n, many) = (of.len() as f64, groups.len() as f64);
        // A single group says nothing of others.
        let few = if many > 1.0 { many / (many - 1.0) } else { f64::INFINITY };
        for sum in groups.values() {
            let part = weight * weight * sum * sum / (n * n) * few;
            self.variance += part;
            self.squares += part * part;
            self.largest = self.largest.max(part);
        }
    }

    /// With one group more like the one that adds most. Where what counts is rare and falls on few groups, a sample that
    /// has none of another such group says that there is none.
    fn with_one_more(self) -> Spread {
        let (variance, squares) = (self.variance + self.largest, self.squares + self.largest * self.largest);
        Spread { variance, squares, ..self }
    }

    /// How many groups bear the variance.
    pub fn freedom(self) -> f64 {
        self.variance * self.variance / self.squares
    }

    /// How likely so much or more is by chance alone: Student's, by a normal one.
    fn chance_of(self, mean: f64) -> f64 {
        libm::erfc(self.normal_of(mean).abs() / std::f64::consts::SQRT_2)
    }

    /// The normal deviate that is as unlikely as Student's of this mean.
    pub fn normal_of(self, mean: f64) -> f64 {
        let (t, freedom) = (mean / self.variance.sqrt(), self.freedom().max(FEWEST));
        t * (1.0 - 1.0 / (4.0 * freedom)) / (1.0 + t * t / (2.0 * freedom)).sqrt()
    }

    /// Half of a 95% interval, Student's.
    pub fn ends(self) -> f64 {
        let (z, freedom) = (ENDS, self.freedom().max(FEWEST));
        let wider = (z.powi(3) + z) / 4.0 / freedom
            + (5.0 * z.powi(5) + 16.0 * z.powi(3) + 3.0 * z) / 96.0 / freedom.powi(2);
        (z + wider) * self.variance.sqrt()
    }
}

/// A weighted sum of means. Its interval rests on how keys differ.
#[derive(Default)]
struct Sum {
    mean: f64,
    calls: usize,
    keys: Spread,
    forwarders: Spread,
    parts: Vec<Part>,
}

/// One of the means, by forwarder.
struct Part {
    weight: f64,
    whole: (f64, f64),
    by_forwarder: BTreeMap<u64, (f64, f64)>,
}

impl Sum {
    fn add(&mut self, weight: f64, of: &[(&Case, f64)]) {
        let mean = of.iter().map(|(_, v)| v).sum::<f64>() / of.len() as f64;
        self.keys.add(weight, mean, of, |c| u64::from(c.seen.key));
        self.forwarders.add(weight, mean, of, |c| c.from.0);
        self.mean += weight * mean;
        self.calls += of.len();
        let mut by_forwarder: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
        for (case, value) in of {
            let (sum, n) = by_forwarder.entry(case.from.0).or_default();
            (*sum, *n) = (*sum + value, *n + 1.0);
        }
        let whole = (mean * of.len() as f64, of.len() as f64);
        self.parts.push(Part { weight, whole, by_forwarder });
    }

    /// Whether half of it is left whichever forwarder is left out.
    fn stands_without_any(&self) -> bool {
        let all: BTreeSet<u64> = self.parts.iter().flat_map(|p| p.by_forwarder.keys().copied()).collect();
        let left = |from: &u64| {
            let part = |p: &Part| {
                let (sum, n) = p.by_forwarder.get(from).copied().unwrap_or_default();
                (p.whole.1 > n).then(|| p.weight * (p.whole.0 - sum) / (p.whole.1 - n))
            };
            self.parts.iter().map(part).sum::<Option<f64>>()
        };
        all.len() < 2
            || all.iter().all(|f| left(f).is_some_and(|l| l * self.mean.signum() * 2.0 >= self.mean.abs()))
    }

    /// The interval is Student's, for as many keys as bear the variance: where a few calls stand for many, their own
    /// spread is hardly known.
    fn finish(
        self,
        over: Vec<(u8, Vec<usize>)>,
        least: f64,
        forwarders: usize,
    ) -> Result<Estimate, NoSupport> {
        let stands = self.stands_without_any();
        let Sum { mean, calls, keys, forwarders: by_forwarder, .. } = self;
        let (error, freedom) = (keys.variance.sqrt(), keys.freedom());
        if !error.is_finite() || !mean.is_finite() || error <= 0.0 || freedom < least {
            return Err(NoSupport);
        }
        let ends = keys.ends();
        let by_chance = keys.chance_of(mean);
        let differs = forwarders < LEAST_FORWARDERS || mean.abs() >= SHARED * by_forwarder.variance.sqrt();
        let shared = stands && differs;
        Ok(Estimate { mean, low: mean - ends, high: mean + ends, by_chance, shared, calls, over })
    }
}

impl Book {
    /// How much more calls would have got at a cache than at their other candidates, all of them sent to each. The
    /// cache is compared at as many places of the table as there is evidence for, each place counting the same, so
    /// that misses at later places fall on both sides alike.
    ///
    /// # Errors
    /// Where too few went to the cache, or to the others, of alike calls.
    pub fn beside_others(&self, cache: u64, measure: Measure) -> Result<Estimate, NoSupport> {
        let (mut sum, mut over) = (Sum::default(), Vec::new());
        let (mut asked, mut covered) = (0, 0);
        let mut by_class: [Vec<(usize, &Case)>; CLASSES as usize] = Default::default();
        for (n, place) in self.where_candidate.get(&cache).into_iter().flatten() {
            let case = &self.cases[*n];
            by_class[usize::from(case.seen.class)].push((*place, case));
        }
        let mut classes = Vec::new();
        for (class, cases) in by_class.iter().enumerate() {
            asked += cases.len();
            let places = self.places_compared(cache, class as u8, cases);
            if places.len() >= 2 {
                covered += cases.len();
                classes.push((class as u8, cases, places));
            }
        }
        if covered == 0 || (covered as f64) < LEAST_COVERED * asked as f64 {
            return Err(NoSupport);
        }
        for (class, cases, places) in classes {
            let weight = cases.len() as f64 / covered as f64 / places.len() as f64;
            for place in &places {
                let of: Vec<(&Case, f64)> = cases
                    .iter()
                    .filter(|(at, _)| at == place)
                    .filter_map(|(_, case)| Some((*case, self.more_at(case, *place, &places, measure)?)))
                    .collect();
                if of.is_empty() {
                    return Err(NoSupport);
                }
                sum.add(weight, &of);
            }
            over.push((class, places));
        }
        if measure == Measure::InTime {
            sum.keys = sum.keys.with_one_more();
        }
        sum.finish(over, LEAST_FREEDOM, self.forwarders)
    }

    /// Places of the table at which the cache got such calls, and others got calls of which it was a candidate.
    fn places_compared(&self, cache: u64, class: u8, cases: &[(usize, &Case)]) -> Vec<usize> {
        let there = |place: &usize| {
            let choices = self.choices.get(&(cache, *place, class)).copied().unwrap_or_default();
            let others =
                cases.iter().filter(|(own, c)| own != place && usize::from(c.seen.place) == *place).count();
            choices.give_evidence() && choices.own >= LEAST && others >= LEAST
        };
        (0..PLACES).filter(there).collect()
    }

    /// What one call tells of the cache at its place beside its candidates at the others.
    fn more_at(&self, case: &Case, place: usize, places: &[usize], measure: Measure) -> Option<f64> {
        let others = || places.iter().copied().filter(|p| *p != place && *p < case.seen.candidates.len());
        let n = others().count() as f64;
        if n == 0.0 {
            return None;
        }
        let expected = others().map(|p| self.expects(case, p, measure)).sum::<f64>() / n;
        let chosen = usize::from(case.seen.place);
        let beyond = match chosen {
            p if p == place => self.beyond(case, measure),
            p if places.contains(&p) => -self.beyond(case, measure) / n,
            _ => 0.0,
        };
        Some(self.expects(case, place, measure) - expected + beyond)
    }

    /// What calls would have got on the mean by a way to choose, had each alone been sent so.
    ///
    /// # Errors
    /// Where calls would go to candidates to which none like them went.
    pub fn value(&self, policy: Policy, measure: Measure) -> Result<Estimate, NoSupport> {
        let three = [1.0 / PLACES as f64; PLACES];
        match policy {
            Policy::First => self.value_of_shares(&[1.0, 0.0, 0.0], measure),
            Policy::RandomOfThree => self.value_of_shares(&three, measure),
            Policy::AsPlayed => {
                let of: Vec<_> = self.cases.iter().map(|c| (c, measure.of(&c.value))).collect();
                self.finish(&of, (0..CLASSES).collect(), (0..PLACES).collect())
            }
            Policy::LeavesFirstAt(out) => self.value_if_left_at(out, measure),
        }
    }

    fn finish(
        &self,
        of: &[(&Case, f64)],
        classes: Vec<u8>,
        places: Vec<usize>,
    ) -> Result<Estimate, NoSupport> {
        if of.len() < LEAST || (of.len() as f64) < LEAST_COVERED * self.cases.len() as f64 {
            return Err(NoSupport);
        }
        let mut sum = Sum::default();
        sum.add(1.0, of);
        // What differs between keys differs alike in the calls that were served: such an interval is rather too wide.
        sum.finish(classes.into_iter().map(|c| (c, places.clone())).collect(), 0.0, self.forwarders)
    }

    fn value_of_shares(&self, shares: &[f64; PLACES], measure: Measure) -> Result<Estimate, NoSupport> {
        let places: Vec<usize> = (0..PLACES).filter(|p| shares[*p] > 0.0).collect();
        let there = |class: &u8| {
            let evidence = |p: &usize| self.all.get(&(*p, *class)).is_some_and(|c| c.give_evidence());
            places.iter().all(evidence)
        };
        let classes: BTreeSet<u8> = (0..CLASSES).filter(there).collect();
        let cases: Vec<&Case> = self
            .cases
            .iter()
            .filter(|c| classes.contains(&c.seen.class) && c.seen.candidates.len() == PLACES)
            .collect();
        // A cache to which nobody sent such calls is known from the others alone: little may rest on that.
        let blind: f64 = cases
            .iter()
            .flat_map(|c| places.iter().map(move |p| (*p, (c.seen.candidates[*p], *p, c.seen.class))))
            .filter(|(_, at)| self.choices.get(at).is_none_or(|c| c.chosen == 0))
            .map(|(p, _)| shares[p])
            .sum();
        if blind > 0.1 * cases.len() as f64 {
            return Err(NoSupport);
        }
        let one = |case: &Case| {
            let expected: f64 = places.iter().map(|p| shares[*p] * self.expects(case, *p, measure)).sum();
            expected + shares[usize::from(case.seen.place)] * self.beyond(case, measure)
        };
        let of: Vec<_> = cases.iter().map(|c| (*c, one(c))).collect();
        self.finish(&of, classes.into_iter().collect(), places)
    }

    fn value_if_left_at(&self, out: u8, measure: Measure) -> Result<Estimate, NoSupport> {
        let moved = |c: &Case| c.seen.place == 0 && c.seen.out >= out;
        let mut by_class = [(0usize, 0usize); CLASSES as usize];
        for case in &self.cases {
            let (moves, seconds) = &mut by_class[usize::from(case.seen.class)];
            *moves += usize::from(moved(case));
            *seconds += usize::from(case.seen.place == 1);
        }
        // Those that went to the second by themselves stand for the moved ones; each for a few at the most.
        let ratio = |class: u8| by_class[usize::from(class)].0 as f64 / by_class[usize::from(class)].1 as f64;
        let there = |class: &u8| {
            let (moves, seconds) = by_class[usize::from(*class)];
            moves == 0 || seconds >= LEAST && ratio(*class) <= LEAST_SHARE.recip()
        };
        let classes: BTreeSet<u8> = (0..CLASSES).filter(there).collect();
        let one = |case: &Case| {
            let value = measure.of(&case.value);
            match case.seen.place {
                _ if moved(case) => self.expects(case, 1, measure),
                1 => value + ratio(case.seen.class) * (value - self.expects(case, 1, measure)),
                _ => value,
            }
        };
        let cases = self.cases.iter().filter(|c| classes.contains(&c.seen.class));
        let of: Vec<_> = cases.map(|c| (c, one(c))).collect();
        self.finish(&of, classes.into_iter().collect(), vec![0, 1])
    }
}
