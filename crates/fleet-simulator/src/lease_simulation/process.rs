//! A simulated process: a planner or a forwarder with its own clock.

use granitelb_balancer::Lease;
use granitelb_balancer::time::Time;
use granitelb_coordination::component::Component;
use granitelb_coordination::leases::{ForwarderComponent, LeaseMessage, PlannerComponent};
use granitelb_coordination::{Member, Sender};

/// The component that a process runs.
pub enum ProcessComponent {
    /// A planner's component.
    Planner(Box<PlannerComponent>),
    /// A forwarder's component.
    Forwarder(Box<ForwarderComponent>),
}

impl ProcessComponent {
    /// Passes a message to the component, which may ignore the message.
    pub fn on_message(&mut self, clock: Time, from: Sender, message: LeaseMessage) {
        let _ = match self {
            ProcessComponent::Planner(component) => component.on_message(clock, from, message),
            ProcessComponent::Forwarder(component) => component.on_message(clock, from, message),
        };
    }

    /// Returns the next message to send and its receiver, if any.
    pub fn poll_message(&mut self, clock: Time) -> Option<(Member, LeaseMessage)> {
        match self {
            ProcessComponent::Planner(component) => component.poll_message(clock),
            ProcessComponent::Forwarder(component) => component.poll_message(clock),
        }
    }

    /// Returns when the component must be polled again, by the process's clock.
    pub fn poll_timeout(&self, clock: Time) -> Option<Time> {
        match self {
            ProcessComponent::Planner(component) => component.poll_timeout(clock),
            ProcessComponent::Forwarder(component) => component.poll_timeout(clock),
        }
    }

    /// Returns the number of entries that the component holds in memory.
    pub fn entries(&self) -> usize {
        match self {
            ProcessComponent::Planner(component) => component.entries(),
            ProcessComponent::Forwarder(component) => component.entries(),
        }
    }
}

/// A member's process, over all its incarnations.
pub struct Process {
    /// The component that the process runs; `None` while the process is down.
    pub component: Option<ProcessComponent>,
    /// The number of times that the process was started.
    pub incarnation: u64,
    /// The rate of the process's clock relative to simulated time.
    pub clock_rate: f64,
    /// The reading of the process's clock at the beginning of the simulation, in microseconds.
    pub clock_base: u64,
    /// The time for which the member's next poll is scheduled.
    pub wake_at: Option<Time>,
    /// The time until which the process is suspended.
    pub suspended_until: Time,
    /// The time until which the process is disconnected from the network.
    pub disconnected_until: Time,
    /// The last lease that the balancer was notified of; its times are those of the process's clock.
    pub lease: Option<Lease>,
    /// The rate of fetches that the forwarder's clients demand, per second.
    pub demand: f64,
    /// The time since which the forwarder may use less than half of its fair share, if so now.
    pub shortage_since: Option<Time>,
    /// The sum over the measured ticks of the rate that the forwarder used, in fetches per second.
    pub used: f64,
    /// The sum over the measured ticks of the forwarder's fair share, in fetches per second.
    pub fair: f64,
}

impl Process {
    /// Creates a process that is down.
    pub fn new(clock_rate: f64, clock_base: u64) -> Process {
        Process {
            component: None,
            incarnation: 0,
            clock_rate,
            clock_base,
            wake_at: None,
            suspended_until: Time(0),
            disconnected_until: Time(0),
            lease: None,
            demand: 0.0,
            shortage_since: None,
            used: 0.0,
            fair: 0.0,
        }
    }

    /// Returns the reading of the process's clock.
    pub fn clock(&self, now: Time) -> Time {
        Time(self.clock_base + (now.0 as f64 * self.clock_rate) as u64)
    }

    /// Returns the rate of fetches that the balancer may send now, per second. The ramp at the end of a lease
    /// is left out.
    pub fn permitted(&self, now: Time) -> f64 {
        match self.lease {
            None => 0.0,
            Some(lease) if self.clock(now) < lease.expires_at => lease.quota,
            Some(lease) => lease.quota_after_expiry,
        }
    }

    /// Returns whether the process is a forwarder that is up.
    pub fn is_live_forwarder(&self) -> bool {
        matches!(self.component, Some(ProcessComponent::Forwarder(_)))
    }

    /// Stops the process at once; its component and its lease are lost.
    pub fn kill(&mut self) {
        self.component = None;
        self.lease = None;
        self.shortage_since = None;
    }
}
