//! Whether a faculty still comes back from its calls. One that does not is named, its mailbox is shut so that letters for
//! others go on being read, and if it stays so the process ends in order, for its supervisor to start it anew.
//!
//! Each desk has a thread of its own, so one that hangs costs no other and holds up no beat. It is seen by its polls: a
//! desk that waits has come back from the last one. Time is counted by looks, so that a process that stood still as a
//! whole, or a machine that is slow for all, blames nobody for that.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use granitelb_balancer::time::{Span, Time};

/// A look adds no more than this, whatever the clock says.
const MOST_A_LOOK: Span = Span::from_millis(500);

/// How long a call may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Patience {
    /// Until it is named and its mailbox shut.
    pub named: Span,
    /// Until the process ends.
    pub ends: Span,
}

impl Default for Patience {
    fn default() -> Patience {
        Patience { named: Span::from_millis(5000), ends: Span::from_millis(30_000) }
    }
}

/// Odd while a poll is on.
#[derive(Clone, Default)]
pub struct Pulse(Arc<AtomicU64>);

/// Counts a poll's end also where it panics.
struct Beat<'a>(&'a AtomicU64);

impl Drop for Beat<'_> {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// A task whose polls are counted.
pub struct Watched<T> {
    pulse: Pulse,
    task: Pin<Box<dyn Future<Output = T> + Send>>,
}

impl Pulse {
    pub fn of<T>(&self, task: impl Future<Output = T> + Send + 'static) -> Watched<T> {
        Watched { pulse: self.clone(), task: Box::pin(task) }
    }
}

impl<T> Future for Watched<T> {
    type Output = T;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<T> {
        let this = &mut *self;
        this.pulse.0.fetch_add(1, Ordering::Relaxed);
        let _beat = Beat(&this.pulse.0);
        this.task.as_mut().poll(cx)
    }
}

/// What a look finds out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    Hangs,
    GoesOn,
    /// It has hung for too long.
    Lost,
}

/// Who watches one desk.
pub struct Watch {
    pulse: Pulse,
    patience: Patience,
    last: u64,
    looked: Time,
    hung: Span,
    named: bool,
}

impl Watch {
    pub fn new(pulse: Pulse, patience: Patience, now: Time) -> Watch {
        Watch { pulse, patience, last: 0, looked: now, hung: Span::ZERO, named: false }
    }

    pub fn look(&mut self, now: Time) -> Option<Finding> {
        let count = self.pulse.0.load(Ordering::Relaxed);
        let same = count == self.last && !count.is_multiple_of(2);
        let since = (now - self.looked).min(MOST_A_LOOK);
        (self.last, self.looked) = (count, now);
        if !same {
            self.hung = Span::ZERO;
            return std::mem::take(&mut self.named).then_some(Finding::GoesOn);
        }
        self.hung = self.hung + since;
        if self.hung >= self.patience.ends {
            return Some(Finding::Lost);
        }
        let names = self.hung >= self.patience.named && !self.named;
        self.named |= names;
        names.then_some(Finding::Hangs)
    }
}

#[cfg(test)]
mod tests;
