//! The interface that all components share, at planners and at forwarders.
//!
//! A component is a state machine without I/O. The host passes messages and the time to it, and polls the
//! resulting messages, timeouts and events. A component reads no clock: `now` is always the host's own clock
//! and is never compared with the clock of another member.

use granitelb_balancer::time::{Span, Time};

use crate::member::{Member, Sender};

/// A member that sends no message for this long is considered failed. This is four heartbeat intervals.
pub const FAILURE_TIMEOUT: Span = Span::from_millis(2000);
/// The interval between two heartbeats to the same member.
pub const HEARTBEAT_INTERVAL: Span = Span::from_millis(500);

/// An error that states what an operator can do about it.
pub trait Remediation: std::error::Error {
    /// The action to take, as a sentence addressed to an operator.
    fn remediation(&self) -> &'static str;
}

/// An event that the host writes to the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// The stable name by which log processors find the event.
    pub name: &'static str,
    /// The log line's text for a human reader.
    pub message: String,
    /// Whether the event is logged as a warning, because an operator should look at it.
    pub is_warning: bool,
}

/// The planner's or the forwarder's side of a component. The `on_` methods only update state; the host calls
/// the `poll_` methods until they return `None`.
pub trait Component {
    /// The messages that the two sides of the component exchange.
    type Message;
    /// The reasons for which a message is rejected.
    type Error: Remediation;

    /// Handles a message. The host has checked the message's envelope: the message is signed, its sender is
    /// alive, and it is not a duplicate.
    ///
    /// # Errors
    /// Returns the reason if the message is rejected; a rejected message changes nothing.
    fn on_message(&mut self, now: Time, from: Sender, message: Self::Message) -> Result<(), Self::Error>;

    /// Handles a change of the set of members that are alive. `alive` is sorted.
    fn on_membership_change(&mut self, now: Time, alive: &[Member]);

    /// Returns the next message to send and its recipient.
    fn poll_message(&mut self, now: Time) -> Option<(Member, Self::Message)>;

    /// Returns the time at which to poll again if there is no input before.
    fn poll_timeout(&self, now: Time) -> Option<Time>;

    /// Returns the complete state to persist, or `None` if the state has not changed. The host must persist
    /// it before it sends any message that is polled afterwards, and passes it to the component when the
    /// component is created anew.
    fn poll_snapshot(&mut self) -> Option<Vec<u8>> {
        None
    }

    /// Returns the next event for the log.
    fn poll_event(&mut self) -> Option<Event> {
        None
    }

    /// The number of entries in memory. The number is bounded, whatever the component receives and however
    /// long it runs.
    fn entries(&self) -> usize;
}
