//! What is kept of an API call while it is open, and of its shots.

use crate::calls::Request;
use crate::ids::EndpointId;
use crate::time::{Span, Time};

/// A shot that was sent.
#[derive(Clone, Copy)]
pub struct InFlightAttempt {
    pub call: Request,
    pub cache: EndpointId,
    pub at: Time,
    pub out: bool,
}

/// An API call without its final answer.
pub struct PendingRequest {
    pub call: Request,
    pub rank: (u64, u64),
    pub slo_end: Time,
    /// Until when an answer is worth anything.
    pub worth_end: Time,
    pub end: Time,
    pub patience_end: Time,
    pub shots: Vec<InFlightAttempt>,
    /// How many it may have, by the settings that it was taken under.
    pub most_shots: usize,
    /// When its client is asked to come again if it is turned away, by the same settings.
    pub retry_after: Span,
    /// The first shot that may have run.
    pub may_have_run: Option<usize>,
    /// Caches that lacked the key or did not serve it.
    pub passed: Vec<EndpointId>,
    pub lacking: bool,
}

impl PendingRequest {
    pub fn first_out(&self) -> Option<usize> {
        self.shots.iter().position(|s| s.out)
    }

    /// The first shot that may have run, or yet may.
    pub fn first_risky(&self) -> Option<usize> {
        [self.may_have_run, self.first_out()].into_iter().flatten().min()
    }
}
