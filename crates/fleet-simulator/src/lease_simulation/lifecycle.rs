//! Starts of members, and injection of faults.

use granitelb_balancer::time::Span;
use granitelb_coordination::component::Component;
use granitelb_coordination::leases::{ForwarderComponent, PlannerComponent, Settings};
use granitelb_coordination::observation::{Observation, ObservedEndpoint};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId};
use rand::RngExt;

use super::process::{Process, ProcessComponent};
use super::{EventKind, ORIGIN, Simulation};

/// The largest deviation of a clock's rate from 1. Two clocks differ by up to twice this, which is within the
/// clock margin of the lease settings.
const MAX_CLOCK_DRIFT: f64 = 0.004;
/// The exclusive upper bound of a clock's first reading, in microseconds.
const MAX_CLOCK_BASE: u64 = 1_000_000_000_000;
/// The share of the faults that affect a planner.
const PLANNER_FAULTS: f64 = 0.4;
/// The shortest duration of a fault, in seconds.
const MIN_FAULT_SECONDS: f64 = 0.2;
/// The difference between the longest and the shortest duration of a fault, in seconds.
const FAULT_SECONDS_RANGE: f64 = 6.0;
/// The number of fault kinds: kill, suspend and disconnect.
const FAULT_KINDS: i32 = 3;

impl Simulation<'_> {
    /// Creates the processes of all members, starts the planners and schedules the first events.
    pub(super) fn begin(&mut self) {
        let planners = (0..self.scenario.planners).map(|id| Member::Planner(PlannerId(id)));
        let forwarders = 0..self.scenario.max_forwarders() as u64;
        let forwarders = forwarders.map(|id| Member::Forwarder(ForwarderId(id)));
        for member in planners.chain(forwarders) {
            let clock_rate = 1.0 + MAX_CLOCK_DRIFT * (2.0 * self.rng.random::<f64>() - 1.0);
            let clock_base = self.rng.random_range(0..MAX_CLOCK_BASE);
            self.members.insert(member, Process::new(clock_rate, clock_base));
            if matches!(member, Member::Planner(_)) {
                self.start(member);
            }
        }
        self.schedule(Span(0), EventKind::Tick);
        self.schedule_fault();
    }

    /// Starts a member under a new incarnation.
    pub(super) fn start(&mut self, member: Member) {
        let now = self.now;
        let planners: Vec<_> = (0..self.scenario.planners).map(PlannerId).collect();
        let alive: Vec<_> = planners.iter().copied().map(Member::Planner).collect();
        let mut settings =
            Settings { planners: planners.into_iter().collect(), ..self.scenario.settings.clone() };
        let skips_startup_wait = self.scenario.skips_startup_wait;
        self.draw_demand(member);
        let process = self.process(member);
        process.incarnation += 1;
        process.wake_at = None;
        process.suspended_until = now;
        let incarnation = Incarnation(process.incarnation);
        let clock = process.clock(now);
        let component = match member {
            Member::Planner(id) => {
                if skips_startup_wait {
                    settings.max_duration = Span::ZERO;
                }
                let mut component = PlannerComponent::new(settings, id, incarnation, clock);
                component.on_membership_change(clock, &alive);
                ProcessComponent::Planner(Box::new(component))
            }
            Member::Forwarder(id) => {
                let mut component = ForwarderComponent::new(settings, id, incarnation, clock);
                component.on_membership_change(clock, &alive);
                component.on_observation(clock, &Observation::EndpointsChanged(vec![origin()]));
                process.lease = component.current_leases(clock).first().map(|(_, lease)| *lease);
                ProcessComponent::Forwarder(Box::new(component))
            }
        };
        process.component = Some(component);
        self.result.starts += 1;
        self.poll(member);
    }

    /// Kills, suspends or disconnects a member chosen at random, and schedules the next fault.
    pub(super) fn inject_fault(&mut self) {
        self.schedule_fault();
        let forwarders = self.target_size().max(1);
        let member = if self.rng.random::<f64>() < PLANNER_FAULTS {
            Member::Planner(PlannerId(self.rng.random_range(0..self.scenario.planners)))
        } else {
            Member::Forwarder(ForwarderId(self.rng.random_range(0..forwarders) as u64))
        };
        let seconds = MIN_FAULT_SECONDS + FAULT_SECONDS_RANGE * self.rng.random::<f64>();
        let duration = Span::from_secs_f64(seconds);
        let kind = self.rng.random_range(0..FAULT_KINDS);
        let until = self.now + duration;
        let process = self.process(member);
        match kind {
            0 => {
                process.kill();
                self.schedule(duration, EventKind::Start { member });
            }
            1 => process.suspended_until = until,
            _ => process.disconnected_until = until,
        }
    }

    fn schedule_fault(&mut self) {
        if self.scenario.faults_per_second > 0.0 {
            let seconds = -(1.0 - self.rng.random::<f64>()).ln() / self.scenario.faults_per_second;
            self.schedule(Span::from_secs_f64(seconds), EventKind::Fault);
        }
    }
}

fn origin() -> ObservedEndpoint {
    ObservedEndpoint {
        cache: ORIGIN,
        is_origin: true,
        zone: 0,
        size: 1.0,
        started: None,
        warm_after: Span::ZERO,
    }
}
