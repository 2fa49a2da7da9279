//! Counts of what came to nothing, for a line in the log a minute: by name, with what to do about it.

use std::collections::BTreeMap;

use granitelb_coordination::component::Remediation;
use granitelb_coordination::message;

/// Why a letter was passed over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Refused {
    Message(message::EnvelopeError),
    /// Of a faculty that the operator's file leaves out.
    Off,
    /// By the side that it is for.
    By {
        name: &'static str,
        why: String,
        help: &'static str,
    },
}

impl Refused {
    pub fn of(name: &'static str, fault: &dyn Remediation) -> Refused {
        Refused::By { name, why: fault.to_string(), help: fault.remediation() }
    }
}

#[derive(Default)]
pub(super) struct Tally {
    /// Counts by name, each with the last one's words and what helps. There are no more than names in this program.
    counts: BTreeMap<&'static str, (u64, String, &'static str)>,
}

impl Tally {
    pub fn refused(&mut self, refused: Refused) {
        match refused {
            Refused::Message(fault) => self.count(fault.name(), 1, &fault, fault.remediation()),
            Refused::By { name, why, help } => self.count(name, 1, &why, help),
            Refused::Off => {
                let help = "Give all members the same operator's file and send SIGHUP.";
                self.count(
                    "faculty_off",
                    1,
                    &"a letter of a faculty that the operator's file leaves out",
                    help,
                );
            }
        }
    }

    pub fn unsent(&mut self, trouble: &std::io::Error) {
        let help = "Look whether planners' addresses in the operator's file can be reached from here.";
        self.count("unsent", 1, trouble, help);
    }

    pub fn dropped(&mut self, count: u64) {
        if count > 0 {
            let help = "The machine has no time for the courier: give it more, or fewer calls.";
            self.count("notes_dropped", count, &"noted by the loop, and dropped for want of room", help);
        }
    }

    fn count(&mut self, name: &'static str, count: u64, why: &dyn std::fmt::Display, help: &'static str) {
        let entry = self.counts.entry(name).or_insert_with(|| (0, why.to_string(), help));
        entry.0 += count;
    }

    #[cfg(test)]
    pub fn counts(&self) -> Vec<(&'static str, u64)> {
        self.counts.iter().map(|(name, entry)| (*name, entry.0)).collect()
    }

    /// Says what was counted since the last time.
    pub fn log(&mut self) {
        for (name, (count, why, help)) in std::mem::take(&mut self.counts) {
            log::warn!(event = "letters", what = name, count = count; "{name}, {count} times: {why}. {help}");
        }
    }
}
