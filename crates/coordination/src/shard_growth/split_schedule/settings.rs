//! The settings of the split schedule.

use granitelb_balancer::time::Span;

const MILLIS_PER_MINUTE: u64 = 60_000;
const MINUTES_PER_HOUR: u64 = 60;

/// The settings by which splits start, advance and are withdrawn.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The maximum number of splits that are active in the fleet at the same time.
    pub max_active_splits: usize,
    /// The minimum duration of one copying step.
    pub copy_step_duration: Span,
    /// The minimum duration of [`Planned`](crate::shard_growth::shard_map::SplitPhase::Planned).
    pub planned_duration: Span,
    /// The minimum duration of [`DualRead`](crate::shard_growth::shard_map::SplitPhase::DualRead).
    pub dual_read_duration: Span,
    /// The minimum duration of [`Switched`](crate::shard_growth::shard_map::SplitPhase::Switched).
    pub switched_duration: Span,
    /// The time for which a fault may pause a split before the split is withdrawn.
    pub max_pause_duration: Span,
    /// The time that a withdrawn split waits before it may be planned again.
    pub withdrawn_duration: Span,
    /// The earliest start of a split before the shard's earliest forecast day, as a multiple of the split's
    /// duration.
    pub lead_factor: f64,
    /// The fraction of the origin's spare fetches that splits may use, from 0 to 1.
    pub spare_fetch_fraction: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        let minutes = |minutes: u64| Span::from_millis(minutes * MILLIS_PER_MINUTE);
        let hours = |hours: u64| minutes(hours * MINUTES_PER_HOUR);
        Settings {
            max_active_splits: 2,
            copy_step_duration: minutes(5),
            planned_duration: minutes(10),
            dual_read_duration: minutes(60),
            switched_duration: hours(24),
            max_pause_duration: minutes(30),
            withdrawn_duration: hours(24),
            lead_factor: 2.0,
            spare_fetch_fraction: 0.5,
        }
    }
}
