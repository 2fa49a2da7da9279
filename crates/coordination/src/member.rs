//! The identities of a fleet's members.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies a planner: its number in the fleet's configuration file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PlannerId(pub u8);

/// Identifies a forwarder: a hash of its name, which stays the same over restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ForwarderId(pub u64);

impl ForwarderId {
    /// The identity of the forwarder with this name.
    pub fn of_name(name: &str) -> ForwarderId {
        ForwarderId(xxh3_64(name.as_bytes()))
    }
}

/// Numbers the starts of a member and its returns after it was considered failed. Later incarnations are
/// greater. As soon as a greater incarnation of a member is known, all messages that an earlier one sent are
/// ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// A member of the fleet. In the order of members, all planners come before all forwarders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Member {
    /// A process that coordinates the fleet.
    Planner(PlannerId),
    /// A node that forwards requests to cache servers.
    Forwarder(ForwarderId),
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Member::Planner(id) => write!(f, "planner {}", id.0),
            Member::Forwarder(id) => write!(f, "forwarder {:016x}", id.0),
        }
    }
}

/// The sender of a message, with the message's sequence number. Each envelope contains it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// The member that sent the message.
    pub member: Member,
    /// The incarnation of the member under which the message was sent.
    pub incarnation: Incarnation,
    /// The message's sequence number. It increases with each message that an incarnation sends, to any
    /// recipient.
    pub sequence: u64,
}
