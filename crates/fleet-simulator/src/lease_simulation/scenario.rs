//! The parameters of a simulation of leases.

use granitelb_coordination::leases::Settings;

/// A number of forwarders, and the time from which so many are up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSize {
    /// The second of the simulation from which this many forwarders are up.
    pub from_second: f64,
    /// The number of forwarders that are up.
    pub forwarders: usize,
}

/// A period in which all planners are down.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outage {
    /// The second of the simulation at which the planners stop.
    pub from_second: f64,
    /// The second of the simulation at which the planners start again.
    pub to_second: f64,
}

/// The members, the demand and the faults of a simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The number of planners.
    pub planners: u8,
    /// The numbers of forwarders over time, in order of time.
    pub fleet_sizes: Vec<FleetSize>,
    /// The simulated time in seconds.
    pub seconds: f64,
    /// The sum of all demands, as a multiple of the origin's capacity.
    pub demand: f64,
    /// The standard deviation of the logarithm of a forwarder's demand.
    pub demand_spread: f64,
    /// The mean time between changes of one forwarder's demand, in seconds. With `None`, demands stay
    /// constant.
    pub demand_change_interval: Option<f64>,
    /// The probability that a message is lost. A message is duplicated and is late with the same probability
    /// each.
    pub message_loss: f64,
    /// The mean rate of faults, per second. Each fault kills, suspends or disconnects one member.
    pub faults_per_second: f64,
    /// The period in which all planners are down, if any.
    pub planner_outage: Option<Outage>,
    /// Whether planners skip the wait after their start. This breaks the protocol and serves to test the
    /// audit.
    pub skips_startup_wait: bool,
    /// The lease settings. The simulation fills in their planners.
    pub settings: Settings,
    /// The seed from which all random draws derive.
    pub seed: u64,
}

impl Scenario {
    /// Returns the fleet sizes of a fleet with a constant number of forwarders.
    pub fn constant_size(forwarders: usize) -> Vec<FleetSize> {
        vec![FleetSize { from_second: 0.0, forwarders }]
    }

    /// Returns the greatest number of forwarders that are up at the same time.
    pub fn max_forwarders(&self) -> usize {
        self.fleet_sizes.iter().map(|size| size.forwarders).max().unwrap_or(0)
    }

    /// Returns the number of forwarders that are up at a second of the simulation.
    pub fn forwarders_at(&self, second: f64) -> usize {
        let current = self.fleet_sizes.iter().rev().find(|size| size.from_second <= second);
        current.map_or(0, |size| size.forwarders)
    }
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            planners: 2,
            fleet_sizes: Scenario::constant_size(40),
            seconds: 40.0,
            demand: 1.2,
            demand_spread: 1.0,
            demand_change_interval: Some(8.0),
            message_loss: 0.1,
            faults_per_second: 0.2,
            planner_outage: None,
            skips_startup_wait: false,
            settings: Settings { origin_capacity: 300_000, ..Settings::default() },
            seed: 1,
        }
    }
}
