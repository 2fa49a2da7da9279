//! The event log while it is written.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use super::{Event, EventLog, NodeId, ServerAttempt, ServerAttemptEnd, ServerId, TimedEvent, Timestamp};

/// A shared handle to the event log, with the clock that all of its writers go by.
#[derive(Clone)]
pub struct EventLogWriter {
    start: Instant,
    /// Unix time at the start, in milliseconds.
    pub unix_start_ms: u64,
    event_log: Arc<Mutex<EventLog>>,
}

impl EventLogWriter {
    /// An empty log. The first request is due at `start`, which may lie ahead.
    pub fn new(start: Instant) -> EventLogWriter {
        let unix_now = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
        let ahead = start.saturating_duration_since(Instant::now());
        EventLogWriter {
            start,
            unix_start_ms: (unix_now + ahead).as_millis() as u64,
            event_log: Arc::default(),
        }
    }

    /// The current time.
    pub fn now(&self) -> Timestamp {
        let now = Instant::now();
        match now.checked_duration_since(self.start) {
            Some(elapsed) => Timestamp(elapsed.as_micros() as i64),
            None => Timestamp(-((self.start - now).as_micros() as i64)),
        }
    }

    /// The instant of a time of the run.
    pub fn instant(&self, at: Timestamp) -> Instant {
        let distance = Duration::from_micros(at.0.unsigned_abs());
        if at.0 >= 0 { self.start + distance } else { self.start - distance }
    }

    /// Gives exclusive access to the log. Records are added whole, so that one left by a panicking writer is sound.
    pub fn write<T>(&self, change: impl FnOnce(&mut EventLog) -> T) -> T {
        let mut event_log = self.event_log.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut event_log)
    }

    /// Records an event at the current time.
    pub fn event(&self, event: Event) {
        let at = self.now();
        self.write(|log| log.events.push(TimedEvent { at, event }));
    }

    /// Records that an attempt arrived at a server. [`EventLogWriter::attempt_ended`] takes the returned index.
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

    /// Records how an attempt at a server ended.
    pub fn attempt_ended(&self, index: usize, end: ServerAttemptEnd) {
        let now = self.now();
        self.write(|log| {
            if let Some(attempt) = log.server_attempts.get_mut(index) {
                attempt.ended = Some(now);
                attempt.end = end;
            }
        });
    }

    /// Takes the log's records; what is written later is lost.
    pub fn close(&self) -> EventLog {
        self.write(std::mem::take)
    }
}
