//! Faults that a planner injects into itself, for tests of a fleet only. The table `[trial]` of a planner's
//! file configures them; a planner that has this table logs an error at its start.

use std::thread;

use granitelb_balancer::time::Span;
use granitelb_coordination::message::ComponentKind;
use serde::Deserialize;

use crate::clock::Clock;
use crate::config_error::InvalidValue;
use crate::planner::LivenessTimeouts;

/// The faults to inject. A planner whose table `[trial]` is empty behaves as usual.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultInjection {
    /// The rate of the planner's clock, relative to the machine's.
    pub clock_rate: f64,
    /// How far the planner's clock is ahead of the machine's at the start, in milliseconds; negative if the
    /// planner's clock is behind.
    #[serde(rename = "clock_ahead_ms")]
    pub clock_offset_ms: i64,
    /// The name of a component that never returns from the first message that it receives.
    #[serde(rename = "hangs")]
    pub hanging_component: Option<String>,
    /// How long a call of a component may take until the component is logged as hanging, in milliseconds;
    /// `None` for the default.
    #[serde(rename = "hang_named_ms")]
    pub hang_report_after_ms: Option<u64>,
    /// How long a call of a component may take until the process ends, in milliseconds; `None` for the
    /// default.
    #[serde(rename = "hang_ends_ms")]
    pub hang_exit_after_ms: Option<u64>,
}

impl Default for FaultInjection {
    fn default() -> FaultInjection {
        FaultInjection {
            clock_rate: 1.0,
            clock_offset_ms: 0,
            hanging_component: None,
            hang_report_after_ms: None,
            hang_exit_after_ms: None,
        }
    }
}

impl FaultInjection {
    /// Checks that the values are allowed.
    ///
    /// # Errors
    /// Returns the first value that is not allowed, with its key.
    pub fn validate(&self) -> Result<(), InvalidValue> {
        if !(0.5..=2.0).contains(&self.clock_rate) {
            return Err(InvalidValue::new(
                "trial.clock_rate",
                "must be from 0.5 to 2, and set only in tests",
            ));
        }
        if let Some(name) = &self.hanging_component
            && !may_hang(name)
        {
            return Err(InvalidValue::new(
                "trial.hangs",
                "must be verdicts, leases, growth or hindsight, and set only in tests",
            ));
        }
        Ok(())
    }

    /// Starts the planner's clock, with the faults of this configuration.
    pub fn clock(&self) -> Clock {
        Clock::with_faults(self.clock_rate, self.clock_offset_ms)
    }

    /// Whether this component hangs on its first message.
    pub fn hangs(&self, kind: ComponentKind) -> bool {
        self.hanging_component.as_deref() == Some(kind.name())
    }

    /// How long a call of a component may take until the component is logged as hanging, and until the
    /// process ends.
    pub(crate) fn liveness_timeouts(&self) -> LivenessTimeouts {
        let defaults = LivenessTimeouts::default();
        LivenessTimeouts {
            unresponsive_after: self
                .hang_report_after_ms
                .map_or(defaults.unresponsive_after, Span::from_millis),
            fatal_after: self.hang_exit_after_ms.map_or(defaults.fatal_after, Span::from_millis),
        }
    }
}

/// Whether `name` names a component that can be made to hang: any component but membership, which has no task
/// of its own.
fn may_hang(name: &str) -> bool {
    ComponentKind::ALL.iter().any(|kind| kind.name() == name && *kind != ComponentKind::Membership)
}

/// Blocks the thread for ever.
pub(crate) fn hang() -> ! {
    loop {
        thread::park();
    }
}
