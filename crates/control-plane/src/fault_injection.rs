//! Faults that a planner injects into itself, for tests of a fleet only. A planner's configuration file has them in its
//! table `[trial]`; a planner that runs with one logs an error at its start.

use std::thread;

use granitelb_balancer::time::Span;
use granitelb_coordination::message::ComponentKind;
use serde::Deserialize;

use crate::clock::Clock;
use crate::config_error::InvalidValue;
use crate::planner::LivenessTimeouts;

/// The faults to inject. Without any key, a planner behaves as usual.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultInjection {
    /// The rate of the planner's clock, relative to the machine's.
    pub clock_rate: f64,
    /// How far the planner's clock is ahead of the machine's at the start, in milliseconds; negative if it is behind.
    #[serde(rename = "clock_ahead_ms")]
    pub clock_offset_ms: i64,
    /// The name of a component that hangs on the first message it receives.
    #[serde(rename = "hangs")]
    pub hanging_component: Option<String>,
    /// How long a component may run until it is logged as hanging, in milliseconds, in place of the usual time.
    #[serde(rename = "hang_named_ms")]
    pub hang_report_after_ms: Option<u64>,
    /// How long a component may run until the process ends, in milliseconds, in place of the usual time.
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
    /// Returns the first key whose value is not allowed.
    pub fn validate(&self) -> Result<(), InvalidValue> {
        if !(0.5..=2.0).contains(&self.clock_rate) {
            return Err(InvalidValue::new("trial.clock_rate", "from 0.5 to 2, and for trials only"));
        }
        if let Some(name) = &self.hanging_component
            && !may_hang(name)
        {
            return Err(InvalidValue::new(
                "trial.hangs",
                "verdicts, leases, growth or hindsight, and for trials only",
            ));
        }
        Ok(())
    }

    /// The planner's clock.
    pub fn clock(&self) -> Clock {
        Clock::with_faults(self.clock_rate, self.clock_offset_ms)
    }

    /// Whether this component is to hang.
    pub fn hangs(&self, kind: ComponentKind) -> bool {
        self.hanging_component.as_deref() == Some(kind.name())
    }

    /// The times after which a hanging component is logged and the process ends.
    pub(crate) fn liveness_timeouts(&self) -> LivenessTimeouts {
        let usual = LivenessTimeouts::default();
        LivenessTimeouts {
            unresponsive_after: self.hang_report_after_ms.map_or(usual.unresponsive_after, Span::from_millis),
            fatal_after: self.hang_exit_after_ms.map_or(usual.fatal_after, Span::from_millis),
        }
    }
}

/// Whether `name` is a component's that can be made to hang: any but membership, which has no task of its own.
fn may_hang(name: &str) -> bool {
    ComponentKind::ALL.iter().any(|kind| kind.name() == name && *kind != ComponentKind::Membership)
}

/// Never returns.
pub(crate) fn hang() -> ! {
    loop {
        thread::park();
    }
}
