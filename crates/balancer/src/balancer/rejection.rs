//! Final responses that the balancer gives by itself, and the end of requests.

use crate::ids::{AttemptNumber, RequestId};
use crate::request::LocalReply;
use crate::settings::{DedupScope, Effect};

use super::{Balancer, Cancellation, LocalResponse};

impl Balancer {
    /// Ends a request at once. It is rate-limited if a retry can do no harm, else it fails.
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

    /// The one place of every final response: it gives one to each pending request, and cancels what is in flight.
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

    /// Drops a request that has its final response, or needs none.
    pub(super) fn close(&mut self, id: RequestId) {
        self.finish_fetch(id);
        self.requests.remove(id);
    }

    /// Lets the requests go on that waited for this request's fetch.
    pub(super) fn finish_fetch(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        for follower in self.fetches.finish(request.request.key, id) {
            self.requests.set_waiting(follower);
        }
    }
}
