//! The mean times of time buckets, which are subtracted from requests' times before arms are compared.

use std::collections::BTreeMap;

use super::arm::WeightedSum;
use crate::counterfactual::outcome::ReportedRequest;

/// The weight of the mean of all time buckets in a time bucket's shrunk mean, as a number of requests.
const PRIOR_REQUESTS: f64 = 5.0;

/// A request with the logarithm of its time.
pub(super) struct TimedRequest<'a> {
    pub reported: ReportedRequest<'a>,
    pub log_duration: f64,
}

/// The requests of one work class in one time bucket.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ClassTimeBucket {
    work_class: u8,
    time_bucket: u64,
}

/// The mean logarithms of times at all caches, by work class and time bucket. They keep a cache whose
/// requests were reported late from being compared with other caches' earlier times.
pub(super) struct TimeBucketMeans {
    work_classes: BTreeMap<u8, WeightedSum>,
    time_buckets: BTreeMap<ClassTimeBucket, WeightedSum>,
}

impl TimeBucketMeans {
    /// Computes the means of the requests.
    pub fn new(requests: &[TimedRequest<'_>]) -> TimeBucketMeans {
        let mut means = TimeBucketMeans { work_classes: BTreeMap::new(), time_buckets: BTreeMap::new() };
        for TimedRequest { reported, log_duration } in requests {
            let work_class = reported.request.work_class;
            let bucket = ClassTimeBucket { work_class, time_bucket: reported.time_bucket };
            let class_sum = means.work_classes.entry(work_class).or_default();
            let bucket_sum = means.time_buckets.entry(bucket).or_default();
            for weighted_sum in [class_sum, bucket_sum] {
                weighted_sum.sum += log_duration;
                weighted_sum.weight += 1.0;
            }
        }
        means
    }

    /// The mean of a work class in a time bucket, shrunk toward the mean of the work class in all time
    /// buckets.
    pub fn mean(&self, work_class: u8, time_bucket: u64) -> f64 {
        let bucket = ClassTimeBucket { work_class, time_bucket };
        let class_sum = self.work_classes.get(&work_class).copied().unwrap_or_default();
        let bucket_sum = self.time_buckets.get(&bucket).copied().unwrap_or_default();
        let prior = class_sum.sum / class_sum.weight.max(1.0);
        (bucket_sum.sum + PRIOR_REQUESTS * prior) / (bucket_sum.weight + PRIOR_REQUESTS)
    }
}
