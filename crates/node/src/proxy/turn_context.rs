//! What the downstream and the upstream side work on in a turn of the event loop.

use granitelb_balancer::time::Time;

use super::request_table::RequestTable;
use crate::transport::Transport;

/// Borrows what both sides share, with the time of the current turn.
pub struct TurnContext<'a> {
    /// The sockets and timers.
    pub transport: &'a mut Transport,
    /// The requests in progress.
    pub requests: &'a mut RequestTable,
    /// The time at which the turn began.
    pub now: Time,
}
