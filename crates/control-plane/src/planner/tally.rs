//! Counts of a planner's letters, told once a minute and at the end. A kind of trouble is told with its last words and
//! what to do; there are no more kinds than names in this program.

use std::collections::BTreeMap;
use std::fmt::Write;

use granitelb_coordination::PlannerId;
use granitelb_coordination::component::Remediation;
use granitelb_coordination::membership::MembershipError;
use granitelb_coordination::message::ComponentKind;

#[derive(Default)]
pub struct Tally {
    pub read: u64,
    pub sent: u64,
    troubles: BTreeMap<&'static str, ConfigError>,
}

struct ConfigError {
    count: u64,
    last: String,
    help: &'static str,
}

/// A name that stays the same.
pub fn name_of(stale: MembershipError) -> &'static str {
    match stale {
        MembershipError::OwnName => "own_name",
        MembershipError::StaleIncarnation => "older_life",
        MembershipError::Duplicate => "twice",
        MembershipError::TooOld => "too_late",
        MembershipError::DeclaredFailed => "was_gone",
        MembershipError::CapacityExceeded => "too_many",
        MembershipError::UnauthorizedSender => "not_its_word",
    }
}

impl Tally {
    fn count(&mut self, name: &'static str, count: u64, last: String, help: &'static str) {
        let trouble =
            self.troubles.entry(name).or_insert(ConfigError { count: 0, last: String::new(), help });
        trouble.count += count;
        trouble.last = last;
    }

    pub fn refused(&mut self, name: &'static str, fault: &dyn Remediation) {
        self.count(name, 1, fault.to_string(), fault.remediation());
    }

    pub fn troubled(&mut self, name: &'static str, trouble: &std::io::Error) {
        self.count(
            name,
            1,
            trouble.to_string(),
            "Look whether the members' addresses can be reached from here.",
        );
    }

    pub fn unlisted(&mut self, id: PlannerId) {
        let help = "Give all members the same operator's file and send SIGHUP.";
        self.count("unlisted", 1, format!("planner {} is not in the operator's file", id.0), help);
    }

    pub fn off(&mut self, kind: ComponentKind) {
        let help = "Give all members the same operator's file and send SIGHUP.";
        self.count("off", 1, format!("{kind} is off here"), help);
    }

    /// A letter that must not be shed waits, and all behind it in the socket.
    pub fn full(&mut self, kind: ComponentKind) {
        let help = "The planner is short of CPU or its disk is slow: give it more, or start more planners.";
        self.count("full", 1, format!("letters wait for {kind}"), help);
    }

    pub fn shed(&mut self, kind: ComponentKind, count: u64) {
        if count > 0 {
            let help = "The planner is short of CPU: give it more, or start more planners.";
            self.count("shed", count, format!("observations for {kind}"), help);
        }
    }

    pub fn nowhere(&mut self) {
        let help = "Nothing, if a few: a forwarder has just left, or was not heard yet.";
        self.count("nowhere", 1, "a letter to a member of unknown address".into(), help);
    }

    /// Tells all, and begins anew.
    pub fn tell(&mut self, alive: usize) {
        let tally = std::mem::take(self);
        let mut text = String::new();
        for (name, trouble) in &tally.troubles {
            let _ = write!(text, "; {} {name}", trouble.count);
        }
        let names: Vec<_> = tally.troubles.iter().map(|(name, t)| format!("{name}={}", t.count)).collect();
        let names = names.join(" ");
        log::info!(
            event = "letters", read = tally.read, sent = tally.sent, alive = alive, refused = names.as_str();
            "{} letters read, {} sent, {alive} members live{text}", tally.read, tally.sent
        );
        for (name, trouble) in tally.troubles {
            log::warn!(event = "letters_refused", name = name, count = trouble.count; "{name}, {} times, last: {}. {}", trouble.count, trouble.last, trouble.help);
        }
    }
}
