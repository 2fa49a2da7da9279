//! Where the loop and the courier meet. The loop writes down what it saw and takes the latest advice; neither waits for
//! the other, whatever the other does:
//!
//! - the loop's way out is a ring of so many notes, set aside once. What finds no room is dropped and counted, but for
//!   a list of servers, which is tried again at the end of each turn;
//! - the way back is a slot that holds one advice, the last. The loop looks at a flag, and takes a lock only by trying.
//!
//! Neither side wakes the other: the courier looks in by its own clock, the loop once a turn.
//!
//! What the courier writes to planners may give up a lease, so the loop has to know of it before: no letter goes out
//! while a turn is on that may have begun without the last advice. Turns are counted for that, odd while one is on. The
//! loop counts and then looks into the slot, the courier lays out and then looks at the count, all in one order
//! (`SeqCst`); so a turn that the courier does not see has its advice.

use std::cell::Cell;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError, TryLockError};
use std::time::Duration;

use granitelb_balancer::calls::ControlPlaneUpdate;
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::observation::ObservedEndpoint;
use rtrb::{Consumer, Producer, PushError, RingBuffer};

use super::notes::{Dated, RawObservation};

/// Notes on the way: a third of a second of a node at its fastest, some 2.5 MB.
const MOST_NOTES: usize = 16_384;
/// What is said of caches is passed over when it lay for longer than this: a process that was stopped finds what was
/// said before. Leases are not: they end by themselves, and the one before may be larger.
const LASTS: Span = Span::from_millis(1000);
/// The courier has so long for its last letters.
const LEAVES: Duration = Duration::from_millis(60);

#[derive(Default)]
struct Slot {
    news: AtomicBool,
    advice: Mutex<Option<(Time, ControlPlaneUpdate)>>,
    dropped: AtomicU64,
    turns: AtomicU64,
}

/// The loop's end.
pub struct AgentHandle {
    notes: Producer<Dated>,
    /// A list that found no room.
    list: Option<(Time, Vec<ObservedEndpoint>)>,
    slot: Arc<Slot>,
    left: Receiver<Left>,
}

/// The courier's end.
pub(super) struct AgentChannel {
    notes: Consumer<Dated>,
    slot: Arc<Slot>,
    /// The turn in which advice was laid out that was not known to be taken yet.
    untaken: Cell<Option<u64>>,
    /// Ends with the courier.
    _leaves: SyncSender<Left>,
}

/// The loop has ended.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Left;

pub(super) fn open() -> (AgentHandle, AgentChannel) {
    let (write, read) = RingBuffer::new(MOST_NOTES);
    let slot = Arc::new(Slot::default());
    let (leaves, left) = sync_channel(1);
    let desk = AgentHandle { notes: write, list: None, slot: slot.clone(), left };
    (desk, AgentChannel { notes: read, slot, untaken: Cell::new(None), _leaves: leaves })
}

impl AgentHandle {
    /// Writes down what is seen.
    pub fn note(&mut self, now: Time, note: RawObservation) {
        match self.notes.push((now, note)) {
            Ok(()) => {}
            Err(PushError::Full((at, RawObservation::EndpointsChanged(servers)))) => {
                self.list = Some((at, servers))
            }
            Err(PushError::Full(_)) => {
                self.slot.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Begins a turn: the latest advice, once.
    pub fn begin_turn(&mut self, now: Time) -> Option<ControlPlaneUpdate> {
        self.slot.turns.fetch_add(1, Ordering::SeqCst);
        self.take_advice(now)
    }

    pub fn end_turn(&mut self) {
        if let Some((at, servers)) = self.list.take() {
            self.note(at, RawObservation::EndpointsChanged(servers));
        }
        self.slot.turns.fetch_add(1, Ordering::SeqCst);
    }

    fn take_advice(&mut self, now: Time) -> Option<ControlPlaneUpdate> {
        if !self.slot.news.load(Ordering::SeqCst) {
            return None;
        }
        let mut slot = match self.slot.advice.try_lock() {
            Ok(slot) => slot,
            Err(TryLockError::Poisoned(slot)) => slot.into_inner(),
            // The courier is writing: in the next turn.
            Err(TryLockError::WouldBlock) => return None,
        };
        self.slot.news.store(false, Ordering::SeqCst);
        let (at, advice) = slot.take()?;
        let old = now - at >= LASTS;
        Some(if old {
            ControlPlaneUpdate { leases: advice.leases, ..ControlPlaneUpdate::default() }
        } else {
            advice
        })
    }

    /// The loop sends nothing more: the courier gives back what was leased, for which it has a moment.
    pub fn close(self) {
        drop(self.notes);
        // It ends by dropping its end; one that takes longer is left behind.
        let _ = self.left.recv_timeout(LEAVES);
    }
}

impl AgentChannel {
    /// The next note, if there is one.
    pub fn next(&mut self) -> Result<Option<Dated>, Left> {
        // Asked first: what was written before the loop left is read still.
        let left = self.notes.is_abandoned();
        match self.notes.pop() {
            Ok(note) => Ok(Some(note)),
            Err(_) if left => Err(Left),
            Err(_) => Ok(None),
        }
    }

    /// Lays advice out in place of what lay there.
    pub fn advise(&self, now: Time, advice: ControlPlaneUpdate) {
        let mut slot = self.slot.advice.lock().unwrap_or_else(PoisonError::into_inner);
        *slot = Some((now, advice));
        self.slot.news.store(true, Ordering::SeqCst);
        drop(slot);
        self.untaken.set(Some(self.slot.turns.load(Ordering::SeqCst)));
    }

    /// Whether every shot from now on is sent with the last advice known.
    pub fn is_taken(&self) -> bool {
        let Some(then) = self.untaken.get() else { return true };
        let between_turns = then.is_multiple_of(2);
        let taken = between_turns || self.slot.turns.load(Ordering::SeqCst) != then;
        if taken {
            self.untaken.set(None);
        }
        taken
    }

    /// How many notes found no room since this was last asked.
    pub fn take_dropped(&self) -> u64 {
        self.slot.dropped.swap(0, Ordering::Relaxed)
    }
}

#[cfg(test)]
mod tests;
