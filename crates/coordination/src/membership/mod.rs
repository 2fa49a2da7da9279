//! Membership and failure detection.
//!
//! Members send heartbeats; any other message counts as a heartbeat. A member that is silent for
//! [`FAILURE_TIMEOUT`](crate::component::FAILURE_TIMEOUT) is considered failed. Forwarders send heartbeats to
//! all planners; planners send heartbeats to one another and to the forwarders that they know. The topology
//! is a star, in which forwarders know nothing of one another.
//!
//! Invariants, and the reasons for them:
//! - **A message is accepted once.** Each message carries its sender's incarnation and sequence number.
//!   Accepted sequence numbers are remembered, and a sequence number below all that are remembered is
//!   rejected.
//! - **An earlier incarnation is never accepted again.** Incarnations increase; only an incarnation that is
//!   greater than the last known one replaces it.
//! - **Messages that a member sent before it was considered failed are ignored.** A forwarder that returns
//!   under the same incarnation is rejected until it takes a new one. A planner that returns is rejected for
//!   one heartbeat interval, in which it finds out by its own clock whether it was stalled, and is then
//!   accepted again: a planner that was cut off from a few members has kept its state, and must not give up
//!   what it granted to the others.
//! - **A member under a lower incarnation than the known one is notified**, and continues under a greater
//!   one. A forwarder is notified only once the process under the greater incarnation is silent: two
//!   processes with one name are usually a replacement, and the older process may continue alone until it
//!   ends. A planner is notified at once: of two processes under one number each supersedes the other, and
//!   since a new incarnation grants no lease for some seconds, neither process grants leases until one has
//!   ended.
//! - **A member that was itself stalled does not count that time against others.** They seemed silent because
//!   the member received nothing.
//! - **Memory is bounded.** Members beyond the bounds are rejected; members that failed longest ago are
//!   evicted first.

mod error;
mod heartbeat_schedule;
mod own_incarnation;
mod peer;
mod replay_window;
mod tracker;

use serde::{Deserialize, Serialize};

use crate::member::Incarnation;
pub use error::MembershipError;
pub use tracker::{Acceptance, Membership};

/// The maximum number of forwarders that a member tracks.
pub const MAX_FORWARDERS: usize = 4096;
/// The maximum number of planners that a member tracks.
pub const MAX_PLANNERS: usize = 16;

/// The messages of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// The sender is alive.
    Heartbeat,
    /// The recipient was considered failed under this incarnation; messages under it are ignored from now on.
    DeclaredFailed {
        /// The recipient's incarnation that was considered failed.
        incarnation: Incarnation,
    },
    /// A greater incarnation under the recipient's identity is known; messages under the lower one are ignored.
    Superseded {
        /// The recipient's incarnation that is ignored.
        incarnation: Incarnation,
        /// The greater incarnation.
        by: Incarnation,
    },
}
