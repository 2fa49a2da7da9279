//! Counters of messages and observations that were lost or rejected. The counters are logged once a minute,
//! by name, with an example and what an operator can do.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::io;
use std::mem;

use granitelb_coordination::component::Remediation;
use granitelb_coordination::membership::MembershipError;
use granitelb_coordination::message::EnvelopeError;

/// Why a message was not processed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RejectedMessage {
    /// The message could not be opened or sealed.
    Envelope(EnvelopeError),
    /// The sender of the message is not a current member, or the message was received before.
    Stale(MembershipError),
    /// The message is for a component that the fleet configuration does not enable.
    ComponentDisabled,
    /// The component to which the message belongs rejected it.
    Component {
        /// The component's error.
        reason: String,
        /// What an operator can do about the error.
        remediation: &'static str,
    },
}

impl RejectedMessage {
    /// The reason for a message that its component rejected with `error`.
    pub fn by_component(error: &impl Remediation) -> RejectedMessage {
        RejectedMessage::Component { reason: error.to_string(), remediation: error.remediation() }
    }
}

/// A counter with the description of the first event that it counted.
struct Counter {
    count: u64,
    example: String,
    /// What an operator can do.
    remediation: &'static str,
}

/// The counters since they were last logged. Their number is bounded, since their names are constants of the
/// program.
#[derive(Default)]
pub(super) struct AgentMetrics {
    counters: BTreeMap<&'static str, Counter>,
}

impl AgentMetrics {
    /// Counts a message that was not processed, or could not be sealed.
    pub fn count_rejected(&mut self, rejected: RejectedMessage) {
        match rejected {
            RejectedMessage::Envelope(error) => self.add(error.name(), 1, &error, error.remediation()),
            RejectedMessage::Stale(error) => self.add("stale", 1, &error, error.remediation()),
            RejectedMessage::ComponentDisabled => self.add(
                "component_disabled",
                1,
                &"a message for a component that the fleet configuration does not enable",
                "Give all members the same fleet configuration and send them SIGHUP.",
            ),
            RejectedMessage::Component { reason, remediation } => {
                self.add("message_ignored", 1, &reason, remediation);
            }
        }
    }

    /// Counts a message that could not be sent.
    pub fn count_send_failure(&mut self, error: &io::Error) {
        let remediation =
            "Check that the planners' addresses in the fleet configuration can be reached from this host.";
        self.add("send_failed", 1, error, remediation);
    }

    /// Counts observations that did not fit into the queue from the event loop.
    pub fn count_dropped_observations(&mut self, count: u64) {
        if count > 0 {
            self.add(
                "observations_dropped",
                count,
                &"the queue from the event loop was full",
                "The agent's thread lacks CPU time: give the machine more CPUs, or send this node fewer requests.",
            );
        }
    }

    fn add(&mut self, name: &'static str, count: u64, example: &dyn Display, remediation: &'static str) {
        let new = || Counter { count: 0, example: example.to_string(), remediation };
        self.counters.entry(name).or_insert_with(new).count += count;
    }

    /// Logs the counters, and resets them to zero.
    pub fn log(&mut self) {
        for (name, counter) in mem::take(&mut self.counters) {
            let Counter { count, example, remediation } = counter;
            log::warn!(
                event = "agent_messages_lost", reason = name, count = count;
                "the control-plane agent lost or rejected {count} messages or observations ({name}); the first one: \
                 {example}. {remediation}"
            );
        }
    }

    #[cfg(test)]
    pub fn counts(&self) -> Vec<(&'static str, u64)> {
        self.counters.iter().map(|(name, counter)| (*name, counter.count)).collect()
    }
}
