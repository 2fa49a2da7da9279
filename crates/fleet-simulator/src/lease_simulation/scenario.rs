//! What a simulation of leases plays.

use granitelb_coordination::leases::Settings;

/// From when on a number of forwarders is up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSize {
    /// The second of the simulation from which this holds.
    pub from_second: f64,
    /// The number of forwarders that are up.
    pub forwarders: usize,
}

/// A time in which all planners are down.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outage {
    /// The second in which they stop.
    pub from_second: f64,
    /// The second in which they start again.
    pub to_second: f64,
}

/// The members, the demand and the faults of a simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The number of planners.
    pub planners: u8,
    /// The number of forwarders over time, in the order of time.
    pub fleet_sizes: Vec<FleetSize>,
    /// How long the simulation lasts.
    pub seconds: f64,
    /// The sum of all demands, as a multiple of the origin's capacity.
    pub demand: f64,
    /// How unevenly the demand is distributed over forwarders: the standard deviation of its logarithm.
    pub demand_spread: f64,
    /// The mean time between changes of one forwarder's demand, in seconds. Without it demands stay as they are.
    pub demand_change_interval: Option<f64>,
    /// The probability that a message is lost; likewise that it is duplicated, and that it is delayed for long.
    pub message_loss: f64,
    /// Faults a second. In each of them a member is killed, suspended or disconnected.
    pub faults_per_second: f64,
    /// When all planners are down, if ever.
    pub planner_outage: Option<Outage>,
    /// Plays a broken variant of the protocol, to test the auditor: planners that start do not wait.
    pub skips_startup_wait: bool,
    /// The settings of leases. The planners are filled in.
    pub settings: Settings,
    /// The seed from which all randomness is derived.
    pub seed: u64,
}

impl Scenario {
    /// A constant number of forwarders.
    pub fn constant_size(forwarders: usize) -> Vec<FleetSize> {
        vec![FleetSize { from_second: 0.0, forwarders }]
    }

    /// The greatest number of forwarders that are ever up.
    pub fn max_forwarders(&self) -> usize {
        self.fleet_sizes.iter().map(|size| size.forwarders).max().unwrap_or(0)
    }

    /// The number of forwarders that are up in a second.
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
