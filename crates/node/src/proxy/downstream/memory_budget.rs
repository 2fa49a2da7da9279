//! The memory that all clients together may take, derived from the node's memory limit.
//!
//! A node whose clients use all of it stays under half of its limit. What clients have sent ahead and what is
//! reserved for responses have budgets of their own, so that neither can starve the other; and each client may
//! always use enough for a usual request, so that clients that send much cannot starve the others.

use super::pipeline::{INCOMPLETE_HEAD_BYTES, READ_AHEAD_BYTES, ReadAheadLimits};
use crate::http::Message;

/// The part of the memory limit that the whole process may use.
const PROCESS_DIVISOR: usize = 2;
/// What the process needs without clients, in bytes: its code, the balancer's state and the lists.
const PROCESS_BYTES: usize = 5 * 1024 * 1024;
/// Of the rest, this share may be allocated; the allocator loses some between allocations.
const ALLOCATED_SHARE: f64 = 0.75;
/// Shares of what may be allocated.
const CLIENTS_SHARE: f64 = 0.25;
const READ_AHEAD_SHARE: f64 = 0.25;
const RESPONSES_SHARE: f64 = 0.5;

/// What each client may use for its input whatever the others use, in bytes: enough for a usual request.
const INPUT_ALLOWANCE_BYTES: usize = 2048;
/// What a client takes without input, in bytes: its state, timers and small buffers.
const BYTES_PER_CLIENT: usize = INPUT_ALLOWANCE_BYTES + 2048;
/// A request is held twice: by the request table, and in the output to the endpoint.
const COPIES_OF_REQUEST: usize = 2;
/// What a response takes at most before it is written to the client, in bytes: the input buffer of the
/// connection to the endpoint, a head, and a body of the maximum length.
const RESPONSE_BYTES: usize = (16 + 8 + 64) * 1024;

/// The memory that one client takes, in bytes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ClientMemory {
    /// What the client has sent and the node has not handled.
    pub(super) input: usize,
    /// What is reserved for the response to its request in progress, or is still to be written to it.
    pub(super) response: usize,
}

impl ClientMemory {
    /// The part of the input that counts against the budget of all clients.
    fn input_beyond_allowance(self) -> usize {
        self.input.saturating_sub(INPUT_ALLOWANCE_BYTES)
    }
}

/// The memory that all clients take, and may take.
#[derive(Debug)]
pub(super) struct MemoryBudget {
    max_clients: usize,
    max_input: usize,
    max_responses: usize,
    input: usize,
    responses: usize,
}

impl MemoryBudget {
    /// Derives the budget from a node's memory limit in bytes.
    pub(super) fn within(memory: usize) -> MemoryBudget {
        let mut budget =
            MemoryBudget { max_clients: 0, max_input: 0, max_responses: 0, input: 0, responses: 0 };
        budget.set_limit(memory);
        budget
    }

    /// Derives the budget from another memory limit in bytes. What clients have already is kept.
    pub(super) fn set_limit(&mut self, memory: usize) {
        let usable = (memory / PROCESS_DIVISOR).saturating_sub(PROCESS_BYTES) as f64 * ALLOCATED_SHARE;
        let share = |share: f64| (usable * share) as usize;
        self.max_clients = share(CLIENTS_SHARE) / BYTES_PER_CLIENT;
        self.max_input = share(READ_AHEAD_SHARE);
        self.max_responses = share(RESPONSES_SHARE);
    }

    /// The number of clients that the memory allows.
    pub(super) fn max_clients(&self) -> usize {
        self.max_clients
    }

    /// What a client that takes `current` may hold of its input.
    pub(super) fn read_ahead_limits(&self, current: ClientMemory) -> ReadAheadLimits {
        let others = self.input.saturating_sub(current.input_beyond_allowance());
        let available = INPUT_ALLOWANCE_BYTES + self.max_input.saturating_sub(others);
        ReadAheadLimits {
            held_bytes: READ_AHEAD_BYTES.min(available),
            incomplete_bytes: INCOMPLETE_HEAD_BYTES.min(available),
        }
    }

    /// What is reserved for a request in progress until its response is written, in bytes.
    pub(super) fn reservation_for(message: &Message) -> usize {
        COPIES_OF_REQUEST * message.allocated_bytes() + RESPONSE_BYTES
    }

    /// Whether so much can be reserved for another request in progress.
    pub(super) fn can_reserve(&self, bytes: usize) -> bool {
        self.responses.saturating_add(bytes) <= self.max_responses
    }

    /// Records that a client takes `after` instead of `before`.
    pub(super) fn update(&mut self, before: ClientMemory, after: ClientMemory) {
        let input = self.input + after.input_beyond_allowance();
        self.input = input.saturating_sub(before.input_beyond_allowance());
        self.responses = (self.responses + after.response).saturating_sub(before.response);
    }
}
