//! What all faculties have in common, at planners and at forwarders: letters come in, time passes, and the host pulls
//! what follows. A faculty does no I/O and reads no clock; `now` is the host's own, and is compared with no other's.

use granitelb_balancer::time::{Span, Time};

use crate::member::{Member, Sender};

/// An error that says what an operator can do about it.
pub trait Remediation: std::error::Error {
    /// What to do, as a sentence to an operator.
    fn remediation(&self) -> &'static str;
}

/// Something worth a line in the log: an event by which programs find it, and a sentence.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    pub name: &'static str,
    pub message: String,
    /// Whether an operator should look at it.
    pub is_warning: bool,
}

/// One side of a faculty. Inputs only update what is known; the `next_` ones are pulled until there is none.
pub trait Component {
    type Message;
    type Error: Remediation;

    /// A letter has come. The envelope was checked: it is signed, its sender lives, and it came once.
    ///
    /// # Errors
    /// Says why it was passed over; nothing of it counts then.
    fn on_message(&mut self, now: Time, from: Sender, message: Self::Message) -> Result<(), Self::Error>;

    /// The members that live have changed; both are in order.
    fn on_membership_change(&mut self, now: Time, alive: &[Member]);

    /// The next letter to send, and to whom.
    fn poll_message(&mut self, now: Time) -> Option<(Member, Self::Message)>;

    /// When to pull again if nothing comes before.
    fn poll_timeout(&self, now: Time) -> Option<Time>;

    /// What has to be kept on disk, whole, before any letter that is pulled after this goes out; none if nothing
    /// has changed. It is given back to the faculty when it is made anew.
    fn poll_snapshot(&mut self) -> Option<Vec<u8>> {
        None
    }

    /// The next line for the log.
    fn poll_event(&mut self) -> Option<Event> {
        None
    }

    /// How many entries are kept; however long it lives and whatever comes, this has a bound.
    fn entries(&self) -> usize;
}

/// Members that say nothing for so long are taken for dead. Beats come four times as often.
pub const FAILURE_TIMEOUT: Span = Span::from_millis(2000);
pub const HEARTBEAT_INTERVAL: Span = Span::from_millis(500);
