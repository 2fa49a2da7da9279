//! The settings of the split schedule.

use granitelb_balancer::time::Span;

const MILLIS_PER_MINUTE: u64 = 60_000;
const MINUTES_PER_HOUR: u64 = 60;

/// How fast splits advance, and when they start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The number of splits that are active in the fleet at once.
    pub max_active_splits: usize,
    /// The least duration of one copying step.
    pub copy_step_duration: Span,
    /// The least duration of [`Planned`](crate::shard_growth::shard_map::SplitPhase::Planned).
    pub planned_duration: Span,
    /// The least duration of [`DualRead`](crate::shard_growth::shard_map::SplitPhase::DualRead).
    pub dual_read_duration: Span,
    /// The least duration of [`Switched`](crate::shard_growth::shard_map::SplitPhase::Switched).
    pub switched_duration: Span,
    /// A fault pauses a split for this long; then the split is withdrawn.
    pub max_pause_duration: Span,
    /// How long a withdrawn split waits before it may be planned again.
    pub withdrawn_duration: Span,
    /// A split starts at most this many times its own duration before the shard's earliest forecast day.
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
