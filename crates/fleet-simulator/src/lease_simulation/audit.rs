//! The audit of the permitted fetch rates after every event, and the measurements over a whole simulation.

use granitelb_coordination::leases::Resource;

use super::Simulation;

/// The share of the capacity by which a sum may exceed it through rounding.
const ROUNDING_TOLERANCE: f64 = 1e-9;

impl Simulation<'_> {
    /// Adds up the rates that all balancers may use now and the guaranteed shares of forwarders that are
    /// down, and counts a violation if the sum exceeds the origin's capacity.
    pub(super) fn audit(&mut self) {
        let settings = &self.scenario.settings;
        let amounts_per_fetch = Resource::Origin.amounts_per_unit();
        let capacity = f64::from(settings.origin_capacity) / amounts_per_fetch;
        let guaranteed = f64::from(settings.guaranteed_share(Resource::Origin)) / amounts_per_fetch;
        let beyond_guaranteed: f64 = self
            .members
            .values()
            .filter(|process| process.is_live_forwarder())
            .map(|process| (process.permitted(self.now) - guaranteed).max(0.0))
            .sum();
        let all_guaranteed = guaranteed * f64::from(settings.forwarder_count);
        let permitted = (beyond_guaranteed + all_guaranteed) / capacity;
        self.result.peak_permitted = self.result.peak_permitted.max(permitted);
        if permitted > 1.0 + ROUNDING_TOLERANCE {
            self.result.violations += 1;
        }
    }

    /// Computes the used part of the fair shares and Jain's index over all forwarders that had a fair share.
    pub(super) fn summarize(&mut self) {
        let mut used = 0.0;
        let mut fair = 0.0;
        let mut sum = 0.0;
        let mut sum_of_squares = 0.0;
        let mut count: usize = 0;
        for process in self.members.values().filter(|process| process.fair > 0.0) {
            used += process.used;
            fair += process.fair;
            let part = process.used / process.fair;
            sum += part;
            sum_of_squares += part * part;
            count += 1;
        }
        self.result.used_of_fair_share = used / fair;
        self.result.jain_index = sum * sum / (count as f64 * sum_of_squares);
    }
}
