//! What planners and forwarders say of growth, each under 1,100 bytes, and what a planner keeps on its disk.

use granitelb_balancer::time::{Span, Time};
use serde::{Deserialize, Serialize};

use super::agree::{Kept, Vote};
use super::form::{Form, FormVersion};
use super::history::Days;
use super::listing::Listed;
use super::sketch::{Counts, Day, Of, Shard};
use crate::component::Remediation;

/// Registers of a sketch that rose, in one letter.
pub const MOST_REGISTERS: usize = 300;
/// Days of a shard in one letter.
pub const MOST_ENDED: usize = 75;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GrowthMessage {
    /// From a forwarder: registers of one shard's sketch.
    Sketch { day: Day, shard: Shard, of: Of, registers: Vec<(u16, u8)> },
    /// From a forwarder: what this life counted of some shards.
    Counted { day: Day, counts: Vec<(Shard, Counts)> },
    /// From a forwarder: the form that it goes by.
    Holds { version: FormVersion },
    /// From a planner: the book's day by it.
    Today { day: Day },
    /// From a planner to a forwarder: the form that was decided last.
    Table { form: Form },
    /// Between planners.
    Vote(Vote),
    /// From a forwarder: caches as its list has them.
    Caches { listed: Vec<Listed> },
    /// Between planners: days of a shard that have ended, which one that was away or lost its disk lacks.
    Ended { shard: Shard, days: Days },
    /// From a forwarder, for as long as it is so: most of its fetches of late took too long.
    OriginSlow,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GrowthError {
    #[error("a letter of growth from a member that would not write it")]
    Stranger,
    #[error("a letter of growth with figures that no member would say")]
    Nonsense,
    #[error("a letter of growth of a day that is not counted any more")]
    OldDay,
    #[error("there is no room for another forwarder's counts")]
    Full,
}

impl Remediation for GrowthError {
    fn remediation(&self) -> &'static str {
        match self {
            GrowthError::Stranger => {
                "Check that all planners have the same operator's file, with the same numbers."
            }
            GrowthError::Nonsense => {
                "Check that all members run the same version; if they do, look at the sender."
            }
            GrowthError::OldDay => {
                "Some of these are usual at midnight; if they go on, check the planners' calendars."
            }
            GrowthError::Full => {
                "More forwarders started today than are counted; look for ones that restart all the time."
            }
        }
    }
}

/// What is kept can't be read. The file has to be kept aside: it may be another version's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    #[error("what growth kept is of version {0}, and this program writes version {VERSION}")]
    OtherVersion(u8),
    #[error("what growth kept is torn or not its own")]
    Torn,
}

impl Remediation for SnapshotError {
    fn remediation(&self) -> &'static str {
        match self {
            SnapshotError::OtherVersion(_) => {
                "Run the program that wrote it; or move the file aside and start with none while all other planners are up."
            }
            SnapshotError::Torn => {
                "Move the file aside and start with none while all other planners are up: it asks them for what it lost."
            }
        }
    }
}

const VERSION: u8 = 1;

/// All of a planner's growth that outlasts a restart.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Archive {
    pub votes: Option<Kept>,
    /// For each shard: days, and bytes and keys kept.
    pub history: Vec<(Shard, Days)>,
}

impl Archive {
    /// A version, the bytes, and a sum over both.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = vec![VERSION];
        bytes.extend(postcard::to_stdvec(self).expect("plain figures can be written"));
        bytes.extend(xxhash_rust::xxh3::xxh3_64(&bytes).to_be_bytes());
        bytes
    }

    /// # Errors
    /// Says what is wrong with them; they are never half read.
    pub fn of_bytes(bytes: &[u8]) -> Result<Archive, SnapshotError> {
        let (&version, _) = bytes.split_first().ok_or(SnapshotError::Torn)?;
        let (said, sum) = bytes.split_last_chunk::<8>().ok_or(SnapshotError::Torn)?;
        if xxhash_rust::xxh3::xxh3_64(said).to_be_bytes() != *sum {
            return Err(SnapshotError::Torn);
        }
        if version != VERSION {
            return Err(SnapshotError::OtherVersion(version));
        }
        let archive: Archive = postcard::from_bytes(&said[1..]).map_err(|_| SnapshotError::Torn)?;
        let days = archive.history.iter().all(|(_, days)| days.windows(2).all(|w| w[0].0 < w[1].0));
        days.then_some(archive).ok_or(SnapshotError::Torn)
    }
}

/// The book's calendar at a planner: the day at one moment of its clock, and how far it was into it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Calendar {
    pub at: Time,
    pub day: Day,
    pub into: Span,
}

impl Calendar {
    /// The day that it is, of days so long, and which part of it is over.
    pub fn day_of(&self, day: Span, now: Time) -> (Day, f64) {
        let since = self.into + (now - self.at);
        let length = day.0.max(1);
        let today = self.day.0.saturating_add((since.0 / length).min(u64::from(u32::MAX / 2)) as u32);
        (Day(today), (since.0 % length) as f64 / length as f64)
    }
}
