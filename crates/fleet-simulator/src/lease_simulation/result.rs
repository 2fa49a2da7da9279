//! What comes out of a simulation of leases.

/// The measurements of one simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SimulationResult {
    /// The greatest sum of all that may be used at one moment, as a part of the capacity.
    pub peak_permitted: f64,
    /// The number of events at which it was more than the capacity.
    pub violations: usize,
    /// What was used as a part of the fair shares, over the last quarter of the simulation.
    pub used_of_fair_share: f64,
    /// Jain's fairness index of these parts over forwarders.
    pub jain_index: f64,
    /// The longest time for which a forwarder was short of its fair share, in seconds.
    pub longest_shortage: f64,
    /// The number of messages that were sent.
    pub messages: usize,
    /// Their size in bytes.
    pub bytes: usize,
    /// The size of the largest message, in bytes.
    pub largest_message: usize,
    /// The greatest number of entries in the memory of one member.
    pub max_entries: usize,
    /// The number of times that a process was started.
    pub starts: usize,
}
