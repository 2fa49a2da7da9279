//! A weighted sum of means over strata, whose interval rests on how keys differ.

use std::collections::{BTreeMap, BTreeSet};

use super::cluster_variance::{ClusterVariance, Contribution};
use super::estimate::{Estimate, NoSupport, Stratum};
use crate::member::ForwarderId;

/// The fewest keys that have to bear the variance: of fewer their spread is a guess, and the interval with it.
pub(super) const MIN_EFFECTIVE_KEYS: f64 = 4.0;
/// With fewer forwarders their variance can't be estimated.
const MIN_FORWARDERS: usize = 8;
/// A mean of this many standard errors by forwarders is one that they have in common; what only one of them saw makes one.
const MIN_FORWARDER_DEVIATION: f64 = 2.0;
/// The share of a mean that has to be left whichever forwarder is left out.
const MIN_SHARE_LEFT: f64 = 0.5;

/// The sum and the number of some values.
#[derive(Clone, Copy, Default)]
struct ValueSum {
    sum: f64,
    count: f64,
}

/// One of the means, by forwarder.
struct Term {
    weight: f64,
    total: ValueSum,
    by_forwarder: BTreeMap<ForwarderId, ValueSum>,
}

impl Term {
    /// What the term adds to the sum without a forwarder; none if nobody else contributes to it.
    fn without(&self, forwarder: ForwarderId) -> Option<f64> {
        let own = self.by_forwarder.get(&forwarder).copied().unwrap_or_default();
        if self.total.count <= own.count {
            return None;
        }
        Some(self.weight * (self.total.sum - own.sum) / (self.total.count - own.count))
    }
}

/// The sum as it is added up.
#[derive(Default)]
pub(super) struct WeightedMean {
    mean: f64,
    requests: usize,
    by_key: ClusterVariance,
    by_forwarder: ClusterVariance,
    terms: Vec<Term>,
}

impl WeightedMean {
    /// Adds the mean of some contributions, with its weight in the sum.
    pub fn add(&mut self, weight: f64, contributions: &[Contribution<'_>]) {
        let size = contributions.len() as f64;
        let mean = contributions.iter().map(|contribution| contribution.value).sum::<f64>() / size;
        self.by_key.add(weight, mean, contributions, |labeled| u64::from(labeled.request.key_hash));
        self.by_forwarder.add(weight, mean, contributions, |labeled| labeled.forwarder.0);
        self.mean += weight * mean;
        self.requests += contributions.len();
        let mut by_forwarder: BTreeMap<ForwarderId, ValueSum> = BTreeMap::new();
        for contribution in contributions {
            let own = by_forwarder.entry(contribution.labeled.forwarder).or_default();
            own.sum += contribution.value;
            own.count += 1.0;
        }
        let total = ValueSum { sum: mean * size, count: size };
        self.terms.push(Term { weight, total, by_forwarder });
    }

    /// Widens the interval as if there were one key more like the one that adds most to the variance.
    pub fn allow_for_unseen_key(&mut self) {
        self.by_key = self.by_key.with_one_more_cluster();
    }

    /// Whether enough of the mean is left whichever forwarder is left out (a jackknife over forwarders).
    fn survives_without_any_forwarder(&self) -> bool {
        let forwarders: BTreeSet<ForwarderId> =
            self.terms.iter().flat_map(|term| term.by_forwarder.keys().copied()).collect();
        if forwarders.len() < 2 {
            return true;
        }
        let sign = self.mean.signum();
        forwarders.into_iter().all(|forwarder| {
            let left: Option<f64> = self.terms.iter().map(|term| term.without(forwarder)).sum();
            left.is_some_and(|left| left * sign / MIN_SHARE_LEFT >= self.mean.abs())
        })
    }

    /// Whether the mean is one that forwarders have in common, as far as there are enough of them to estimate that.
    fn is_common_to_forwarders(&self, forwarder_count: usize) -> bool {
        let deviation = self.by_forwarder.variance.sqrt();
        forwarder_count < MIN_FORWARDERS || self.mean.abs() >= MIN_FORWARDER_DEVIATION * deviation
    }

    /// The estimate with its interval.
    ///
    /// # Errors
    /// Where the variance can't be estimated or rests on fewer than `min_effective_keys` keys.
    pub fn into_estimate(
        self,
        strata: Vec<Stratum>,
        min_effective_keys: f64,
        forwarder_count: usize,
    ) -> Result<Estimate, NoSupport> {
        let error = self.by_key.variance.sqrt();
        let is_sound = error.is_finite() && self.mean.is_finite() && error > 0.0;
        if !is_sound || self.by_key.effective_clusters() < min_effective_keys {
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
