//! Counts of a planner's messages, which are logged once a minute and when the planner stops.
//!
//! Each reason for which messages are rejected is logged with its last occurrence and what an operator can
//! do. The reasons are a fixed set of names, so that the number of counters is bounded.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;

use granitelb_coordination::PlannerId;
use granitelb_coordination::component::Remediation;
use granitelb_coordination::membership::MembershipError;
use granitelb_coordination::message::ComponentKind;

const SAME_CONFIG_REMEDIATION: &str = "Give all members the same operator's file and send them SIGHUP.";

/// An operation of the socket that can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SocketOperation {
    Receive,
    Send,
}

impl SocketOperation {
    /// The stable name under which the log counts failures of the operation.
    fn name(self) -> &'static str {
        match self {
            SocketOperation::Receive => "unread",
            SocketOperation::Send => "unsent",
        }
    }
}

/// The stable name under which the log counts an error of membership.
pub(super) fn membership_error_name(error: MembershipError) -> &'static str {
    match error {
        MembershipError::OwnName => "own_name",
        MembershipError::StaleIncarnation => "older_life",
        MembershipError::Duplicate => "twice",
        MembershipError::TooOld => "too_late",
        MembershipError::DeclaredFailed => "was_gone",
        MembershipError::CapacityExceeded => "too_many",
        MembershipError::UnauthorizedSender => "not_its_word",
    }
}

/// The messages that were rejected for one reason.
struct Rejections {
    count: u64,
    last_description: String,
    remediation: &'static str,
}

/// Counts of messages since the last report.
#[derive(Default)]
pub(super) struct MessageMetrics {
    received: u64,
    sent: u64,
    rejections: BTreeMap<&'static str, Rejections>,
}

impl MessageMetrics {
    pub(super) fn count_received(&mut self) {
        self.received += 1;
    }

    pub(super) fn count_sent(&mut self) {
        self.sent += 1;
    }

    /// Counts a message that is rejected with an error, under the error's stable name.
    pub(super) fn count_rejected(&mut self, name: &'static str, error: &dyn Remediation) {
        self.add(name, 1, error.to_string(), error.remediation());
    }

    pub(super) fn count_membership_error(&mut self, error: MembershipError) {
        self.count_rejected(membership_error_name(error), &error);
    }

    pub(super) fn count_socket_error(&mut self, operation: SocketOperation, error: &io::Error) {
        let remediation = "Check that the members' addresses can be reached from this host.";
        self.add(operation.name(), 1, error.to_string(), remediation);
    }

    /// Counts a message of a planner that is not in the fleet configuration.
    pub(super) fn count_unlisted_planner(&mut self, id: PlannerId) {
        let description = format!("a message of planner {}, which is not in the operator's file", id.0);
        self.add("unlisted", 1, description, SAME_CONFIG_REMEDIATION);
    }

    /// Counts a message for a component that is disabled at this planner.
    pub(super) fn count_disabled_component(&mut self, kind: ComponentKind) {
        let description = format!("a message for {kind}, which is disabled at this planner");
        self.add("off", 1, description, SAME_CONFIG_REMEDIATION);
    }

    /// Counts a message that must not be shed and whose mailbox is full. Later messages wait in the socket
    /// until the mailbox has room.
    pub(super) fn count_mailbox_full(&mut self, kind: ComponentKind) {
        let remediation = "The planner lacks CPU time or its disk is slow: give it more CPU time or a faster disk, or \
             start more planners.";
        self.add("full", 1, format!("the mailbox of {kind} is full and delays all messages"), remediation);
    }

    /// Counts messages that a mailbox has shed.
    pub(super) fn count_shed(&mut self, kind: ComponentKind, count: u64) {
        if count > 0 {
            let remediation = "The planner lacks CPU time: give it more, or start more planners.";
            self.add("shed", count, format!("the mailbox of {kind} was full or closed"), remediation);
        }
    }

    /// Counts a message that can't be sent because the address of its receiver is unknown.
    pub(super) fn count_unknown_address(&mut self) {
        let remediation = "Nothing, if there are a few: a forwarder has just left, or has sent nothing yet.";
        self.add("nowhere", 1, "a message to a member whose address is unknown".into(), remediation);
    }

    fn add(&mut self, name: &'static str, count: u64, description: String, remediation: &'static str) {
        let rejections = self.rejections.entry(name).or_insert_with(|| Rejections {
            count: 0,
            last_description: String::new(),
            remediation,
        });
        rejections.count += count;
        rejections.last_description = description;
    }

    /// Logs all counts, and resets them to zero.
    pub(super) fn report(&mut self, alive_members: usize) {
        let MessageMetrics { received, sent, rejections } = std::mem::take(self);
        let mut summary = String::new();
        let mut names = Vec::new();
        for (name, rejected) in &rejections {
            let _ = write!(summary, "; {} {name}", rejected.count);
            names.push(format!("{name}={}", rejected.count));
        }
        let names = names.join(" ");
        log::info!(
            event = "message_metrics", read = received, sent = sent, alive = alive_members, refused = names.as_str();
            "{received} messages received, {sent} sent, {alive_members} members alive{summary}"
        );
        for (name, rejected) in rejections {
            log::warn!(
                event = "messages_rejected", name = name, count = rejected.count;
                "{} messages were rejected or lost ({name}); the last one: {}. {}",
                rejected.count, rejected.last_description, rejected.remediation
            );
        }
    }
}
