//! Bootstrap confidence intervals for differences of ratios.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// The number of bootstrap resamples. With more resamples, the ends of a 95% interval move by less than a
/// tenth of the interval's width.
const RESAMPLES: usize = 4000;
/// The reciprocal of the share of resamples beyond each end of a 95% interval.
const TAIL_DIVISOR: usize = 40;

/// A figure with its 95% confidence interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Interval {
    /// The figure over all blocks.
    pub mean: f64,
    /// The lower end of the interval.
    pub low: f64,
    /// The upper end of the interval.
    pub high: f64,
}

/// A ratio whose numerators and denominators are summed over blocks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ratio {
    /// The numerator.
    pub numerator: f64,
    /// The denominator.
    pub denominator: f64,
}

impl Ratio {
    /// Adds another block's numerator and denominator.
    pub fn add(&mut self, other: Ratio) {
        self.numerator += other.numerator;
        self.denominator += other.denominator;
    }

    /// The quotient; 0 if the denominator is not positive.
    pub fn value(self) -> f64 {
        if self.denominator > 0.0 { self.numerator / self.denominator } else { 0.0 }
    }
}

/// The ratios of the same block in two runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PairedBlock {
    /// The ratio in the baseline run.
    pub baseline: Ratio,
    /// The ratio in the candidate run.
    pub candidate: Ratio,
}

/// The candidate's ratio minus the baseline's, with its 95% interval; `None` if there are no blocks.
///
/// Whole blocks are resampled with replacement, so that correlated events within a block stay together.
pub fn difference_of_ratios(blocks: &[PairedBlock], seed: u64) -> Option<Interval> {
    if blocks.is_empty() {
        return None;
    }
    let mean = difference(blocks.iter());
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut resamples = Vec::with_capacity(RESAMPLES);
    for _ in 0..RESAMPLES {
        let drawn = (0..blocks.len()).map(|_| &blocks[random.random_range(0..blocks.len())]);
        resamples.push(difference(drawn));
    }
    resamples.sort_by(f64::total_cmp);
    let tail = RESAMPLES / TAIL_DIVISOR;
    Some(Interval { mean, low: resamples[tail], high: resamples[RESAMPLES - 1 - tail] })
}

fn difference<'a>(blocks: impl Iterator<Item = &'a PairedBlock>) -> f64 {
    let mut sum = PairedBlock::default();
    for block in blocks {
        sum.baseline.add(block.baseline);
        sum.candidate.add(block.candidate);
    }
    sum.candidate.value() - sum.baseline.value()
}
