//! The measurements that a simulation of leases returns.

/// The measurements of one simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SimulationResult {
    /// The greatest sum of the fetch rates permitted at one moment, as a share of the origin's capacity. The
    /// guaranteed shares of forwarders that are down are included.
    pub peak_permitted: f64,
    /// The number of events after which the permitted fetch rates exceeded the origin's capacity.
    pub violations: usize,
    /// The used fetch rates as a part of the fair shares, over the last quarter of the simulation.
    pub used_of_fair_share: f64,
    /// Jain's fairness index over the forwarders of the used part of each fair share.
    pub jain_index: f64,
    /// The longest time for which a forwarder was permitted less than half of its fair share, in seconds.
    pub longest_shortage: f64,
    /// The number of messages that were sent.
    pub messages: usize,
    /// The total size of the messages that were sent, in bytes.
    pub bytes: usize,
    /// The size of the largest message, in bytes.
    pub largest_message: usize,
    /// The greatest number of entries that the component of one member held in memory.
    pub max_entries: usize,
    /// The number of times that a process was started.
    pub starts: usize,
}
