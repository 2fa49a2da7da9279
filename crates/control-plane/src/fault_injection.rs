//! What a member can be made to do amiss, for trials only: a planner's file has it under `[trial]`. Whoever runs one so is
//! told loudly; nothing here is read anywhere else.

use granitelb_balancer::time::Span;
use granitelb_coordination::message::ComponentKind;
use serde::Deserialize;

use crate::clock::Clock;
use crate::config_error::InvalidValue;

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultInjection {
    /// The clock goes so much as fast as the machine's.
    pub clock_rate: f64,
    /// At the start it is ahead of the machine's by so much, or behind it.
    pub clock_ahead_ms: i64,
    /// A faculty that never comes back from the first letter that it hears.
    pub hangs: Option<String>,
    /// How long a faculty may take, in place of the usual times: until it is named, and until the process ends.
    pub hang_named_ms: Option<u64>,
    pub hang_ends_ms: Option<u64>,
}

impl Default for FaultInjection {
    fn default() -> FaultInjection {
        FaultInjection {
            clock_rate: 1.0,
            clock_ahead_ms: 0,
            hangs: None,
            hang_named_ms: None,
            hang_ends_ms: None,
        }
    }
}

impl FaultInjection {
    /// # Errors
    /// Says which key can't be.
    pub fn check(&self) -> Result<(), InvalidValue> {
        if !(0.5..=2.0).contains(&self.clock_rate) {
            return Err(InvalidValue::new("trial.clock_rate", "from 0.5 to 2, and for trials only"));
        }
        if let Some(name) = &self.hangs
            && !ComponentKind::ALL
                .iter()
                .any(|kind| kind.name() == name && *kind != ComponentKind::Membership)
        {
            return Err(InvalidValue::new(
                "trial.hangs",
                "verdicts, leases, growth or hindsight, and for trials only",
            ));
        }
        Ok(())
    }

    pub fn clock(&self) -> Clock {
        Clock::with_faults(self.clock_rate, self.clock_ahead_ms)
    }

    pub fn hangs(&self, kind: ComponentKind) -> bool {
        self.hangs.as_deref() == Some(kind.name())
    }

    pub(crate) fn liveness_timeouts(&self) -> crate::planner::LivenessTimeouts {
        let usual = crate::planner::LivenessTimeouts::default();
        let or = |ms: Option<u64>, usual| ms.map_or(usual, Span::from_millis);
        crate::planner::LivenessTimeouts {
            unresponsive_after: or(self.hang_named_ms, usual.unresponsive_after),
            fatal_after: or(self.hang_ends_ms, usual.fatal_after),
        }
    }
}

/// Does not come back.
pub(crate) fn hang() -> ! {
    loop {
        std::thread::park();
    }
}
