//! The choice of the forwarders for a task: the ones with the greatest hash of task, window and forwarder
//! (rendezvous hashing).

use std::cmp::Reverse;

use granitelb_balancer::ids::EndpointId;
use xxhash_rust::xxh3::Xxh3;

use crate::member::ForwarderId;

/// A task that a few forwarders do for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Task {
    /// Probing a failing endpoint.
    Probe(EndpointId),
    /// Connecting first to an endpoint that starts.
    Connect(EndpointId),
    /// Polling service discovery again when watches break.
    PollDiscovery,
}

/// The number of a period of time in which assignments do not change. Each planner counts windows by its own
/// clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Window(pub u64);

/// Returns the rendezvous hash of a forwarder for a task and a window. The hash depends on these three
/// arguments alone, so all planners that know the same members make the same choice.
fn weight(task: Task, window: Window, member: ForwarderId) -> u64 {
    let (seed, endpoint) = match task {
        Task::Probe(endpoint) => (0, endpoint.0),
        Task::Connect(endpoint) => (1, endpoint.0),
        Task::PollDiscovery => (2, 0),
    };
    let mut hash = Xxh3::with_seed(seed);
    for input in [endpoint, window.0, member.0] {
        hash.update(&input.to_le_bytes());
    }
    hash.digest()
}

/// Chooses up to `count` of the members for a task, by descending weight. A smaller choice is a prefix of a
/// larger one.
pub fn assignees(task: Task, window: Window, members: &[ForwarderId], count: usize) -> Vec<ForwarderId> {
    if count == 0 {
        return Vec::new();
    }
    let weighted = members.iter().map(|member| Reverse((weight(task, window, *member), *member)));
    let mut candidates: Vec<_> = weighted.collect();
    if count < candidates.len() {
        // Only the chosen members are sorted, because there may be thousands of members.
        candidates.select_nth_unstable(count - 1);
        candidates.truncate(count);
    }
    candidates.sort_unstable();
    candidates.into_iter().map(|Reverse((_, member))| member).collect()
}
