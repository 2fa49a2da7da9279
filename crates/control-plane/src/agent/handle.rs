//! The exchange between the event loop and the agent's thread. Neither side ever waits for the other or wakes
//! the other:
//!
//! - Observations go to the agent through a bounded ring that is allocated once. An observation that does not
//!   fit is dropped and counted, except for an endpoint list, which is kept and queued again at the end of
//!   each iteration.
//! - Updates for the balancer go to the event loop through a slot that holds the latest update. The event
//!   loop checks a flag first, and then takes the slot's lock only if the lock is free.
//!
//! The agent polls the ring at its own intervals; the event loop checks the slot once an iteration.
//!
//! # Invariant: an update is applied before messages that rely on it are sent
//!
//! A message to a planner may give up a lease, so the event loop must have stopped using that lease before.
//! The agent sends nothing while an iteration is running that may have begun without the latest update. To
//! detect such an iteration, both sides share a counter that is incremented at the beginning and at the end
//! of each iteration, so that the counter is odd while an iteration is running.
//!
//! The event loop increments the counter and then reads the flag; the agent sets the flag and then reads the
//! counter. With `SeqCst` all four operations have a single total order. An iteration whose increment the
//! agent does not see therefore sees the agent's flag and begins with the agent's update. With acquire and
//! release alone, both sides could read the old value.

use std::cell::Cell;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError, TryLockError};
use std::time::Duration;

use granitelb_balancer::ControlPlaneUpdate;
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::observation::ObservedEndpoint;
use rtrb::{Consumer, Producer, PushError, RingBuffer};

use super::observations::{RawObservation, TimedObservation};

/// The capacity of the ring, in observations: those of a third of a second at a node's highest rate, about
/// 2.5 MB.
const MAX_QUEUED_OBSERVATIONS: usize = 16_384;
/// The age from which an update's endpoint health is ignored: a process that was suspended may take an old
/// update. The leases of an update are used at any age, since they carry their own expiry and the lease
/// before may allow more.
const UPDATE_MAX_AGE: Span = Span::from_millis(1000);
/// How long the event loop waits on shutdown for the agent to send its last messages.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(60);

/// The state that both sides share.
#[derive(Default)]
struct Shared {
    /// Whether `update` holds an update that the event loop has not taken.
    has_update: AtomicBool,
    update: Mutex<Option<TimedUpdate>>,
    /// The number of observations that were dropped because the ring was full, since the count was last
    /// taken.
    dropped: AtomicU64,
    /// The number of beginnings and ends of iterations; see the module's invariant.
    iteration_counter: AtomicU64,
}

/// An update with the time at which it was published.
struct TimedUpdate {
    at: Time,
    update: ControlPlaneUpdate,
}

/// An endpoint list with the time at which it was recorded.
struct TimedEndpoints {
    at: Time,
    endpoints: Vec<ObservedEndpoint>,
}

/// The event loop's end of the exchange with a running agent.
///
/// Each iteration of the loop calls [`begin_iteration`](AgentHandle::begin_iteration) first and
/// [`end_iteration`](AgentHandle::end_iteration) last. No call blocks, except for
/// [`close`](AgentHandle::close).
pub struct AgentHandle {
    observations: Producer<TimedObservation>,
    /// The latest endpoint list, if the ring had no space for it.
    unqueued_endpoints: Option<TimedEndpoints>,
    shared: Arc<Shared>,
    /// Disconnects when the agent's thread has ended.
    agent_ended: Receiver<()>,
}

/// The agent's end of the exchange.
pub(super) struct AgentChannel {
    observations: Consumer<TimedObservation>,
    shared: Arc<Shared>,
    /// The iteration counter after the latest update was published; `None` once that update is known to be
    /// applied.
    unconfirmed_since: Cell<Option<u64>>,
    /// A sender that is dropped with this channel, which disconnects `agent_ended`.
    _ended: SyncSender<()>,
}

/// The error that there are no more observations: the event loop has dropped its handle, and all were
/// received.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Disconnected;

/// Creates the two ends of an exchange.
pub(super) fn channel() -> (AgentHandle, AgentChannel) {
    let (producer, consumer) = RingBuffer::new(MAX_QUEUED_OBSERVATIONS);
    let shared = Arc::new(Shared::default());
    let (ended, agent_ended) = sync_channel(1);
    let handle =
        AgentHandle { observations: producer, unqueued_endpoints: None, shared: shared.clone(), agent_ended };
    let channel =
        AgentChannel { observations: consumer, shared, unconfirmed_since: Cell::new(None), _ended: ended };
    (handle, channel)
}

impl AgentHandle {
    /// Queues an observation for the agent. If the queue is full, the observation is dropped and counted; an
    /// endpoint list is kept instead, in place of an older one.
    pub fn record(&mut self, now: Time, observation: RawObservation) {
        match self.observations.push(TimedObservation { at: now, observation }) {
            Ok(()) => {}
            Err(PushError::Full(TimedObservation {
                at,
                observation: RawObservation::EndpointsChanged(endpoints),
            })) => {
                self.unqueued_endpoints = Some(TimedEndpoints { at, endpoints });
            }
            Err(PushError::Full(_)) => {
                self.shared.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Begins an iteration of the event loop. Returns the latest update if there is a new one; the loop must
    /// apply it before it sends any attempt.
    pub fn begin_iteration(&mut self, now: Time) -> Option<ControlPlaneUpdate> {
        self.shared.iteration_counter.fetch_add(1, Ordering::SeqCst);
        self.take_update(now)
    }

    /// Ends an iteration of the event loop.
    pub fn end_iteration(&mut self) {
        if let Some(TimedEndpoints { at, endpoints }) = self.unqueued_endpoints.take() {
            self.record(at, RawObservation::EndpointsChanged(endpoints));
        }
        self.shared.iteration_counter.fetch_add(1, Ordering::SeqCst);
    }

    fn take_update(&mut self, now: Time) -> Option<ControlPlaneUpdate> {
        if !self.shared.has_update.load(Ordering::SeqCst) {
            return None;
        }
        let mut slot = match self.shared.update.try_lock() {
            Ok(slot) => slot,
            Err(TryLockError::Poisoned(poisoned)) => poisoned.into_inner(),
            // The agent is publishing: the next iteration takes that update.
            Err(TryLockError::WouldBlock) => return None,
        };
        self.shared.has_update.store(false, Ordering::SeqCst);
        let TimedUpdate { at, update } = slot.take()?;
        if now - at >= UPDATE_MAX_AGE {
            return Some(ControlPlaneUpdate { leases: update.leases, ..ControlPlaneUpdate::default() });
        }
        Some(update)
    }

    /// Closes the exchange after the last attempt was sent. The agent returns its leases to the planners and
    /// ends; the call waits up to 60 ms for the end.
    pub fn close(self) {
        drop(self.observations);
        // The receiver returns when the agent's thread ends and disconnects it. A thread that takes longer is
        // abandoned.
        let _ = self.agent_ended.recv_timeout(SHUTDOWN_TIMEOUT);
    }
}

impl AgentChannel {
    /// Receives the next observation; `None` if there is none now.
    ///
    /// # Errors
    /// Returns [`Disconnected`] once the event loop has closed its end and its last observation was received.
    pub fn try_recv(&mut self) -> Result<Option<TimedObservation>, Disconnected> {
        // The end of the event loop is checked before the read, so that observations queued before it are
        // received.
        let is_closed = self.observations.is_abandoned();
        match self.observations.pop() {
            Ok(observation) => Ok(Some(observation)),
            Err(_) if is_closed => Err(Disconnected),
            Err(_) => Ok(None),
        }
    }

    /// Publishes an update, which replaces the previous update.
    pub fn publish(&self, now: Time, update: ControlPlaneUpdate) {
        let mut slot = self.shared.update.lock().unwrap_or_else(PoisonError::into_inner);
        *slot = Some(TimedUpdate { at: now, update });
        self.shared.has_update.store(true, Ordering::SeqCst);
        drop(slot);
        self.unconfirmed_since.set(Some(self.shared.iteration_counter.load(Ordering::SeqCst)));
    }

    /// Whether every attempt from now on is sent under the latest update; see the module's invariant.
    pub fn is_update_applied(&self) -> bool {
        let Some(published_at) = self.unconfirmed_since.get() else { return true };
        let was_between_iterations = published_at.is_multiple_of(2);
        let is_applied =
            was_between_iterations || self.shared.iteration_counter.load(Ordering::SeqCst) != published_at;
        if is_applied {
            self.unconfirmed_since.set(None);
        }
        is_applied
    }

    /// The number of observations that were dropped since the last call.
    pub fn take_dropped(&self) -> u64 {
        self.shared.dropped.swap(0, Ordering::Relaxed)
    }
}

#[cfg(test)]
mod tests;
