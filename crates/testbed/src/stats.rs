//! Intervals for differences.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Draws of a bootstrap: the ends of a 95% interval move by less than a tenth of it beyond so many.
const DRAWS: usize = 4000;

/// A figure with the interval in which it lies in 95 of 100 draws.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Interval {
    pub mean: f64,
    pub low: f64,
    pub high: f64,
}

/// The mean of a ratio's difference between two sides, each block giving (top, bottom) for both: blocks are drawn
/// again with replacement, so that what hangs together within a block stays together.
pub fn difference_of_ratios(blocks: &[[(f64, f64); 2]], seed: u64) -> Option<Interval> {
    let ratio = |sum: (f64, f64)| if sum.1 > 0.0 { sum.0 / sum.1 } else { 0.0 };
    let difference = |drawn: &mut dyn Iterator<Item = &[(f64, f64); 2]>| {
        let mut sums = [(0.0, 0.0); 2];
        for block in drawn {
            for (sum, part) in sums.iter_mut().zip(block) {
                *sum = (sum.0 + part.0, sum.1 + part.1);
            }
        }
        ratio(sums[1]) - ratio(sums[0])
    };
    if blocks.is_empty() {
        return None;
    }
    let mean = difference(&mut blocks.iter());
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let mut drawn: Vec<f64> = (0..DRAWS)
        .map(|_| difference(&mut (0..blocks.len()).map(|_| &blocks[chance.random_range(0..blocks.len())])))
        .collect();
    drawn.sort_by(f64::total_cmp);
    Some(Interval { mean, low: drawn[DRAWS / 40], high: drawn[DRAWS - 1 - DRAWS / 40] })
}
