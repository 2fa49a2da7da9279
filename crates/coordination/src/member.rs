//! Who is who among the members of a fleet.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A planner by its number in the operator's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PlannerId(pub u8);

/// A forwarder by a hash of its name, which stays the same over restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ForwarderId(pub u64);

impl ForwarderId {
    pub fn of_name(name: &str) -> ForwarderId {
        ForwarderId(xxh3_64(name.as_bytes()))
    }
}

/// A member's start, or its return after it was taken for dead; later ones are greater, and what an earlier one said
/// is void once a later one is heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Member {
    Planner(PlannerId),
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

/// Who wrote a letter, and which of its life's it is: on the envelope of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    pub member: Member,
    pub incarnation: Incarnation,
    /// Rises with each letter of a life, whoever it is to.
    pub number: u64,
}
