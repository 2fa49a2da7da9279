//! The parameters of a control plane simulation.

/// A part of a run, in seconds from its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Period {
    /// The second at which the period begins.
    pub from: f64,
    /// The second at which the period ends.
    pub to: f64,
}

/// The parameters of a run. Times are in seconds from the start.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The number of forwarders.
    pub forwarders: usize,
    /// The number of caches, without the origin.
    pub caches: usize,
    /// The number of planners. With 0 planners, each forwarder learns only from its own attempts.
    pub planners: usize,
    /// The mean request rate of each forwarder, per second.
    pub rate: f64,
    /// The number of keys.
    pub keys: f64,
    /// How long clients and members send, in seconds.
    pub seconds: f64,
    /// The number of caches that hang. The caches with the lowest numbers hang.
    pub hung_caches: usize,
    /// When the hung caches hang.
    pub hang: Period,
    /// When planners are suspended, if at all. Suspended planners neither send nor receive.
    pub planner_outage: Option<Period>,
    /// The number of planners that are suspended. The planners with the lowest numbers are suspended.
    pub suspended_planners: usize,
    /// The time at which every forwarder that holds a probe assignment is killed, if any.
    pub probers_killed_at: Option<f64>,
    /// The share of messages that never arrive.
    pub loss: f64,
    /// The share of the arriving messages in which one bit is flipped.
    pub corruption: f64,
    /// Whether the first planner and the first forwarder falsely report that every cache fails.
    pub has_byzantine_members: bool,
    /// The seed of the run.
    pub seed: u64,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            forwarders: 400,
            caches: 70,
            planners: 2,
            rate: 1.5,
            keys: 20_000.0,
            seconds: 30.0,
            hung_caches: 1,
            hang: Period { from: 8.0, to: 20.0 },
            planner_outage: None,
            suspended_planners: usize::MAX,
            probers_killed_at: None,
            loss: 0.05,
            corruption: 0.0,
            has_byzantine_members: false,
            seed: 1,
        }
    }
}
