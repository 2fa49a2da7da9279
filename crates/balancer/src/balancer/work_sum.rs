//! Sums of requests' work that stay comparable while the estimates of unstated work change.
//!
//! The work of a request that does not state its work is estimated by recent response times, which grow with
//! load. A sum of past estimates could not be compared with the estimate for the next request: once answers
//! are slow, the same requests would appear to be more work than before. Requests without stated work are
//! therefore counted by class, and the counts are converted to work by the estimate at the time when the sum
//! is read.

use crate::decaying::DecayingSum;
use crate::endpoint::EndpointRole;
use crate::request::Request;
use crate::time::{Span, Time};

use super::response_times::ResponseTimes;

/// A decaying sum of work.
pub(super) struct WorkSum {
    time_constant: Span,
    /// The work of requests that state their work, in seconds.
    stated: DecayingSum,
    /// The number of requests that do not state their work, by class.
    unstated: Vec<DecayingSum>,
}

impl WorkSum {
    pub fn new(time_constant: Span, now: Time) -> WorkSum {
        WorkSum { time_constant, stated: DecayingSum::new(time_constant, now), unstated: Vec::new() }
    }

    /// Adds a request's work.
    pub fn add(&mut self, now: Time, request: &Request) {
        let (sum, amount) = self.term(now, request);
        sum.add(now, amount);
    }

    /// Subtracts the part of a request's work that has not decayed since it was added at the time `added_at`.
    pub fn subtract(&mut self, now: Time, added_at: Time, request: &Request) {
        let (sum, amount) = self.term(now, request);
        sum.subtract(now, added_at, amount);
    }

    /// Adds another sum, multiplied by a factor.
    fn add_scaled(&mut self, now: Time, other: &WorkSum, factor: f64) {
        self.stated.add(now, other.stated.read(now) * factor);
        for (class, requests) in other.unstated.iter().enumerate() {
            self.class_count(now, class).add(now, requests.read(now) * factor);
        }
    }

    /// The sum in seconds, by the present estimates of unstated work.
    pub fn seconds(&self, now: Time, response_times: &ResponseTimes) -> f64 {
        let unstated = self.unstated.iter().enumerate();
        let estimated = unstated.map(|(class, requests)| {
            requests.read(now) * response_times.expected_class_seconds(now, class, EndpointRole::Cache)
        });
        self.stated.read(now) + estimated.sum::<f64>()
    }

    /// The sum that a request is added to, and the amount to add.
    fn term(&mut self, now: Time, request: &Request) -> (&mut DecayingSum, f64) {
        match request.work {
            Some(work) => (&mut self.stated, work.as_secs_f64()),
            None => (self.class_count(now, usize::from(request.request_class.0)), 1.0),
        }
    }

    fn class_count(&mut self, now: Time, class: usize) -> &mut DecayingSum {
        if self.unstated.len() <= class {
            self.unstated.resize(class + 1, DecayingSum::new(self.time_constant, now));
        }
        &mut self.unstated[class]
    }
}

/// The mean of samples of a [`WorkSum`], in which newer samples have a higher weight. An initial sample of
/// zero never decays, so that the first samples change the mean little.
pub(super) struct WorkMean {
    sum: WorkSum,
    samples: DecayingSum,
}

impl WorkMean {
    pub fn new(time_constant: Span, now: Time) -> WorkMean {
        WorkMean { sum: WorkSum::new(time_constant, now), samples: DecayingSum::new(time_constant, now) }
    }

    /// Adds a sample, multiplied by a factor.
    pub fn add_scaled(&mut self, now: Time, sample: &WorkSum, factor: f64) {
        self.sum.add_scaled(now, sample, factor);
        self.samples.add(now, 1.0);
    }

    /// The mean in seconds, by the present estimates of unstated work.
    pub fn seconds(&self, now: Time, response_times: &ResponseTimes) -> f64 {
        self.sum.seconds(now, response_times) / (self.samples.read(now) + 1.0)
    }
}
