//! Cluster-robust variance: requests of one key, or of one forwarder, are not independent of each other.
//!
//! Confidence intervals are Student's, with the effective number of clusters as degrees of freedom
//! (Satterthwaite): where a few requests stand for many, the variance itself is known only roughly.

use std::collections::BTreeMap;

use super::dataset::LabeledRequest;

/// Half the width of a normal 95% confidence interval, in standard errors.
const NORMAL_95_HALF_WIDTH: f64 = 1.96;
/// The fewest degrees of freedom for which the expansions of Student's distribution are accurate
/// enough; fewer count as this many.
const MIN_DEGREES_OF_FREEDOM: f64 = 3.0;

/// One request's contribution to a mean.
#[derive(Clone, Copy)]
pub(super) struct Contribution<'a> {
    pub labeled: &'a LabeledRequest,
    pub value: f64,
}

/// The variance of a weighted sum of means, summed over clusters.
#[derive(Clone, Copy, Default)]
pub(super) struct ClusterVariance {
    pub variance: f64,
    /// The sum of the squares of the parts that single clusters add to the variance.
    pub sum_of_squares: f64,
    /// The largest part that a single cluster adds to the variance.
    pub largest_part: f64,
}

impl ClusterVariance {
    /// Adds the variance of one of the means, with the weight of the mean in the sum.
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
        // The variance between clusters can't be estimated from a single cluster.
        let small_sample_factor = if count > 1.0 { count / (count - 1.0) } else { f64::INFINITY };
        for sum in clusters.values() {
            let part = weight * weight * sum * sum / (size * size) * small_sample_factor;
            self.variance += part;
            self.sum_of_squares += part * part;
            self.largest_part = self.largest_part.max(part);
        }
    }

    /// Returns the variance as if the cluster that adds most to it occurred once more. Where the outcome of
    /// interest is rare and falls on few clusters, a sample may lack such a cluster by chance and understate
    /// the variance.
    pub fn with_one_more_cluster(self) -> ClusterVariance {
        ClusterVariance {
            variance: self.variance + self.largest_part,
            sum_of_squares: self.sum_of_squares + self.largest_part * self.largest_part,
            largest_part: self.largest_part,
        }
    }

    /// The effective number of clusters, used as the degrees of freedom (Satterthwaite).
    pub fn effective_clusters(self) -> f64 {
        self.variance * self.variance / self.sum_of_squares
    }

    /// The two-sided p-value of a mean by Student's distribution, from the equally unlikely normal deviate.
    pub fn p_value(self, mean: f64) -> f64 {
        libm::erfc(self.normal_deviate(mean).abs() / std::f64::consts::SQRT_2)
    }

    /// The normal deviate that is as unlikely as this mean's Student's t.
    pub fn normal_deviate(self, mean: f64) -> f64 {
        let t = mean / self.variance.sqrt();
        let degrees_of_freedom = self.effective_clusters().max(MIN_DEGREES_OF_FREEDOM);
        t * (1.0 - 1.0 / (4.0 * degrees_of_freedom)) / (1.0 + t * t / (2.0 * degrees_of_freedom)).sqrt()
    }

    /// Half the width of Student's 95% confidence interval, by the Cornish-Fisher expansion of its quantile.
    pub fn half_width(self) -> f64 {
        let z = NORMAL_95_HALF_WIDTH;
        let degrees_of_freedom = self.effective_clusters().max(MIN_DEGREES_OF_FREEDOM);
        let correction = (z.powi(3) + z) / 4.0 / degrees_of_freedom
            + (5.0 * z.powi(5) + 16.0 * z.powi(3) + 3.0 * z) / 96.0 / degrees_of_freedom.powi(2);
        (z + correction) * self.variance.sqrt()
    }
}
