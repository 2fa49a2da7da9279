//! Messages about the membership of nodes and planners.

use serde::{Deserialize, Serialize};

/// Heartbeats and notices about incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// The sender is alive.
    Heartbeat,
    /// This incarnation of the receiver was declared failed.
    DeclaredFailed {
        /// The incarnation whose messages are ignored from now on.
        incarnation: u64,
    },
    /// A greater incarnation of the receiver was seen.
    Superseded {
        /// The older incarnation, whose messages are ignored.
        incarnation: u64,
        /// The incarnation that replaces it.
        by: u64,
    },
}
