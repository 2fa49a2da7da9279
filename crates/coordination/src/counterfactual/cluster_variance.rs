//! Cluster-robust variance: requests of one key, or of one forwarder, are not independent of each other.
//!
//! Intervals are Student's for as many clusters as bear the variance (Satterthwaite's degrees of freedom): where a few
//! requests stand for many, their own spread is hardly known.

use std::collections::BTreeMap;

use super::dataset::LabeledRequest;

/// The ends of a normal 95% interval, in standard errors.
const NORMAL_95: f64 = 1.96;
/// The expansions of Student's distribution serve from this many degrees of freedom on.
const MIN_DEGREES_OF_FREEDOM: f64 = 3.0;

/// What one request contributes to a mean.
#[derive(Clone, Copy)]
pub(super) struct Contribution<'a> {
    pub labeled: &'a LabeledRequest,
    pub value: f64,
}

/// The variance of a weighted sum of means, added up over clusters.
#[derive(Clone, Copy, Default)]
pub(super) struct ClusterVariance {
    pub variance: f64,
    /// The sum of squares of what single clusters add to the variance.
    pub squares: f64,
    /// The most that a single cluster adds.
    pub largest: f64,
}

impl ClusterVariance {
    /// Adds one of the means, with its weight in the sum.
    pub fn add(
        &mut self,
        weight: f64,
        mean: f64,
        contributions: &[Contribution<'_>],
        cluster_of: impl Fn(&LabeledRequest) -> u64,
    ) {
        let mut clusters: BTreeMap<u64, f64> = BTreeMap::new();
        for contribution in contributions {
            let cluster = cluster_of(contribution.labeled);
            *clusters.entry(cluster).or_default() += contribution.value - mean;
        }
        let size = contributions.len() as f64;
        let count = clusters.len() as f64;
        // The variance between clusters can't be estimated from a single one.
        let small_sample_factor = if count > 1.0 { count / (count - 1.0) } else { f64::INFINITY };
        for sum in clusters.values() {
            let part = weight * weight * sum * sum / (size * size) * small_sample_factor;
            self.variance += part;
            self.squares += part * part;
            self.largest = self.largest.max(part);
        }
    }

    /// The variance with one cluster more like the one that adds most. Where what counts is rare and falls on few
    /// clusters, a sample that happens to lack another such cluster would suggest that there is none.
    pub fn with_one_more_cluster(self) -> ClusterVariance {
        ClusterVariance {
            variance: self.variance + self.largest,
            squares: self.squares + self.largest * self.largest,
            largest: self.largest,
        }
    }

    /// How many clusters bear the variance, which are the degrees of freedom.
    pub fn effective_clusters(self) -> f64 {
        self.variance * self.variance / self.squares
    }

    /// The two-sided p-value of a mean: Student's, by the normal deviate that is as unlikely.
    pub fn p_value(self, mean: f64) -> f64 {
        libm::erfc(self.normal_deviate(mean).abs() / std::f64::consts::SQRT_2)
    }

    /// The normal deviate that is as unlikely as Student's of this mean.
    pub fn normal_deviate(self, mean: f64) -> f64 {
        let t = mean / self.variance.sqrt();
        let freedom = self.effective_clusters().max(MIN_DEGREES_OF_FREEDOM);
        t * (1.0 - 1.0 / (4.0 * freedom)) / (1.0 + t * t / (2.0 * freedom)).sqrt()
    }

    /// Half the width of Student's 95% interval, by the Cornish-Fisher expansion of its quantile.
    pub fn half_width(self) -> f64 {
        let z = NORMAL_95;
        let freedom = self.effective_clusters().max(MIN_DEGREES_OF_FREEDOM);
        let wider = (z.powi(3) + z) / 4.0 / freedom
            + (5.0 * z.powi(5) + 16.0 * z.powi(3) + 3.0 * z) / 96.0 / freedom.powi(2);
        (z + wider) * self.variance.sqrt()
    }
}
