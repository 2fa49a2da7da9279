//! The lottery of keys: which cache is a key's first is drawn by a hash, so that caches get alike keys by chance and their
//! calls' times can be held against each other though no call was ever sent elsewhere.
//!
//! Invariant: it rests on the draw and not on choices. Calls count at the first of their candidates wherever they were
//! sent, so that what steers a node's choice can't sort them; and keys are what is drawn, so that the interval rests on
//! how they differ. Times are taken by their logarithm: a cache of three times the time is as far off whether that is a
//! hundredth of the SLO or all of it.

use std::collections::BTreeMap;

use super::book::{LEAST, grouped};
use super::estimate::{Estimate, LEAST_FREEDOM, NoSupport, Spread};
use super::observation::SampledRequest;
use crate::member::ForwarderId;

/// Calls of one key are as alike as if such a share of what differs were the key's own: a hot key counts as ten calls.
const OF_THE_KEY: f64 = 0.1;
/// What a moment shows of all caches leans to what others show as if on so many calls.
const LEAN: f64 = 5.0;
/// What is quicker makes no difference to anybody, in tenths of a millisecond.
const QUICK: u32 = 10;
/// So many others make a middle that one of them can't move.
const LEAST_OTHERS: usize = 3;
/// How large differences beyond the least one are expected to be, on the logarithm's scale. A guess costs calls only.
const EXPECTED: f64 = 0.3;

/// A cache beside the others, on the logarithm's scale.
pub struct Beside {
    pub estimate: Estimate,
    /// A bet's yield against its being as good: at whatever time one looks, it is over `n` by chance once in `n`.
    pub evidence: f64,
}

struct OfCache {
    mean: f64,
    keys: Spread,
    calls: usize,
    weight: f64,
    /// By forwarder: the sum of calls' values by their weights, and the weights'.
    by_forwarder: BTreeMap<ForwarderId, (f64, f64)>,
}

pub struct Lottery {
    caches: BTreeMap<u64, OfCache>,
    forwarders: Vec<ForwarderId>,
}

/// Grows by one where a time grows by a factor of e.
fn scale(tenths: u32) -> f64 {
    (f64::from(tenths.max(QUICK)) / f64::from(QUICK)).ln()
}

fn middle(mut of: Vec<f64>) -> f64 {
    of.sort_by(f64::total_cmp);
    let n = of.len();
    if n % 2 == 1 { of[n / 2] } else { (of[n / 2 - 1] + of[n / 2]) / 2.0 }
}

impl Lottery {
    /// Calls of one product, each with who told of it and the time bucket in which it was made.
    pub fn of<'a>(calls: impl Iterator<Item = (&'a SampledRequest, ForwarderId, u64)>) -> Lottery {
        let calls: Vec<_> = calls.collect();
        let horizon = scale(calls.iter().map(|(seen, ..)| seen.slo).max().unwrap_or(0));
        let narrow = grouped(&calls, |o| (o.candidates[0], o.class, o.place > 0), scale);
        let wide = grouped(&calls, |o| (o.class, o.place > 0), scale);
        let value = |n: usize| Some(narrow.get(&n).or_else(|| wide.get(&n))?.waited * horizon);
        let valued: Vec<_> = calls.iter().enumerate().filter_map(|(n, c)| Some((c, value(n)?))).collect();
        let moments = Moments::of(&valued);
        // What a call took beyond its class at its moment, by first candidate and key.
        let mut keys: BTreeMap<u64, BTreeMap<u32, Vec<(ForwarderId, f64)>>> = BTreeMap::new();
        for ((seen, from, bucket), value) in valued {
            let beyond = value - moments.mean(seen.class, *bucket);
            let of = keys.entry(seen.candidates[0]).or_default();
            of.entry(seen.key).or_default().push((*from, beyond));
        }
        let caches: BTreeMap<u64, OfCache> =
            keys.iter().filter_map(|(cache, of)| Some((*cache, OfCache::of(of)?))).collect();
        let mut forwarders: Vec<_> = caches.values().flat_map(|c| c.by_forwarder.keys().copied()).collect();
        forwarders.sort_unstable();
        forwarders.dedup();
        Lottery { caches, forwarders }
    }

    /// How much longer calls take whose first candidate a cache is, by the logarithm, than those of the middle one of the
    /// other caches; and what speaks for its being more than `least`.
    ///
    /// # Errors
    /// Where it or others were too few keys' first.
    pub fn beside_others(&self, cache: u64, least: f64) -> Result<Beside, NoSupport> {
        let own = self.caches.get(&cache).ok_or(NoSupport)?;
        let others: Vec<&OfCache> =
            self.caches.iter().filter(|(c, _)| **c != cache).map(|(_, o)| o).collect();
        if others.len() < LEAST_OTHERS {
            return Err(NoSupport);
        }
        let mean = own.mean - middle(others.iter().map(|o| o.mean).collect());
        // A middle of so many errs by more than their mean would.
        let n = others.len() as f64;
        let error = others.iter().map(|o| o.keys.variance).sum::<f64>() / n / n * std::f64::consts::FRAC_PI_2;
        let spread = Spread { variance: own.keys.variance + error, ..own.keys };
        let ends = spread.ends();
        if !(mean.is_finite() && ends.is_finite() && ends > 0.0) {
            return Err(NoSupport);
        }
        let normal = spread.normal_of(mean.abs() - least);
        let wide = EXPECTED * EXPECTED / spread.variance;
        let evidence = if normal > 0.0 {
            (normal * normal / 2.0 * wide / (1.0 + wide)).exp() / (1.0 + wide).sqrt()
        } else {
            0.0
        };
        let estimate = Estimate {
            mean,
            low: mean - ends,
            high: mean + ends,
            by_chance: libm::erfc(normal.max(0.0) / std::f64::consts::SQRT_2),
            shared: self.stands_without_any(cache, mean, least),
            calls: own.calls,
            over: Vec::new(),
        };
        Ok(Beside { estimate, evidence })
    }

    /// Caches that were the first of enough keys.
    pub fn caches(&self) -> impl Iterator<Item = u64> + '_ {
        self.caches.keys().copied()
    }

    /// Whether it is so whichever forwarder is left out: what hangs on one, that is cut off or lies, is its word alone.
    fn stands_without_any(&self, cache: u64, mean: f64, least: f64) -> bool {
        let without = |from: &ForwarderId| {
            let of = |c: &OfCache| {
                let (sum, n) = c.by_forwarder.get(from).copied().unwrap_or_default();
                let (sum, n) = (c.mean * c.weight - sum, c.weight - n);
                (n > 1e-9 * c.weight).then(|| sum / n)
            };
            let others = self.caches.iter().filter(|(c, _)| **c != cache).filter_map(|(_, o)| of(o));
            let others: Vec<f64> = others.collect();
            let own = of(&self.caches[&cache])?;
            (others.len() >= LEAST_OTHERS).then(|| own - middle(others))
        };
        let stands = |more: Option<f64>| more.is_some_and(|m| m * mean.signum() >= least);
        let alone = self.forwarders.len() < 2;
        mean.abs() < least || alone || self.forwarders.iter().all(|f| stands(without(f)))
    }
}

impl OfCache {
    fn of(keys: &BTreeMap<u32, Vec<(ForwarderId, f64)>>) -> Option<OfCache> {
        let weight = |n: usize| n as f64 / (1.0 + (n as f64 - 1.0) * OF_THE_KEY);
        let whole: f64 = keys.values().map(|k| weight(k.len())).sum();
        let part = |of: &[(ForwarderId, f64)]| {
            let sum: f64 = of.iter().map(|(_, v)| v).sum();
            weight(of.len()) * sum / of.len() as f64
        };
        let mean = keys.values().map(|k| part(k)).sum::<f64>() / whole;
        let few = keys.len() as f64 / (keys.len() as f64 - 1.0);
        let mut spread = Spread::default();
        let mut by_forwarder: BTreeMap<ForwarderId, (f64, f64)> = BTreeMap::new();
        for of in keys.values() {
            let own = ((part(of) - weight(of.len()) * mean) / whole).powi(2) * few;
            spread.variance += own;
            spread.squares += own * own;
            let each = weight(of.len()) / of.len() as f64;
            for (from, value) in of {
                let sums = by_forwarder.entry(*from).or_default();
                *sums = (sums.0 + each * value, sums.1 + each);
            }
        }
        let bears = keys.len() >= LEAST && spread.freedom() >= LEAST_FREEDOM;
        let calls = keys.values().map(Vec::len).sum();
        bears.then_some(OfCache { mean, keys: spread, calls, weight: whole, by_forwarder })
    }
}

/// What calls of a class took at a moment, at all caches: one that came late is not held against others' earlier times.
struct Moments {
    classes: BTreeMap<u8, (f64, f64)>,
    moments: BTreeMap<(u8, u64), (f64, f64)>,
}

impl Moments {
    fn of(valued: &[(&(&SampledRequest, ForwarderId, u64), f64)]) -> Moments {
        let (mut classes, mut moments) = (BTreeMap::new(), BTreeMap::new());
        for ((seen, _, bucket), value) in valued {
            let of =
                [classes.entry(seen.class).or_default(), moments.entry((seen.class, *bucket)).or_default()];
            for sums in of {
                let (sum, n): &mut (f64, f64) = sums;
                (*sum, *n) = (*sum + value, *n + 1.0);
            }
        }
        Moments { classes, moments }
    }

    fn mean(&self, class: u8, bucket: u64) -> f64 {
        let (sum, n) = self.classes.get(&class).copied().unwrap_or_default();
        let always = sum / n.max(1.0);
        let (sum, n) = self.moments.get(&(class, bucket)).copied().unwrap_or_default();
        (sum + LEAN * always) / (n + LEAN)
    }
}
