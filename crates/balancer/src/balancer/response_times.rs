//! Estimates of response times, by request class and by the endpoint's role.

use crate::endpoint::EndpointRole;
use crate::ids::RequestClassId;
use crate::request::Request;
use crate::settings::RequestClass;
use crate::time::{Span, Time};

use super::RATE_TIME_CONSTANT;
use crate::decaying::DecayingMean;

/// The expected response time before the first answer, as a share of the class's latency objective.
const INITIAL_SLO_SHARE: f64 = 1.0 / 8.0;

/// The mean response times of a request class, in seconds.
struct ClassResponseTimes {
    /// The mean over answers from caches, without the time of a node's fetch from the origin after a miss.
    cache: DecayingMean,
    /// The mean over answers from the origin.
    origin: DecayingMean,
}

impl ClassResponseTimes {
    fn new(class: &RequestClass, now: Time) -> ClassResponseTimes {
        let initial = DecayingMean::new(RATE_TIME_CONSTANT, now, class.slo.as_secs_f64() * INITIAL_SLO_SHARE);
        ClassResponseTimes { cache: initial, origin: initial }
    }
}

/// The expected response times of all request classes.
pub(super) struct ResponseTimes {
    by_class: Vec<ClassResponseTimes>,
}

impl ResponseTimes {
    pub fn new(classes: &[RequestClass], now: Time) -> ResponseTimes {
        let mut response_times = ResponseTimes { by_class: Vec::new() };
        response_times.add_classes(classes, now);
        response_times
    }

    /// Adds the classes at positions after the known ones: a class keeps its position when settings change.
    pub fn add_classes(&mut self, classes: &[RequestClass], now: Time) {
        let new = classes.iter().skip(self.by_class.len());
        self.by_class.extend(new.map(|class| ClassResponseTimes::new(class, now)));
    }

    /// Adds the response time of an answer to the mean of its class and role.
    pub fn record(&mut self, now: Time, class: RequestClassId, role: EndpointRole, latency: Span) {
        let times = &mut self.by_class[usize::from(class.0)];
        let mean = match role {
            EndpointRole::Cache => &mut times.cache,
            EndpointRole::Origin => &mut times.origin,
        };
        mean.add(now, latency.as_secs_f64());
    }

    /// The expected response time in seconds.
    pub fn expected_seconds(&self, now: Time, class: RequestClassId, role: EndpointRole) -> f64 {
        self.expected_class_seconds(now, usize::from(class.0), role)
    }

    /// The expected response time of the class at this position, in seconds.
    pub fn expected_class_seconds(&self, now: Time, class: usize, role: EndpointRole) -> f64 {
        let times = &self.by_class[class];
        match role {
            EndpointRole::Cache => times.cache.read(now),
            EndpointRole::Origin => times.origin.read(now),
        }
    }

    /// The expected response time.
    pub fn expected(&self, now: Time, class: RequestClassId, role: EndpointRole) -> Span {
        Span::from_secs_f64(self.expected_seconds(now, class, role))
    }

    /// A request's work at a cache, in seconds: the work that the request states, or else the expected
    /// response time.
    pub fn work(&self, now: Time, request: &Request) -> f64 {
        match request.work {
            Some(work) => work.as_secs_f64(),
            None => self.expected_seconds(now, request.request_class, EndpointRole::Cache),
        }
    }
}
