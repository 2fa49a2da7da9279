//! The state that the downstream and the upstream side share in a turn of the event loop.

use granitelb_balancer::time::Time;

use super::request_table::RequestTable;
use crate::transport::Transport;

/// The transport and the request table, borrowed for one turn of the event loop, and the time of the turn.
pub struct TurnContext<'a> {
    /// The sockets and timers.
    pub transport: &'a mut Transport,
    /// The requests in progress.
    pub requests: &'a mut RequestTable,
    /// The time at which the turn began.
    pub now: Time,
}
