//! Detects components that do not return from a call.
//!
//! An unresponsive component is named in the log and its mailbox is closed, so that messages for other
//! components are still read. If the component stays unresponsive, the process shuts down, and its supervisor
//! restarts it.
//!
//! Each component has its own thread, so that a hanging component delays neither other components nor
//! heartbeats. A component hangs if its task does not return from a poll; a task that waits has returned from
//! its last poll. The time in a poll is summed up over checks, and each check adds a bounded amount.
//! Therefore no component is reported because the process was suspended or the whole machine is slow.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use granitelb_balancer::time::{Span, Time};

/// The maximum time that one check adds to the duration of a call, however much time has passed since the
/// last check.
const MAX_TIME_PER_CHECK: Span = Span::from_millis(500);

/// The limits on how long a call of a component may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LivenessTimeouts {
    /// The time after which the component is named in the log and its mailbox is closed.
    pub unresponsive_after: Span,
    /// The time after which the process shuts down.
    pub fatal_after: Span,
}

impl Default for LivenessTimeouts {
    fn default() -> LivenessTimeouts {
        LivenessTimeouts {
            unresponsive_after: Span::from_millis(5000),
            fatal_after: Span::from_millis(30_000),
        }
    }
}

/// A counter of the starts and ends of a task's polls. The count is odd while a poll runs.
#[derive(Clone, Default)]
pub(super) struct LivenessCounter(Arc<AtomicU64>);

impl LivenessCounter {
    /// Wraps a task so that its polls are counted.
    pub(super) fn monitor<T>(&self, task: impl Future<Output = T> + Send + 'static) -> MonitoredTask<T> {
        MonitoredTask { counter: self.clone(), task: Box::pin(task) }
    }

    fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counts the end of a poll when dropped, also if the poll panics.
struct PollGuard<'a>(&'a LivenessCounter);

impl Drop for PollGuard<'_> {
    fn drop(&mut self) {
        self.0.increment();
    }
}

/// A task whose polls are counted.
pub(super) struct MonitoredTask<T> {
    counter: LivenessCounter,
    task: Pin<Box<dyn Future<Output = T> + Send>>,
}

impl<T> Future for MonitoredTask<T> {
    type Output = T;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<T> {
        let this = &mut *self;
        this.counter.increment();
        let _guard = PollGuard(&this.counter);
        this.task.as_mut().poll(cx)
    }
}

/// What a check of a component has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LivenessEvent {
    /// A call has exceeded [`LivenessTimeouts::unresponsive_after`]. This event is reported once for a call.
    Unresponsive,
    /// A component that was unresponsive has returned from its call.
    Recovered,
    /// A call has exceeded [`LivenessTimeouts::fatal_after`].
    TimedOut,
}

/// Checks at intervals whether one task returns from its polls.
pub(super) struct LivenessMonitor {
    counter: LivenessCounter,
    timeouts: LivenessTimeouts,
    /// The count at the last check.
    last_count: u64,
    last_check_at: Time,
    /// How long the current call has taken, over the checks that found the task in it.
    time_in_call: Span,
    is_unresponsive: bool,
}

impl LivenessMonitor {
    pub(super) fn new(counter: LivenessCounter, timeouts: LivenessTimeouts, now: Time) -> LivenessMonitor {
        LivenessMonitor {
            counter,
            timeouts,
            last_count: 0,
            last_check_at: now,
            time_in_call: Span::ZERO,
            is_unresponsive: false,
        }
    }

    /// Compares the count with the count at the last check, and returns what has changed about the component.
    pub(super) fn check(&mut self, now: Time) -> Option<LivenessEvent> {
        let count = self.counter.get();
        let is_in_same_poll = count == self.last_count && !count.is_multiple_of(2);
        let elapsed = (now - self.last_check_at).min(MAX_TIME_PER_CHECK);
        self.last_count = count;
        self.last_check_at = now;
        if is_in_same_poll { self.on_same_poll(elapsed) } else { self.on_progress() }
    }

    fn on_same_poll(&mut self, elapsed: Span) -> Option<LivenessEvent> {
        self.time_in_call = self.time_in_call + elapsed;
        if self.time_in_call >= self.timeouts.fatal_after {
            return Some(LivenessEvent::TimedOut);
        }
        if self.time_in_call >= self.timeouts.unresponsive_after && !self.is_unresponsive {
            self.is_unresponsive = true;
            return Some(LivenessEvent::Unresponsive);
        }
        None
    }

    fn on_progress(&mut self) -> Option<LivenessEvent> {
        self.time_in_call = Span::ZERO;
        if !self.is_unresponsive {
            return None;
        }
        self.is_unresponsive = false;
        Some(LivenessEvent::Recovered)
    }
}

#[cfg(test)]
mod tests;
