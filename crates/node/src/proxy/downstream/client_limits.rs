//! Limits on the number of clients, derived from the resources that the node may use.

/// The share of descriptors for served clients. The rest is enough for an attempt of each request, and for
/// some attempts of finished requests that are still in flight.
const SERVED_CLIENTS_SHARE: f64 = 0.4;
/// The share of descriptors for excess clients, which are accepted beyond the served ones and told at once to
/// retry. If their connections were not accepted, their requests would be lost.
const EXCESS_CLIENTS_SHARE: f64 = 0.1;
/// When clients use more than this share of descriptors, clients that have been idle for long are closed.
const IDLE_CLIENTS_SHARE: f64 = 0.2;
/// The share of excess clients among those that the memory allows.
const EXCESS_MEMORY_SHARE: f64 = 0.2;

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
    /// Derives the limits from the number of descriptors for connections, and the number of clients that the
    /// memory allows. Each limit is at least one.
    pub(super) fn within(connections: usize, max_clients: usize) -> ClientLimits {
        let share = |total: usize, share: f64| ((total as f64 * share) as usize).max(1);
        ClientLimits {
            served: share(connections, SERVED_CLIENTS_SHARE)
                .min(share(max_clients, 1.0 - EXCESS_MEMORY_SHARE)),
            excess: share(connections, EXCESS_CLIENTS_SHARE).min(share(max_clients, EXCESS_MEMORY_SHARE)),
            idle: share(connections, IDLE_CLIENTS_SHARE),
        }
    }
}
