//! Whose turn a duty is: the members with the greatest hash of duty, window and member (rendezvous hashing).

use granitelb_balancer::ids::EndpointId;
use xxhash_rust::xxh3::Xxh3;

use crate::member::ForwarderId;

/// What some of the forwarders do for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Duty {
    /// Trying a cache that fails.
    Try(EndpointId),
    /// Opening connections first to a cache that comes up.
    Open(EndpointId),
    /// Asking discovery anew when watches break.
    List,
}

/// A stretch of time in which turns stay, by its number. Each planner counts its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Window(pub u64);

/// A duty's hash by member. It rests on the three alone: who sees the same members picks the same.
fn weight(duty: Duty, window: Window, member: ForwarderId) -> u64 {
    let (kind, cache) = match duty {
        Duty::Try(cache) => (0, cache.0),
        Duty::Open(cache) => (1, cache.0),
        Duty::List => (2, 0),
    };
    let mut hash = Xxh3::with_seed(kind);
    for part in [cache, window.0, member.0] {
        hash.update(&part.to_le_bytes());
    }
    hash.digest()
}

/// Those who have the turn, first by weight; fewer make a beginning of more.
pub fn holders(duty: Duty, window: Window, members: &[ForwarderId], most: usize) -> Vec<ForwarderId> {
    let mut all: Vec<_> = members.iter().map(|m| (weight(duty, window, *m), *m)).collect();
    if most == 0 {
        return Vec::new();
    }
    if most < all.len() {
        // Only those that may hold it are put in order: there may be thousands.
        all.select_nth_unstable_by(most - 1, |a, b| b.cmp(a));
        all.truncate(most);
    }
    all.sort_unstable_by(|a, b| b.cmp(a));
    all.into_iter().map(|(_, m)| m).collect()
}
