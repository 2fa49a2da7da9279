//! A weighted sum of means over strata, with a confidence interval from the variance between keys.

use std::collections::{BTreeMap, BTreeSet};

use super::cluster_variance::{ClusterVariance, Contribution};
use super::estimate::{Estimate, NoSupport, Stratum};
use crate::member::ForwarderId;

/// The fewest effective keys for a confidence interval; the variance between fewer keys can hardly be
/// estimated.
pub(super) const MIN_EFFECTIVE_KEYS: f64 = 4.0;
/// The fewest forwarders between which the variance can be estimated.
const MIN_FORWARDERS: usize = 8;
/// The number of standard errors by forwarder from which on a mean is common to the forwarders. A mean that
/// stems from a single forwarder is one standard error.
const MIN_FORWARDER_STANDARD_ERRORS: f64 = 2.0;
/// The share of a mean that has to remain whichever forwarder is left out.
const MIN_REMAINING_SHARE: f64 = 0.5;

/// The sum and the count of values.
#[derive(Clone, Copy, Default)]
struct ValueSum {
    sum: f64,
    count: f64,
}

/// One mean of the weighted sum, with its values by forwarder.
struct Term {
    weight: f64,
    total: ValueSum,
    by_forwarder: BTreeMap<ForwarderId, ValueSum>,
}

impl Term {
    /// The term's weighted mean without a forwarder's values; none if no other forwarder contributes to the
    /// term.
    fn without(&self, forwarder: ForwarderId) -> Option<f64> {
        let forwarder_sum = self.by_forwarder.get(&forwarder).copied().unwrap_or_default();
        if self.total.count <= forwarder_sum.count {
            return None;
        }
        Some(self.weight * (self.total.sum - forwarder_sum.sum) / (self.total.count - forwarder_sum.count))
    }
}

/// The weighted sum of the means added so far, and its variances by key and by forwarder.
#[derive(Default)]
pub(super) struct WeightedMean {
    mean: f64,
    requests: usize,
    by_key: ClusterVariance,
    by_forwarder: ClusterVariance,
    terms: Vec<Term>,
}

impl WeightedMean {
    /// Adds the mean of the contributions, with its weight in the sum.
    pub fn add(&mut self, weight: f64, contributions: &[Contribution<'_>]) {
        let size = contributions.len() as f64;
        let mean = contributions.iter().map(|contribution| contribution.value).sum::<f64>() / size;
        self.by_key.add(weight, mean, contributions, |labeled| u64::from(labeled.request.key_hash));
        self.by_forwarder.add(weight, mean, contributions, |labeled| labeled.forwarder.0);
        self.mean += weight * mean;
        self.requests += contributions.len();
        let mut by_forwarder: BTreeMap<ForwarderId, ValueSum> = BTreeMap::new();
        for contribution in contributions {
            let forwarder_sum = by_forwarder.entry(contribution.labeled.forwarder).or_default();
            forwarder_sum.sum += contribution.value;
            forwarder_sum.count += 1.0;
        }
        let total = ValueSum { sum: mean * size, count: size };
        self.terms.push(Term { weight, total, by_forwarder });
    }

    /// Widens the confidence interval as if the key that adds most to the variance occurred once more.
    pub fn add_unseen_key_variance(&mut self) {
        self.by_key = self.by_key.with_one_more_cluster();
    }

    /// Whether [`MIN_REMAINING_SHARE`] of the mean remains whichever forwarder is left out (a jackknife over
    /// forwarders).
    fn survives_without_any_forwarder(&self) -> bool {
        let forwarders: BTreeSet<ForwarderId> =
            self.terms.iter().flat_map(|term| term.by_forwarder.keys().copied()).collect();
        if forwarders.len() < 2 {
            return true;
        }
        let sign = self.mean.signum();
        forwarders.into_iter().all(|forwarder| {
            let remaining: Option<f64> = self.terms.iter().map(|term| term.without(forwarder)).sum();
            remaining.is_some_and(|remaining| remaining * sign / MIN_REMAINING_SHARE >= self.mean.abs())
        })
    }

    /// Whether the mean is common to the forwarders; true if there are too few forwarders to estimate the
    /// variance between them.
    fn is_common_to_forwarders(&self, forwarder_count: usize) -> bool {
        let standard_error = self.by_forwarder.variance.sqrt();
        forwarder_count < MIN_FORWARDERS || self.mean.abs() >= MIN_FORWARDER_STANDARD_ERRORS * standard_error
    }

    /// Returns the estimate with its confidence interval.
    ///
    /// # Errors
    /// Returns [`NoSupport`] if the variance can't be estimated or the effective number of keys is below
    /// `min_effective_keys`.
    pub fn into_estimate(
        self,
        strata: Vec<Stratum>,
        min_effective_keys: f64,
        forwarder_count: usize,
    ) -> Result<Estimate, NoSupport> {
        let standard_error = self.by_key.variance.sqrt();
        let has_variance = standard_error.is_finite() && self.mean.is_finite() && standard_error > 0.0;
        if !has_variance || self.by_key.effective_clusters() < min_effective_keys {
            return Err(NoSupport);
        }
        let half_width = self.by_key.half_width();
        let is_corroborated =
            self.survives_without_any_forwarder() && self.is_common_to_forwarders(forwarder_count);
        Ok(Estimate {
            mean: self.mean,
            low: self.mean - half_width,
            high: self.mean + half_width,
            p_value: self.by_key.p_value(self.mean),
            is_corroborated,
            requests: self.requests,
            strata,
        })
    }
}
