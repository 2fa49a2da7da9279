//! One simulated process: a planner or a forwarder with a clock of its own.

use granitelb_balancer::Lease;
use granitelb_balancer::time::Time;
use granitelb_coordination::component::Component;
use granitelb_coordination::leases::{ForwarderComponent, LeaseMessage, PlannerComponent};
use granitelb_coordination::{Member, Sender};

/// The component that a process runs.
pub enum Side {
    /// A planner's component.
    Planner(Box<PlannerComponent>),
    /// A forwarder's component.
    Forwarder(Box<ForwarderComponent>),
}

impl Side {
    /// Handles a message. Whether it is ignored is the component's own decision.
    pub fn on_message(&mut self, clock: Time, from: Sender, message: LeaseMessage) {
        let _ = match self {
            Side::Planner(component) => component.on_message(clock, from, message),
            Side::Forwarder(component) => component.on_message(clock, from, message),
        };
    }

    /// The next message to send.
    pub fn poll_message(&mut self, clock: Time) -> Option<(Member, LeaseMessage)> {
        match self {
            Side::Planner(component) => component.poll_message(clock),
            Side::Forwarder(component) => component.poll_message(clock),
        }
    }

    /// When to poll again.
    pub fn poll_timeout(&self, clock: Time) -> Option<Time> {
        match self {
            Side::Planner(component) => component.poll_timeout(clock),
            Side::Forwarder(component) => component.poll_timeout(clock),
        }
    }

    /// The number of entries in the component's memory.
    pub fn entries(&self) -> usize {
        match self {
            Side::Planner(component) => component.entries(),
            Side::Forwarder(component) => component.entries(),
        }
    }
}

/// A member's process, over all its incarnations.
pub struct Process {
    /// What it runs; nothing while it is down.
    pub side: Option<Side>,
    /// The number of times that it was started.
    pub incarnation: u64,
    /// The rate of its clock.
    pub clock_rate: f64,
    /// What its clock showed when the simulation began.
    pub clock_base: u64,
    /// The time for which its next poll is scheduled.
    pub wake_at: Option<Time>,
    /// Until when it is suspended.
    pub suspended_until: Time,
    /// Until when it is disconnected from the network.
    pub disconnected_until: Time,
    /// The last lease that the balancer was notified of, by the process's clock.
    pub lease: Option<Lease>,
    /// The fetches a second that its clients demand.
    pub demand: f64,
    /// Since when it may use far less than its fair share.
    pub short_since: Option<Time>,
    /// The sum of the rates that were used, over the ticks that are measured.
    pub used: f64,
    /// The sum of the rates that were fair, over the same ticks.
    pub fair: f64,
}

impl Process {
    /// Creates a process that is down.
    pub fn new(clock_rate: f64, clock_base: u64) -> Process {
        Process {
            side: None,
            incarnation: 0,
            clock_rate,
            clock_base,
            wake_at: None,
            suspended_until: Time(0),
            disconnected_until: Time(0),
            lease: None,
            demand: 0.0,
            short_since: None,
            used: 0.0,
            fair: 0.0,
        }
    }

    /// What its clock shows.
    pub fn clock(&self, now: Time) -> Time {
        Time(self.clock_base + (now.0 as f64 * self.clock_rate) as u64)
    }

    /// The fetches a second that its balancer may send at most now, without the ramp at the end of a lease.
    pub fn permitted(&self, now: Time) -> f64 {
        match self.lease {
            None => 0.0,
            Some(lease) if self.clock(now) < lease.expires_at => lease.quota,
            Some(lease) => lease.quota_after_expiry,
        }
    }

    /// Whether this is a forwarder that is up.
    pub fn is_live_forwarder(&self) -> bool {
        matches!(self.side, Some(Side::Forwarder(_)))
    }

    /// Stops it at once.
    pub fn kill(&mut self) {
        self.side = None;
        self.lease = None;
        self.short_since = None;
    }
}
