//! Final responses that the balancer itself gives, and the removal of requests that have ended.

use crate::ids::{AttemptNumber, RequestId};
use crate::request::LocalReply;
use crate::settings::{DedupScope, Effect};

use super::{Balancer, Cancellation, LocalResponse};

impl Balancer {
    /// Ends a request at once. The reply is a rate limit if a retry by the client can do no harm, otherwise
    /// an error.
    pub(super) fn reject(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        let effect = self.settings.request_class(request.request.request_class).effect;
        let is_retry_harmless = match effect {
            Effect::Idempotent | Effect::Deduplicated { scope: DedupScope::All, .. } => true,
            Effect::Deduplicated { .. } | Effect::NonIdempotent => {
                request.first_possible_execution().is_none()
            }
        };
        let reply = if is_retry_harmless {
            LocalReply::RateLimited { retry_after: request.retry_after }
        } else {
            LocalReply::Errored
        };
        self.respond(id, reply);
    }

    /// Queues the final response to a pending request, cancels the request's attempts in flight and closes
    /// the request. All final responses that the balancer itself gives are queued here, so that a request
    /// gets only one.
    pub(super) fn respond(&mut self, id: RequestId, reply: LocalReply) {
        let Some(request) = self.requests.get(id) else { return };
        if self.settings.may_cancel {
            let attempts = request.attempts.iter().enumerate();
            let in_flight = attempts.filter(|(_, attempt)| attempt.in_flight);
            self.cancellations.extend(
                in_flight.map(|(number, _)| Cancellation { id, number: AttemptNumber(number as u8) }),
            );
        }
        self.close(id);
        self.responses.push_back(LocalResponse { id, reply });
    }

    /// Removes a request that has its final response or needs none.
    pub(super) fn close(&mut self, id: RequestId) {
        self.finish_fetch(id);
        self.requests.remove(id);
    }

    /// Ends the fetch that this request leads, if any. The requests that waited for that fetch wait for an
    /// attempt again.
    pub(super) fn finish_fetch(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        for follower in self.fetches.finish(request.request.key, id) {
            self.requests.set_waiting(follower);
        }
    }
}
