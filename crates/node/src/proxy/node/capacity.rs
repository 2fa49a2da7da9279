//! Accepts clients as far as descriptors and memory allow, and closes idle connections when descriptors are
//! short.

use granitelb_balancer::time::{Span, Time};

use super::{DOWNSTREAM, Node};
use crate::proxy::turn_context::TurnContext;

/// The share of all connections that is kept free for attempts, by closing idle connections. At most
/// [`MAX_RESERVED_CONNECTIONS`] are kept free.
const RESERVED_SHARE: f64 = 0.125;
const MAX_RESERVED_CONNECTIONS: usize = 16;
/// The most clients accepted in one turn. A large number of new clients must not delay pending requests.
const MAX_ACCEPTS_PER_TURN: usize = 64;
/// The time after which the node tries again to accept clients once the connection limit was reached.
const ACCEPT_RETRY_DELAY: Span = Span::from_millis(20);

/// Whether more clients may be waiting to be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AcceptProgress {
    /// The limit on clients accepted in one turn was reached.
    MayHaveMore,
    /// No client is waiting, or there is no capacity for more.
    Stopped,
}

/// The number of connections, out of `connections`, that are kept free for attempts.
pub(super) fn reserved_connections(connections: usize) -> usize {
    ((connections as f64 * RESERVED_SHARE) as usize).min(MAX_RESERVED_CONNECTIONS)
}

impl Node {
    /// Accepts waiting clients, as far as there is capacity.
    pub(super) fn accept_clients(&mut self, now: Time) -> AcceptProgress {
        let Node { listener, transport, requests, downstream, .. } = self;
        let Some(listener) = listener else {
            self.accept_retry_at = None;
            return AcceptProgress::Stopped;
        };
        let mut turn = TurnContext { transport, requests, now };
        let mut progress = AcceptProgress::MayHaveMore;
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            if downstream.is_at_served_limit()
                && let Some(id) = downstream.first_to_evict(turn.transport, now)
            {
                downstream.evict(&mut turn, id);
            }
            let is_full = downstream.is_at_accept_limit()
                || turn.transport.available_connections() <= self.reserved_connections;
            if is_full || turn.transport.descriptors_exhausted() {
                // The listener is paused, since epoll would report the waiting clients in every turn. They
                // wait in the kernel's queue until there is capacity.
                listener.set_paused(turn.transport, true);
                if self.accept_retry_at.is_none() {
                    log::warn!(
                        event = "connection_limit_reached";
                        "connection limit reached: new clients wait until others disconnect; \
                        limits.sockets and limits.memory_mb determine the limit"
                    );
                }
                self.accept_retry_at = Some(now + ACCEPT_RETRY_DELAY);
                return AcceptProgress::Stopped;
            }
            let has_accepted = downstream.accept(turn.transport, listener, now);
            if !has_accepted && !turn.transport.descriptors_exhausted() {
                progress = AcceptProgress::Stopped;
                break;
            }
        }
        listener.set_paused(turn.transport, false);
        self.accept_retry_at = None;
        progress
    }

    /// Closes clients that have been idle for long while there are many clients, and the connections that
    /// have been idle for longest while descriptors are short.
    pub(super) fn close_excess_idle(&mut self, now: Time) {
        let Node { transport, requests, downstream, upstream, .. } = self;
        let mut turn = TurnContext { transport, requests, now };
        while let Some(id) = downstream.idle_too_long(turn.transport, now) {
            downstream.evict(&mut turn, id);
        }
        let was_exhausted = turn.transport.take_descriptors_exhausted();
        if was_exhausted {
            log::warn!(
                event = "file_descriptors_exhausted";
                "the operating system refused a file descriptor: closing idle connections"
            );
        }
        let mut to_close = if was_exhausted { self.reserved_connections } else { 0 };
        while turn.transport.available_connections() <= self.reserved_connections || to_close > 0 {
            to_close = to_close.saturating_sub(1);
            let Some(id) = turn.transport.longest_idle(now, None) else { return };
            if id.owner() == DOWNSTREAM {
                downstream.evict(&mut turn, id);
            } else {
                upstream.evict(turn.transport, id);
            }
        }
    }
}
