//! The means of time buckets, which are subtracted from requests' times before arms are compared.

use std::collections::BTreeMap;

use super::arm::WeightedSum;
use crate::counterfactual::outcome::ReportedRequest;

/// The mean of a time bucket is shrunk toward that of all times as if by this many requests.
const PRIOR_REQUESTS: f64 = 5.0;

/// A request with the logarithm of its time.
pub(super) struct TimedRequest<'a> {
    pub reported: ReportedRequest<'a>,
    pub log_duration: f64,
}

/// A time bucket's requests of one work class.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ClassTimeBucket {
    work_class: u8,
    time_bucket: u64,
}

/// What requests of a work class took at a moment, at all caches: a cache whose requests were reported late is not compared
/// with others' earlier times.
pub(super) struct TimeBucketMeans {
    work_classes: BTreeMap<u8, WeightedSum>,
    time_buckets: BTreeMap<ClassTimeBucket, WeightedSum>,
}

impl TimeBucketMeans {
    pub fn new(requests: &[TimedRequest<'_>]) -> TimeBucketMeans {
        let mut means = TimeBucketMeans { work_classes: BTreeMap::new(), time_buckets: BTreeMap::new() };
        for TimedRequest { reported, log_duration } in requests {
            let work_class = reported.request.work_class;
            let bucket = ClassTimeBucket { work_class, time_bucket: reported.time_bucket };
            let of_class = means.work_classes.entry(work_class).or_default();
            let of_bucket = means.time_buckets.entry(bucket).or_default();
            for total in [of_class, of_bucket] {
                total.sum += log_duration;
                total.weight += 1.0;
            }
        }
        means
    }

    /// The mean of a time bucket, shrunk toward that of the work class at all times.
    pub fn mean(&self, work_class: u8, time_bucket: u64) -> f64 {
        let bucket = ClassTimeBucket { work_class, time_bucket };
        let of_class = self.work_classes.get(&work_class).copied().unwrap_or_default();
        let of_bucket = self.time_buckets.get(&bucket).copied().unwrap_or_default();
        let prior = of_class.sum / of_class.weight.max(1.0);
        (of_bucket.sum + PRIOR_REQUESTS * prior) / (of_bucket.weight + PRIOR_REQUESTS)
    }
}
