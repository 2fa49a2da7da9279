//! Converts the fleet configuration into the settings of the components.

use granitelb_balancer::time::Span;
use granitelb_coordination::{counterfactual, endpoint_health, leases, probe_scheduling, shard_growth};

use super::FleetConfig;
use super::sections::{DAY, DAY_MS, GrowthSection, LeaseSection};

/// The lowest factor by which an interval is scaled when a test shortens accounting days.
const MIN_INTERVAL_SCALE: f64 = 0.05;
/// With short accounting days, the time between two rounds of a forwarder's reports, as a fraction of a day.
/// Planners close a day when an eighth of the next day is over, so that a round has to take less than that.
const SHORT_DAY_REPORT_ROUND_SCALE: f64 = 0.1;
/// The duration of one part of the copying, relative to the configured step duration.
const COPY_PART_SCALE: f64 = 0.25;
/// How long a split waits for a fault to end, relative to the configured step duration.
const FAULT_TIMEOUT_SCALE: f64 = 3.0;

impl FleetConfig {
    /// The settings of leases; `None` if they are disabled.
    pub fn lease_settings(&self) -> Option<leases::Settings> {
        let section = self.leases.as_ref()?;
        Some(leases::Settings {
            lease_duration: section.duration(),
            origin_capacity: thousandths(section.origin_fetches_per_s),
            warming_cache_capacity: (section.warmup_work * 1e6).round() as u32,
            guaranteed_per_mille: thousandths(section.reserved_share),
            long_term_per_mille: thousandths(section.long_term_share),
            forwarder_count: self.max_forwarders as u32,
            planners: self.planners.keys().copied().collect(),
            ..leases::Settings::default()
        })
    }

    /// The settings of endpoint health.
    pub fn health_settings(&self) -> endpoint_health::Settings {
        let probes = probe_scheduling::Settings {
            window: Span::from_millis(self.probes.window_ms),
            target_probes: self.probes.probes_per_window,
            ..probe_scheduling::Settings::default()
        };
        endpoint_health::Settings { probes, ..endpoint_health::Settings::default() }
    }

    /// The settings of shard growth at a planner; `None` if shard growth is disabled.
    pub fn growth_settings(&self) -> Option<shard_growth::PlannerSettings> {
        let section = self.shard_growth.as_ref()?;
        let defaults = shard_growth::PlannerSettings::default();
        Some(shard_growth::PlannerSettings {
            heartbeat_interval: section.scale_interval(defaults.heartbeat_interval),
            proposal_retry_interval: section.scale_interval(defaults.proposal_retry_interval),
            endpoint_report_ttl: section.scale_interval(defaults.endpoint_report_ttl),
            slow_origin_report_ttl: section.scale_interval(defaults.slow_origin_report_ttl),
            planners: self.planners.keys().copied().collect(),
            schedule: section.schedule(),
            day_length: Span::from_millis(section.day_ms),
            shard_capacity_bytes: Some(section.shard_bytes as f64),
            frozen_days: section.frozen_days.iter().copied().collect(),
            ..defaults
        })
    }

    /// The settings of shard growth at a forwarder; `None` if shard growth is disabled.
    pub fn growth_forwarder_settings(&self) -> Option<shard_growth::ForwarderSettings> {
        let section = self.shard_growth.as_ref()?;
        let defaults = shard_growth::ForwarderSettings::default();
        let report_round = if section.has_short_days() {
            Span::from_millis(section.day_ms).scaled(SHORT_DAY_REPORT_ROUND_SCALE)
        } else {
            defaults.report_round
        };
        Some(shard_growth::ForwarderSettings {
            report_round,
            heartbeat_interval: section.scale_interval(defaults.heartbeat_interval),
            eviction_window: section.scale_to_day(defaults.eviction_window),
            endpoint_report_interval: section.scale_interval(defaults.endpoint_report_interval),
            fetch_time_constant: section.scale_interval(defaults.fetch_time_constant),
        })
    }

    /// The settings of the counterfactual comparison; `None` if the comparison is disabled.
    pub fn counterfactual_settings(&self) -> Option<counterfactual::Settings> {
        let section = self.counterfactual.as_ref()?;
        let comparison_interval = Span::from_millis(section.evaluation_interval_ms);
        Some(counterfactual::Settings { comparison_interval, ..counterfactual::Settings::default() })
    }
}

/// Converts a value to thousandths, rounded to the nearest one.
fn thousandths(value: f64) -> u32 {
    (value * 1000.0).round() as u32
}

impl LeaseSection {
    /// The duration of a lease.
    pub fn duration(&self) -> Span {
        Span::from_millis(self.duration_ms)
    }
}

impl GrowthSection {
    /// Whether an accounting day is shorter than a calendar day, as in tests.
    fn has_short_days(&self) -> bool {
        self.day_ms < DAY_MS
    }

    /// Scales a duration by the ratio of an accounting day to a calendar day.
    fn scale_to_day(&self, duration: Span) -> Span {
        duration.scaled(self.day_ms as f64 * 1000.0 / DAY.0 as f64)
    }

    /// Scales the interval at which a message is repeated. With short accounting days the interval shrinks,
    /// but only so far that the messages can still be received; otherwise the interval is unchanged.
    fn scale_interval(&self, interval: Span) -> Span {
        if self.has_short_days() {
            self.scale_to_day(interval).max(interval.scaled(MIN_INTERVAL_SCALE))
        } else {
            interval
        }
    }

    fn schedule(&self) -> shard_growth::split_schedule::Settings {
        let defaults = shard_growth::split_schedule::Settings::default();
        let schedule = shard_growth::split_schedule::Settings {
            max_active_splits: self.max_concurrent_splits,
            copy_step_duration: self.scale_to_day(defaults.copy_step_duration),
            planned_duration: self.scale_to_day(defaults.planned_duration),
            dual_read_duration: self.scale_to_day(defaults.dual_read_duration),
            switched_duration: self.scale_to_day(defaults.switched_duration),
            max_pause_duration: self.scale_to_day(defaults.max_pause_duration),
            withdrawn_duration: self.scale_to_day(defaults.withdrawn_duration),
            ..defaults
        };
        let Some(step) = self.step_ms.map(Span::from_millis) else { return schedule };
        shard_growth::split_schedule::Settings {
            copy_step_duration: step.scaled(COPY_PART_SCALE),
            max_pause_duration: step.scaled(FAULT_TIMEOUT_SCALE),
            planned_duration: step,
            dual_read_duration: step,
            switched_duration: step,
            withdrawn_duration: step,
            ..schedule
        }
    }
}
