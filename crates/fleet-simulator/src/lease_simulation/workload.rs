//! The demand and the use of fetches by forwarders, and how long forwarders are short of their fair shares.

use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::leases::Resource;
use granitelb_coordination::observation::Observation;
use granitelb_coordination::{Member, PlannerId};
use rand::RngExt;
use rand_distr::{Distribution, LogNormal};

use super::process::{Process, ProcessComponent};
use super::{ORIGIN, Simulation};

/// The interval at which demands can change and balancers send.
const TICK: Span = Span::from_millis(50);
/// A forwarder that may use less than this part of its fair share has a shortage.
const SHORTAGE_THRESHOLD: f64 = 0.5;
/// Shortages count only after this time, since planners wait after their start before they grant.
const SHORTAGES_FROM: Time = Time(8_000_000);
/// The time after the end of an outage in which planners that are down are started, in seconds.
const OUTAGE_RECOVERY_SECONDS: f64 = 1.0;

impl Simulation<'_> {
    /// Starts and stops forwarders, changes demands, sends fetches and measures fairness, once every
    /// [`TICK`].
    pub(super) fn tick(&mut self) {
        self.schedule(TICK, super::EventKind::Tick);
        let size = self.target_size();
        self.apply_planner_outage();
        let forwarders: Vec<_> = self.members.keys().copied().filter_map(as_forwarder).collect();
        for Forwarder { member, number } in forwarders {
            self.apply_fleet_size(member, number < size);
            if let Some(interval) = self.scenario.demand_change_interval
                && self.rng.random::<f64>() < TICK.as_secs_f64() / interval
            {
                self.draw_demand(member);
            }
            self.send_fetches(member);
        }
        self.measure_fairness();
    }

    /// Draws a new demand of a member.
    pub(super) fn draw_demand(&mut self, member: Member) {
        let size = self.target_size().max(1) as f64;
        let capacity = f64::from(self.scenario.settings.origin_capacity);
        let amounts_per_fetch = Resource::Origin.amounts_per_unit();
        let mean = self.scenario.demand * capacity / amounts_per_fetch / size;
        let spread = self.scenario.demand_spread;
        let distribution = LogNormal::new(-spread.powi(2) / 2.0, spread)
            .expect("the scenario's demand_spread must be finite");
        let demand = mean * distribution.sample(&mut self.rng);
        self.process(member).demand = demand;
    }

    fn apply_planner_outage(&mut self) {
        let Some(outage) = self.scenario.planner_outage else { return };
        let second = self.second();
        let is_outage = second >= outage.from_second && second < outage.to_second;
        let is_recovery = second >= outage.to_second && second < outage.to_second + OUTAGE_RECOVERY_SECONDS;
        for id in 0..self.scenario.planners {
            let planner = Member::Planner(PlannerId(id));
            let is_up = self.process(planner).component.is_some();
            if is_up && is_outage {
                self.process(planner).kill();
            } else if !is_up && is_recovery {
                self.start(planner);
            }
        }
    }

    fn apply_fleet_size(&mut self, member: Member, is_wanted: bool) {
        let process = self.process(member);
        let is_up = process.component.is_some();
        let was_never_up = process.incarnation == 0;
        if !is_wanted {
            if is_up {
                process.kill();
            }
            return;
        }
        // With faults, a killed forwarder is started by the event at the end of its fault.
        let has_faults = self.scenario.faults_per_second != 0.0;
        if was_never_up || !is_up && !has_faults {
            self.start(member);
        }
    }

    fn send_fetches(&mut self, member: Member) {
        let now = self.now;
        let is_measured = self.is_measured();
        let rounding: f64 = self.rng.random();
        let process = self.process(member);
        if process.suspended_until > now {
            return;
        }
        let clock = process.clock(now);
        let rate = process.demand.min(process.permitted(now));
        let excess = (process.demand - rate).max(0.0);
        let Some(ProcessComponent::Forwarder(component)) = &mut process.component else { return };
        // The number of fetches is rounded up or down at random, so that its mean is exact.
        let fetches = (rate * TICK.as_secs_f64() + rounding).floor() as usize;
        for _ in 0..fetches {
            let sent = Observation::AttemptSent { cache: ORIGIN, is_origin: true, write: false };
            component.on_observation(clock, &sent);
        }
        let rejected = (excess * TICK.as_secs_f64() + rounding).floor() as usize;
        for _ in 0..rejected {
            component.on_observation(clock, &Observation::FetchDenied);
        }
        if is_measured {
            process.used += rate;
        }
    }

    /// Compares the rate that each forwarder may use with its fair share, which is the max-min share of the
    /// present demands.
    fn measure_fairness(&mut self) {
        let now = self.now;
        let is_measured = self.is_measured();
        let level = self.fair_level();
        let mut longest: f64 = 0.0;
        for process in self.members.values_mut().filter(|process| process.is_live_forwarder()) {
            let fair = process.demand.min(level);
            if is_measured {
                process.fair += fair;
            }
            longest = longest.max(seconds_of_shortage(process, now, fair));
        }
        if now > SHORTAGES_FROM {
            self.result.longest_shortage = self.result.longest_shortage.max(longest);
        }
    }

    /// Returns the max-min fair level of the demands, in fetches per second.
    fn fair_level(&self) -> f64 {
        let settings = &self.scenario.settings;
        let capacity = settings.capacity(Resource::Origin);
        let guaranteed = settings.guaranteed_share(Resource::Origin);
        // The guaranteed shares of forwarders that are down stay unused.
        let absent = settings.forwarder_count.saturating_sub(self.target_size() as u32);
        let unused = f64::from(guaranteed) * f64::from(absent);
        let available = (f64::from(capacity) - unused) / Resource::Origin.amounts_per_unit();
        let live = self.members.values().filter(|process| process.is_live_forwarder());
        let mut demands: Vec<_> = live.map(|process| process.demand).collect();
        demands.sort_unstable_by(f64::total_cmp);
        let mut remaining = available;
        for (index, demand) in demands.iter().enumerate() {
            let even = remaining / (demands.len() - index) as f64;
            if *demand > even {
                return even;
            }
            remaining -= demand;
        }
        f64::MAX
    }
}

/// Returns for how long a forwarder has had a shortage, in seconds, and records when the shortage began.
fn seconds_of_shortage(process: &mut Process, now: Time, fair: f64) -> f64 {
    if process.permitted(now) >= SHORTAGE_THRESHOLD * fair {
        process.shortage_since = None;
        return 0.0;
    }
    let since = *process.shortage_since.get_or_insert(now);
    (now - since).as_secs_f64()
}

struct Forwarder {
    member: Member,
    number: usize,
}

fn as_forwarder(member: Member) -> Option<Forwarder> {
    match member {
        Member::Forwarder(id) => Some(Forwarder { member, number: id.0 as usize }),
        Member::Planner(_) => None,
    }
}
