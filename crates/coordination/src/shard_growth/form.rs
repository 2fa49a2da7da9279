//! The table's form: which shards are split into how many, and which splits are under way. It is small and is told whole;
//! whoever holds the highest version needs none of those before it.

use std::collections::BTreeMap;
use std::fmt;

use granitelb_balancer::calls;
use serde::{Deserialize, Serialize};

use super::sketch::Shard;

/// Counts the forms; each was decided by a majority of the configured planners.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FormVersion(pub u64);

/// Where a split stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Step {
    /// Will be needed; nothing is done yet.
    Foreseen,
    /// Its caches are taken for it; nothing is moved yet.
    Planned,
    /// So many sixteenths of the keys that move are read at their new places, which fill from the origin.
    Copying(u8),
    /// All keys that move are read at their new places; what lacks there is asked of the old place before the origin.
    BothRead,
    /// The old places are asked no more. It is watched, and may still go back.
    Switched,
    /// Given up: keys are at their old places. It rests before it may be planned again.
    Withdrawn,
}

const HIGHEST: u64 = 1 << 48;

/// Copying goes on in so many parts.
pub const PARTS: u8 = 16;
/// A shard is split at most into two to this power.
pub const MOST_BITS: u8 = 3;

impl Step {
    /// Whether its caches are taken for it.
    pub fn is_active(self) -> bool {
        !matches!(self, Step::Foreseen | Step::Withdrawn)
    }

    /// Whether any key is read elsewhere than before it.
    pub fn moves(self) -> bool {
        matches!(self, Step::Copying(_) | Step::BothRead | Step::Switched)
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardForm {
    /// More bits of the hash by which its keys are told apart, of splits that have settled.
    pub bits: u8,
    /// The split under way, which adds one.
    pub step: Option<Step>,
}

impl ShardForm {
    /// By how many bits all keys are told apart, and whether some are by one more.
    fn places(self) -> (u8, bool) {
        match self.step {
            Some(Step::BothRead | Step::Switched) => (self.bits + 1, false),
            step => (self.bits, step.is_some_and(Step::moves)),
        }
    }

    /// Whether keys begin to be read elsewhere, all are from here on, or go back to where they were.
    pub fn makes_new_table(self, from: ShardForm) -> bool {
        self.places() != from.places()
    }
}

impl fmt::Display for ShardForm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.step {
            None => f.write_str("settled"),
            Some(Step::Foreseen) => f.write_str("foreseen"),
            Some(Step::Planned) => f.write_str("planned"),
            Some(Step::Copying(n)) => write!(f, "copying, part {n} of {PARTS}"),
            Some(Step::BothRead) => f.write_str("both places read"),
            Some(Step::Switched) => f.write_str("switched"),
            Some(Step::Withdrawn) => f.write_str("withdrawn"),
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Form {
    pub version: FormVersion,
    /// Shards that are split or are about to be; others have no entry.
    pub shards: BTreeMap<Shard, ShardForm>,
}

impl Form {
    /// Whether a form is one that the schedule can have made: what comes in letters may be anything.
    pub fn is_sound(&self) -> bool {
        // One past all reason would leave none to follow it.
        let version = self.version.0 < HIGHEST;
        version
            && self.shards.values().all(|s| {
                let copied = !matches!(s.step, Some(Step::Copying(n)) if n == 0 || n > PARTS);
                copied && s.bits.saturating_add(u8::from(s.step.is_some())) <= MOST_BITS
            })
    }

    pub fn of(&self, shard: Shard) -> ShardForm {
        self.shards.get(&shard).copied().unwrap_or_default()
    }

    /// The form that follows with one shard changed.
    pub fn with(&self, shard: Shard, to: ShardForm) -> Form {
        let mut shards = self.shards.clone();
        shards.insert(shard, to);
        shards.retain(|_, s| *s != ShardForm::default());
        Form { version: FormVersion(self.version.0 + 1), shards }
    }

    /// As the module takes it.
    pub fn for_module(&self) -> calls::ShardMap {
        let moving = |step| match step {
            Some(Step::Copying(n)) => calls::MigrationPhase::Copying { sixteenths: n },
            Some(Step::BothRead) => calls::MigrationPhase::DualRead,
            Some(Step::Switched) => calls::MigrationPhase::Switched,
            Some(Step::Foreseen | Step::Planned | Step::Withdrawn) | None => calls::MigrationPhase::Stable,
        };
        let shards = self
            .shards
            .iter()
            .map(|(shard, s)| (shard.0, calls::ShardSplit { bits: s.bits, moving: moving(s.step) }));
        calls::ShardMap { version: self.version.0, shards: shards.collect() }
    }
}
