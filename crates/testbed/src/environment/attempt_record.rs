//! The event log's record of one attempt at a simulated server.

use super::listener::ServerConnection;
use super::wire::ServerRequest;
use crate::event_log::{EventLogWriter, ServerAttemptEnd, ServerId};

/// The event log's record of an attempt. If the value is dropped without [`AttemptRecord::finish`], the
/// attempt is recorded as dropped.
pub struct AttemptRecord<'a> {
    event_log: &'a EventLogWriter,
    number: usize,
    is_finished: bool,
}

impl<'a> AttemptRecord<'a> {
    /// Records the arrival of a request. `work` is the request's cost at a warm server, in core seconds.
    pub fn new(
        event_log: &'a EventLogWriter,
        server: ServerId,
        connection: &ServerConnection,
        request: &ServerRequest,
        work: f64,
    ) -> AttemptRecord<'a> {
        let number = event_log.attempt_arrived(server, connection.node, &request.id, work);
        AttemptRecord { event_log, number, is_finished: false }
    }

    /// Records how the attempt ended.
    pub fn finish(mut self, end: ServerAttemptEnd) {
        self.event_log.attempt_ended(self.number, end);
        self.is_finished = true;
    }
}

impl Drop for AttemptRecord<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.event_log.attempt_ended(self.number, ServerAttemptEnd::Dropped);
        }
    }
}
