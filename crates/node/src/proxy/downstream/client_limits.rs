//! Limits on the number of clients, derived from the resources that the node may use.

use super::pipeline::READ_AHEAD_BYTES;

/// The share of descriptors for served clients. The rest is enough for an attempt of each request, and for
/// some attempts of finished requests that are still in flight.
const SERVED_CLIENTS_SHARE: f64 = 0.4;
/// The share of descriptors for excess clients, which are accepted beyond the served ones and told at once to
/// retry. If their connections were not accepted, their requests would be lost.
const EXCESS_CLIENTS_SHARE: f64 = 0.1;
/// When clients use more than this share of descriptors, clients that have been idle for long are closed.
const IDLE_CLIENTS_SHARE: f64 = 0.2;
/// The share of memory that clients may use.
const MEMORY_SHARE: f64 = 0.75;
/// The memory in bytes that one client may use: its input buffer, the requests that it has sent ahead, and
/// four bodies of the maximum length (in its request, in the request to an endpoint, in the endpoint's
/// response, and in the response to the client).
const BYTES_PER_CLIENT: usize = READ_AHEAD_BYTES + (16 + 4 * 64) * 1024;

/// The resources that a node may use.
#[derive(Clone, Copy, Debug)]
pub(in crate::proxy) struct ResourceLimits {
    /// The number of descriptors for connections.
    pub(in crate::proxy) connections: usize,
    /// The memory in bytes.
    pub(in crate::proxy) memory: usize,
}

/// Limits on the number of clients.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClientLimits {
    /// The most clients that are served.
    pub(super) served: usize,
    /// The most clients that are accepted beyond the served ones, only to be told to retry.
    pub(super) excess: usize,
    /// The number of clients above which those that have been idle for long are closed.
    pub(super) idle: usize,
}

impl ClientLimits {
    /// Derives the limits from these resources. Each limit is at least one.
    pub(super) fn within(resources: ResourceLimits) -> ClientLimits {
        let share = |share: f64| ((resources.connections as f64 * share) as usize).max(1);
        let by_memory = (resources.memory as f64 * MEMORY_SHARE) as usize / BYTES_PER_CLIENT;
        ClientLimits {
            served: share(SERVED_CLIENTS_SHARE).min(by_memory.max(1)),
            excess: share(EXCESS_CLIENTS_SHARE),
            idle: share(IDLE_CLIENTS_SHARE),
        }
    }
}
