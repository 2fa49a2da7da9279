//! What one forwarder sees of a shard on one day, and which keys it has recently seen stored.

use granitelb_balancer::AttemptOutcome;
use granitelb_balancer::time::{Span, Time};

use super::accounting_day::AccountingDay;
use super::message::{GrowthMessage, MAX_REGISTERS_PER_MESSAGE};
use super::shard_day::{ShardCounters, SketchKind};
use super::shard_map::ShardId;
use super::sketch::{DistinctCounter, REGISTER_COUNT};
use crate::observation::FinishedAttempt;

/// The number of recently stored keys that are remembered.
const STORED_KEY_SLOTS: usize = 4096;

/// The slot of a key is chosen by the bits of its hash above this one: the lower ones choose its shard.
const SLOT_HASH_SHIFT: u32 = 40;

/// What a forwarder counted of one shard on one day.
#[derive(Clone, Debug, Default)]
pub(super) struct ShardActivity {
    read: DistinctCounter,
    written: DistinctCounter,
    counters: ShardCounters,
}

impl ShardActivity {
    /// Counts an attempt. `was_stored` tells whether the key was recently seen stored.
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

    /// The messages that report all of it.
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

/// The registers that are not zero, with their values.
fn set_registers(sketch: &DistinctCounter) -> Vec<(u16, u8)> {
    let registers = (0..REGISTER_COUNT as u16).map(|register| (register, sketch.register(register)));
    registers.filter(|(_, value)| *value > 0).collect()
}

/// A key that was seen stored.
#[derive(Clone, Copy, Debug)]
struct StoredKey {
    key_hash: u64,
    seen_at: Time,
}

const NO_KEY: StoredKey = StoredKey { key_hash: 0, seen_at: Time(0) };

/// Keys that were recently seen stored in a cache. A newer key replaces the one that shares its slot.
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
    /// Whether the key was seen stored within `window`.
    pub(super) fn contains(&self, key_hash: u64, now: Time, window: Span) -> bool {
        let stored = self.slots[slot_of(key_hash)];
        stored.key_hash == key_hash && now - stored.seen_at <= window
    }

    /// Remembers a key that was read, and forgets one that was written: no cache has a copy after a write, so the next
    /// miss tells nothing.
    pub(super) fn on_attempt_finished(&mut self, now: Time, attempt: &FinishedAttempt, key_hash: u64) {
        if attempt.outcome != AttemptOutcome::Fulfilled {
            return;
        }
        let slot = &mut self.slots[slot_of(key_hash)];
        if !attempt.write {
            *slot = StoredKey { key_hash, seen_at: now };
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
