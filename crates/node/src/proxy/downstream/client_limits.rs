//! How many clients are served, out of all the resources that the node may use.

/// The share of descriptors that clients may take. Each request can then have an attempt in flight, and some
/// attempts of finished requests can be in flight besides.
const CLIENTS_SHARE: f64 = 0.4;
/// The share of descriptors for clients in excess of that, who are told at once to retry: left unaccepted,
/// their requests would be lost.
const EXCESS_CLIENTS_SHARE: f64 = 0.1;
/// The share of descriptors beyond which clients that are idle for long are closed.
const IDLE_CLIENTS_SHARE: f64 = 0.2;
/// The share of memory that clients may take.
const MEMORY_SHARE: f64 = 0.75;
/// Bytes that one client may take: its input, and a longest body in its request, on the way to an endpoint,
/// back from there and on the way to the client.
const BYTES_PER_CLIENT: usize = (16 + 4 * 64) * 1024;

/// The resources that a node may use.
#[derive(Clone, Copy, Debug)]
pub(in crate::proxy) struct ResourceLimits {
    /// Descriptors for connections.
    pub(in crate::proxy) connections: usize,
    /// Memory in bytes.
    pub(in crate::proxy) memory: usize,
}

/// Numbers of clients.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClientLimits {
    /// Clients that are served.
    pub(super) served: usize,
    /// Clients that are accepted in excess of those, to be told to retry.
    pub(super) excess: usize,
    /// Clients beyond which those that are idle for long are closed.
    pub(super) idle: usize,
}

impl ClientLimits {
    /// The limits within these resources. Each is at least one.
    pub(super) fn within(resources: ResourceLimits) -> ClientLimits {
        let share = |share: f64| ((resources.connections as f64 * share) as usize).max(1);
        let by_memory = (resources.memory as f64 * MEMORY_SHARE) as usize / BYTES_PER_CLIENT;
        ClientLimits {
            served: share(CLIENTS_SHARE).min(by_memory.max(1)),
            excess: share(EXCESS_CLIENTS_SHARE),
            idle: share(IDLE_CLIENTS_SHARE),
        }
    }
}
