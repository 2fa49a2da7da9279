//! The scenario of a run.

/// A part of a run, in seconds from its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Period {
    /// The first second.
    pub from: f64,
    /// The second at which the period is over.
    pub to: f64,
}

/// The parameters of a run. Times are in seconds from the start.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The number of forwarders.
    pub forwarders: usize,
    /// The number of caches, without the origin.
    pub caches: usize,
    /// The number of planners. Without any, each forwarder learns alone.
    pub planners: usize,
    /// Requests in a second at one forwarder.
    pub rate: f64,
    /// The number of keys.
    pub keys: f64,
    /// How long clients send requests.
    pub seconds: f64,
    /// The number of caches that hang; these are the first ones.
    pub hung_caches: usize,
    /// When they hang.
    pub hang: Period,
    /// When planners are suspended, if ever: they neither send nor receive.
    pub planner_outage: Option<Period>,
    /// The number of planners that are suspended; these are the first ones.
    pub suspended_planners: usize,
    /// When every forwarder that holds a probe assignment just then is killed, if ever.
    pub probers_killed_at: Option<f64>,
    /// The share of messages that never arrive.
    pub loss: f64,
    /// The share of arriving messages that have one bit changed.
    pub corruption: f64,
    /// Whether the first planner states that every cache fails and the first forwarder reports the same.
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
