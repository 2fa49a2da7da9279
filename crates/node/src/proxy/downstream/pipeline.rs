//! The requests that a client has sent ahead of their turn (HTTP pipelining).
//!
//! A connection carries one request at a time, but its input is decoded as soon as it arrives, also while a
//! request is in progress. The end of a connection stands behind all that its client sent before, so the
//! client's leaving is noticed only by reading everything.
//!
//! Invariants: entries are taken in the order in which the client sent them; what is held, including the
//! message that is being read, takes at most the memory that the caller grants; each complete message is either
//! held or counted as in excess, until the first message that ends the input.

use std::collections::VecDeque;

use granitelb_balancer::time::Time;

use crate::http::{Message, MessageDecoder, MessageHead, MessageKind, ParseError, RequestDefect};
use crate::proxy::client_request_id::ClientRequestId;
use crate::proxy::request_ids::ReservedId;
use crate::proxy::request_table::RequestTable;
use crate::transport::RingBuffer;

/// The most memory, in bytes, for what a client has sent ahead. A message of the maximum length fits.
pub const READ_AHEAD_BYTES: usize = 80 * 1024;

/// The most memory, in bytes, for the head of a message that is not complete: enough for the longest head.
pub const INCOMPLETE_HEAD_BYTES: usize = 40 * 1024;
/// The number of entries for which memory is retained.
const RETAINED_ENTRIES: usize = 1;

/// The number of entries for which memory is left beside requests: one for those in excess, one for the end.
const RESERVED_ENTRIES: usize = 2;

/// The memory that the input of one client may take.
#[derive(Clone, Copy, Debug)]
pub struct ReadAheadLimits {
    /// For complete requests and for the body of the incomplete one, in bytes. What exceeds it is counted and not
    /// held.
    pub held_bytes: usize,
    /// For the head of the incomplete request, in bytes. An input that exceeds it is dropped.
    pub incomplete_bytes: usize,
}

impl Default for ReadAheadLimits {
    fn default() -> ReadAheadLimits {
        ReadAheadLimits { held_bytes: READ_AHEAD_BYTES, incomplete_bytes: INCOMPLETE_HEAD_BYTES }
    }
}

/// What has its turn next on a connection.
#[derive(Debug)]
pub enum PipelineEntry {
    /// A complete request.
    Request {
        /// The request's message.
        message: Message,
        /// When the last byte of the request arrived.
        arrived_at: Time,
        /// The request's identifier, if it is reserved until the request has its turn.
        reserved_id: Option<ReservedId>,
    },
    /// Complete requests that exceeded the memory for requests sent ahead. Their content was discarded, and
    /// each of them is owed a rejection.
    Excess {
        /// The number of requests.
        count: u64,
    },
    /// A complete message that is no valid request. What stands behind it can be read.
    Defective {
        /// What is wrong with it.
        defect: RequestDefect,
        /// Whether the client keeps the connection open after the message.
        keep_alive: bool,
        /// The client's identifier for the message, if it has a valid one.
        request_id: Option<ClientRequestId>,
    },
    /// Input that was dropped for lack of memory before its message was complete. Nothing behind it can be read.
    OutOfMemory,
    /// Input that is not a valid request. Nothing behind it can be read.
    Invalid(ParseError),
}

impl PipelineEntry {
    /// The memory that the entry has allocated, in bytes. Requests in excess are counted, not held.
    fn allocated_bytes(&self) -> usize {
        match self {
            PipelineEntry::Request { message, .. } => message.allocated_bytes(),
            PipelineEntry::Defective { request_id, .. } => {
                request_id.as_ref().map_or(0, ClientRequestId::allocated_bytes)
            }
            PipelineEntry::Excess { .. } | PipelineEntry::OutOfMemory | PipelineEntry::Invalid(_) => 0,
        }
    }
}

/// The requests of one connection that have not had their turn, in order.
pub struct Pipeline {
    decoder: MessageDecoder,
    entries: VecDeque<PipelineEntry>,
    /// The memory that the messages in `entries` have allocated, in bytes.
    held_bytes: usize,
    /// Whether the body of the incomplete message is discarded, for lack of memory.
    is_discarding: bool,
    /// Whether the last request was received: one that asks to close the connection, or an invalid one. All
    /// further input is discarded.
    has_ended: bool,
    /// The number of entries, from the front, whose identifiers were reserved as far as they could be.
    reserved_entries: usize,
}

impl Default for Pipeline {
    fn default() -> Pipeline {
        Pipeline {
            decoder: MessageDecoder::new(MessageKind::Request),
            entries: VecDeque::new(),
            held_bytes: 0,
            is_discarding: false,
            has_ended: false,
            reserved_entries: 0,
        }
    }
}

impl Pipeline {
    /// Decodes input whose last byte has arrived at `now`, and holds what the limits allow. All of it is consumed,
    /// except for an incomplete line.
    pub fn decode(&mut self, input: &mut RingBuffer, now: Time, limits: ReadAheadLimits) {
        while !self.has_ended {
            match self.decoder.next(input) {
                Ok(Some(message)) => self.push(message, now, limits.held_bytes),
                Ok(None) => break,
                Err(error) => self.end_with(PipelineEntry::Invalid(error)),
            }
        }
        if self.memory_bytes() > limits.held_bytes && self.decoder.head().is_some() {
            self.decoder.discard_body();
            self.is_discarding = true;
        }
        let incomplete_bytes = self.decoder.head_bytes() + input.capacity();
        if !self.has_ended && incomplete_bytes > limits.incomplete_bytes {
            self.decoder = MessageDecoder::new(MessageKind::Request);
            self.end_with(PipelineEntry::OutOfMemory);
        }
        if self.has_ended {
            input.clear();
        }
    }

    fn end_with(&mut self, entry: PipelineEntry) {
        self.push_reserved(entry);
        self.has_ended = true;
    }

    /// Takes the next entry. Requests in excess are taken at most `max_excess` at a time.
    pub fn pop(&mut self, max_excess: u64) -> Option<PipelineEntry> {
        if let Some(PipelineEntry::Excess { count }) = self.entries.front_mut()
            && *count > max_excess
        {
            *count -= max_excess;
            return Some(PipelineEntry::Excess { count: max_excess });
        }
        let entry = self.entries.pop_front()?;
        self.reserved_entries = self.reserved_entries.saturating_sub(1);
        self.held_bytes -= entry.allocated_bytes();
        if self.entries.is_empty() && self.entries.capacity() > RETAINED_ENTRIES {
            self.entries = VecDeque::new();
        }
        Some(entry)
    }

    /// Reserves the identifiers of the requests that were added since the last call.
    pub(super) fn reserve_ids(&mut self, requests: &mut RequestTable) {
        for entry in self.entries.range_mut(self.reserved_entries..) {
            if let PipelineEntry::Request { message, reserved_id, .. } = entry {
                *reserved_id = ClientRequestId::of(&message.head).and_then(|id| requests.reserve_id(&id));
            }
        }
        self.reserved_entries = self.entries.len();
    }

    /// Drops everything that waits for its turn, with its reservations.
    pub(super) fn clear(&mut self, requests: &mut RequestTable) {
        for entry in &self.entries {
            if let PipelineEntry::Request { reserved_id: Some(reserved), .. } = entry {
                requests.end_reservation(reserved);
            }
        }
        *self = Pipeline::default();
    }

    /// Whether no entry waits for its turn. A message may still be incomplete.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether a request waits for its turn, or for its rejection.
    pub fn has_request(&self) -> bool {
        self.entries
            .front()
            .is_some_and(|entry| !matches!(entry, PipelineEntry::Invalid(_) | PipelineEntry::OutOfMemory))
    }

    /// Whether no entry waits for its turn and no part of a message was consumed.
    pub fn is_idle(&self) -> bool {
        self.is_empty() && !self.is_amid_message()
    }

    /// Whether a part of a message was consumed and the rest was not.
    pub fn is_amid_message(&self) -> bool {
        !self.decoder.is_between_messages()
    }

    /// Whether the last entry was taken and no further request is read.
    pub fn is_finished(&self) -> bool {
        self.is_empty() && self.has_ended
    }

    /// When the next entry arrived; `None` if there is none, or if it is no request.
    pub fn next_arrived_at(&self) -> Option<Time> {
        match self.entries.front()? {
            PipelineEntry::Request { arrived_at, .. } => Some(*arrived_at),
            _ => None,
        }
    }

    /// The head of an incomplete message, if the head is complete and nothing waits before the message.
    pub fn incomplete_head(&self) -> Option<&MessageHead> {
        if self.is_empty() { self.decoder.head() } else { None }
    }

    /// The memory that the requests and the incomplete message take, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.entries.capacity() * size_of::<PipelineEntry>()
            + self.held_bytes
            + self.decoder.allocated_bytes()
    }

    fn push(&mut self, message: Message, arrived_at: Time, max_bytes: usize) {
        self.has_ended = !message.head.keep_alive;
        let is_discarded = std::mem::take(&mut self.is_discarding);
        let keep_alive = message.head.keep_alive;
        let entry = match message.head.defect {
            Some(defect) => {
                let request_id = ClientRequestId::of(&message.head);
                PipelineEntry::Defective { defect, keep_alive, request_id }
            }
            None => PipelineEntry::Request { message, arrived_at, reserved_id: None },
        };
        let bytes = entry.allocated_bytes();
        let added_entries = self.next_growth() + RESERVED_ENTRIES;
        let added_bytes = bytes + added_entries * size_of::<PipelineEntry>();
        if is_discarded || self.memory_bytes() + added_bytes > max_bytes {
            return self.push_excess();
        }
        self.entries.reserve_exact(self.next_growth());
        self.held_bytes += bytes;
        self.entries.push_back(entry);
    }

    /// By how many entries the allocation grows for the next one.
    fn next_growth(&self) -> usize {
        match self.entries.capacity() {
            capacity if self.entries.len() < capacity => 0,
            capacity => capacity.max(RETAINED_ENTRIES),
        }
    }

    fn push_excess(&mut self) {
        match self.entries.back_mut() {
            Some(PipelineEntry::Excess { count }) => *count += 1,
            _ => self.push_reserved(PipelineEntry::Excess { count: 1 }),
        }
    }

    /// Pushes an entry for which memory was left.
    fn push_reserved(&mut self, entry: PipelineEntry) {
        self.entries.reserve_exact(1);
        self.entries.push_back(entry);
    }
}
