//! The shared writer of an event log during a run.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use super::{Event, EventLog, NodeId, ServerAttempt, ServerAttemptEnd, ServerId, TimedEvent, Timestamp};

/// A shared handle to the event log of a run, with the clock of all records.
#[derive(Clone)]
pub struct EventLogWriter {
    start: Instant,
    /// The Unix time at the start of the run, in milliseconds.
    pub unix_start_ms: u64,
    event_log: Arc<Mutex<EventLog>>,
}

impl EventLogWriter {
    /// A writer of an empty log. The first request is due at `start`, which may be in the future.
    pub fn new(start: Instant) -> EventLogWriter {
        let unix_now = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
        let ahead = start.saturating_duration_since(Instant::now());
        EventLogWriter {
            start,
            unix_start_ms: (unix_now + ahead).as_millis() as u64,
            event_log: Arc::default(),
        }
    }

    /// The current time of the run.
    pub fn now(&self) -> Timestamp {
        let now = Instant::now();
        match now.checked_duration_since(self.start) {
            Some(elapsed) => Timestamp(elapsed.as_micros() as i64),
            None => Timestamp(-((self.start - now).as_micros() as i64)),
        }
    }

    /// The instant that a time of the run corresponds to.
    pub fn instant(&self, at: Timestamp) -> Instant {
        let distance = Duration::from_micros(at.0.unsigned_abs());
        if at.0 >= 0 { self.start + distance } else { self.start - distance }
    }

    /// Gives `change` exclusive access to the log. A poisoned lock is ignored: writers add complete records
    /// only, so that the log is valid after a writer panicked.
    pub fn write<T>(&self, change: impl FnOnce(&mut EventLog) -> T) -> T {
        let mut event_log = self.event_log.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut event_log)
    }

    /// Records an event at the current time.
    pub fn event(&self, event: Event) {
        let at = self.now();
        self.write(|log| log.events.push(TimedEvent { at, event }));
    }

    /// Records the arrival of an attempt at a server. Returns the index for
    /// [`EventLogWriter::attempt_ended`].
    pub fn attempt_arrived(&self, server: ServerId, node: NodeId, id: &str, work_s: f64) -> usize {
        let arrived = self.now();
        let attempt = ServerAttempt {
            server,
            node,
            id: id.into(),
            arrived,
            ended: None,
            end: ServerAttemptEnd::Dropped,
            work_s,
        };
        self.write(|log| {
            log.server_attempts.push(attempt);
            log.server_attempts.len() - 1
        })
    }

    /// Records the end of an attempt at a server.
    pub fn attempt_ended(&self, index: usize, end: ServerAttemptEnd) {
        let now = self.now();
        self.write(|log| {
            if let Some(attempt) = log.server_attempts.get_mut(index) {
                attempt.ended = Some(now);
                attempt.end = end;
            }
        });
    }

    /// Returns the log and leaves an empty one; records that are written later are lost.
    pub fn close(&self) -> EventLog {
        self.write(std::mem::take)
    }
}
