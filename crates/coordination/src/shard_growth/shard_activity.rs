//! A forwarder's counts of one shard on one day, and the keys that the forwarder recently read successfully.

use granitelb_balancer::AttemptOutcome;
use granitelb_balancer::time::{Span, Time};

use super::accounting_day::AccountingDay;
use super::message::{GrowthMessage, MAX_REGISTERS_PER_MESSAGE};
use super::shard_day::{ShardCounters, SketchKind};
use super::shard_map::ShardId;
use super::sketch::{DistinctCounter, REGISTER_COUNT};
use crate::observation::FinishedAttempt;

/// The number of slots for recently stored keys, each of which holds one key.
const STORED_KEY_SLOTS: usize = 4096;

/// The lowest bit of a key's hash that selects the key's slot. Lower bits select the shard.
const SLOT_HASH_SHIFT: u32 = 40;

/// A forwarder's counts of one shard on one day.
#[derive(Clone, Debug, Default)]
pub(super) struct ShardActivity {
    read: DistinctCounter,
    written: DistinctCounter,
    counters: ShardCounters,
}

impl ShardActivity {
    /// Counts an attempt. `was_stored` is whether the key was in [`RecentlyStoredKeys`] before the attempt.
    pub(super) fn on_attempt_finished(&mut self, attempt: &FinishedAttempt, key_hash: u64, was_stored: bool) {
        match attempt.outcome {
            AttemptOutcome::Fulfilled => self.on_fulfilled(attempt, key_hash),
            AttemptOutcome::CacheMiss if !attempt.is_origin && !attempt.write && was_stored => {
                self.counters.evictions += 1;
            }
            _ => {}
        }
    }

    fn on_fulfilled(&mut self, attempt: &FinishedAttempt, key_hash: u64) {
        self.counters.bytes += u64::from(attempt.bytes);
        self.counters.sized_responses += 1;
        if attempt.write {
            self.counters.writes += 1;
            self.written.add(key_hash);
        } else {
            self.counters.reads += 1;
            self.read.add(key_hash);
        }
    }

    /// The messages that report all counts of the shard's day.
    pub(super) fn messages(&self, day: AccountingDay, shard: ShardId) -> Vec<GrowthMessage> {
        let mut messages = vec![GrowthMessage::Counters { day, counters: vec![(shard, self.counters)] }];
        for (kind, sketch) in [(SketchKind::Read, &self.read), (SketchKind::Written, &self.written)] {
            for registers in set_registers(sketch).chunks(MAX_REGISTERS_PER_MESSAGE) {
                let registers = registers.to_vec();
                messages.push(GrowthMessage::Sketch { day, shard, kind, registers });
            }
        }
        messages
    }
}

/// The indices and values of the registers that are not zero.
fn set_registers(sketch: &DistinctCounter) -> Vec<(u16, u8)> {
    let registers = (0..REGISTER_COUNT as u16).map(|register| (register, sketch.register(register)));
    registers.filter(|(_, value)| *value > 0).collect()
}

/// A key that was read successfully, and is therefore stored in a cache.
#[derive(Clone, Copy, Debug)]
struct StoredKey {
    key_hash: u64,
    read_at: Time,
}

const NO_KEY: StoredKey = StoredKey { key_hash: 0, read_at: Time(0) };

/// Keys that were recently read successfully, so that a cache stores them. A newer key replaces an older key
/// in the same slot.
#[derive(Debug)]
pub(super) struct RecentlyStoredKeys {
    slots: Vec<StoredKey>,
}

impl Default for RecentlyStoredKeys {
    fn default() -> RecentlyStoredKeys {
        RecentlyStoredKeys { slots: vec![NO_KEY; STORED_KEY_SLOTS] }
    }
}

impl RecentlyStoredKeys {
    /// Whether the key was read successfully within `window` and not written since.
    pub(super) fn contains(&self, key_hash: u64, now: Time, window: Span) -> bool {
        let stored = self.slots[slot_of(key_hash)];
        stored.key_hash == key_hash && now - stored.read_at <= window
    }

    /// Adds a key that was read, and removes a key that was written: a write removes the key from the caches,
    /// so the next cache miss is no eviction.
    pub(super) fn on_attempt_finished(&mut self, now: Time, attempt: &FinishedAttempt, key_hash: u64) {
        if attempt.outcome != AttemptOutcome::Fulfilled {
            return;
        }
        let slot = &mut self.slots[slot_of(key_hash)];
        if !attempt.write {
            *slot = StoredKey { key_hash, read_at: now };
        } else if slot.key_hash == key_hash {
            *slot = NO_KEY;
        }
    }

    /// The number of entries held.
    pub(super) fn entries(&self) -> usize {
        self.slots.len()
    }
}

fn slot_of(key_hash: u64) -> usize {
    (key_hash >> SLOT_HASH_SHIFT) as usize % STORED_KEY_SLOTS
}
