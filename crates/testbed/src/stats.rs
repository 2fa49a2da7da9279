//! Bootstrap intervals for differences of ratios.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Resamples of a bootstrap: beyond this many, the ends of a 95% interval move by less than a tenth of its width.
const RESAMPLES: usize = 4000;
/// One in this many resamples lies beyond each end of a 95% interval.
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

/// A ratio whose parts add up over blocks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ratio {
    /// What is counted.
    pub numerator: f64,
    /// What it is counted of.
    pub denominator: f64,
}

impl Ratio {
    /// Adds another block's parts.
    pub fn add(&mut self, other: Ratio) {
        self.numerator += other.numerator;
        self.denominator += other.denominator;
    }

    /// The quotient; zero where nothing is counted.
    pub fn value(self) -> f64 {
        if self.denominator > 0.0 { self.numerator / self.denominator } else { 0.0 }
    }
}

/// The same block of two runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PairedBlock {
    /// In the run that is compared with.
    pub baseline: Ratio,
    /// In the run that is judged.
    pub candidate: Ratio,
}

/// The candidate's ratio less the baseline's; `None` without blocks.
///
/// Whole blocks are resampled with replacement, so that what is correlated within a block stays together.
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
