//! Estimates of how long answers take, by request class and by the role of the endpoint.

use crate::endpoint::EndpointRole;
use crate::ids::RequestClassId;
use crate::request::Request;
use crate::settings::RequestClass;
use crate::time::{Span, Time};

use super::RATE_TIME_CONSTANT;
use crate::decaying::DecayingMean;

/// Before the first answer the expected time is this share of the class's latency objective.
const INITIAL_SLO_SHARE: f64 = 1.0 / 8.0;

/// The mean times of a class's answers, in seconds.
struct ClassResponseTimes {
    /// Answers of caches, without a fetch.
    cache: DecayingMean,
    origin: DecayingMean,
}

impl ClassResponseTimes {
    fn new(class: &RequestClass, now: Time) -> ClassResponseTimes {
        let initial = DecayingMean::new(RATE_TIME_CONSTANT, now, class.slo.as_secs_f64() * INITIAL_SLO_SHARE);
        ClassResponseTimes { cache: initial, origin: initial }
    }
}

/// The expected response times of all request classes, by their ids.
pub(super) struct ResponseTimes {
    by_class: Vec<ClassResponseTimes>,
}

impl ResponseTimes {
    pub fn new(classes: &[RequestClass], now: Time) -> ResponseTimes {
        let mut response_times = ResponseTimes { by_class: Vec::new() };
        response_times.add_classes(classes, now);
        response_times
    }

    /// Adds the classes beyond those that are known: classes keep their positions when settings change.
    pub fn add_classes(&mut self, classes: &[RequestClass], now: Time) {
        let new = classes.iter().skip(self.by_class.len());
        self.by_class.extend(new.map(|class| ClassResponseTimes::new(class, now)));
    }

    /// Adds the time of an answer.
    pub fn record(&mut self, now: Time, class: RequestClassId, role: EndpointRole, latency: Span) {
        let times = &mut self.by_class[usize::from(class.0)];
        let mean = match role {
            EndpointRole::Cache => &mut times.cache,
            EndpointRole::Origin => &mut times.origin,
        };
        mean.add(now, latency.as_secs_f64());
    }

    /// The expected time of an answer, in seconds.
    pub fn expected_seconds(&self, now: Time, class: RequestClassId, role: EndpointRole) -> f64 {
        self.expected_class_seconds(now, usize::from(class.0), role)
    }

    /// The expected time of an answer to a request of the class at this position, in seconds.
    pub fn expected_class_seconds(&self, now: Time, class: usize, role: EndpointRole) -> f64 {
        let times = &self.by_class[class];
        match role {
            EndpointRole::Cache => times.cache.read(now),
            EndpointRole::Origin => times.origin.read(now),
        }
    }

    /// The expected time of an answer.
    pub fn expected(&self, now: Time, class: RequestClassId, role: EndpointRole) -> Span {
        Span::from_secs_f64(self.expected_seconds(now, class, role))
    }

    /// A request's work at a cache in seconds: as estimated with the request, else the expected time of an answer.
    pub fn work(&self, now: Time, request: &Request) -> f64 {
        match request.work {
            Some(work) => work.as_secs_f64(),
            None => self.expected_seconds(now, request.request_class, EndpointRole::Cache),
        }
    }
}
