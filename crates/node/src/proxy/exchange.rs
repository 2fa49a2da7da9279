//! Where the client side and the server side meet: an exchange is one API call, its shots and its answer.

use std::collections::{HashMap, HashSet, VecDeque};

use granitelb_balancer::calls::{AttemptOutcome, AttemptResult, LoadReport, LocalReply, Request};
use granitelb_balancer::ids::{AttemptNumber, EndpointId, RequestId};
use granitelb_balancer::time::Span;

use super::outcome::{ShotFate, load_report};
use super::tally::Tally;
use crate::http::Message;
use crate::transport::ConnId;

/// The one final answer of a call.
pub enum FinalAnswer {
    /// What a cache or the origin made for it.
    Fulfilled(Message),
    /// What the decisions say instead.
    Own(LocalReply),
    /// Nobody waits for one.
    ClientLeft,
}

pub struct Exchange {
    pub client: ConnId,
    pub call: Request,
    /// What goes on to the caches.
    pub message: Message,
    /// What its client calls it.
    name: Box<str>,
    shots: u8,
    out: usize,
    /// Whether a cache lacked what is asked for.
    lacked: bool,
    answer: Option<FinalAnswer>,
    answered: bool,
}

/// A shot that has ended, for the decisions.
pub struct FinishedAttempt {
    pub call: RequestId,
    pub end: AttemptResult,
    /// Of the answer's body.
    pub bytes: u32,
    pub report: Option<LoadReport>,
}

/// All exchanges, and what happened in them that the driver or a side has yet to take up.
#[derive(Default)]
pub struct Exchanges {
    open: HashMap<RequestId, Exchange>,
    /// The names of calls that wait for their answer.
    waiting: HashSet<Box<str>>,
    last: u64,
    arrived: VecDeque<RequestId>,
    left: VecDeque<RequestId>,
    ended: VecDeque<FinishedAttempt>,
    answered: VecDeque<RequestId>,
    /// The header that load reports come in.
    load_header: Option<Box<str>>,
    tally: Tally,
}

/// The client side's part.
impl Exchanges {
    /// Opens an exchange for a call that was taken; not for one under the name of another that waits: caches could
    /// not tell the two apart, and the one that came first would pay for it.
    pub fn take(
        &mut self,
        client: ConnId,
        call: Request,
        name: Box<str>,
        message: Message,
    ) -> Option<RequestId> {
        if !self.waiting.insert(name.clone()) {
            return None;
        }
        self.last += 1;
        let id = RequestId(self.last);
        let (shots, out, lacked, answer, answered) = (0, 0, false, None, false);
        let exchange = Exchange { client, call, message, name, shots, out, lacked, answer, answered };
        self.open.insert(id, exchange);
        self.arrived.push_back(id);
        Some(id)
    }

    /// The client is gone: no answer is owed any more.
    pub fn leave(&mut self, id: RequestId) {
        if self.settle(id, FinalAnswer::ClientLeft) {
            self.left.push_back(id);
        }
    }

    /// The next answer to give, and to whom.
    pub fn poll_response(&mut self) -> Option<(RequestId, ConnId, FinalAnswer)> {
        loop {
            let id = self.answered.pop_front()?;
            let taken = self.open.get_mut(&id).and_then(|e| Some((e.client, e.answer.take()?)));
            self.clear(id);
            if let Some((client, answer)) = taken {
                return Some((id, client, answer));
            }
        }
    }
}

/// The server side's part.
impl Exchanges {
    pub fn message(&self, id: RequestId) -> Option<&Message> {
        self.open.get(&id).map(|e| &e.message)
    }

    /// Whether the call waits for its answer.
    pub fn is_waiting(&self, id: RequestId) -> bool {
        self.open.get(&id).is_some_and(|e| !e.answered)
    }

    /// A shot has ended, with the answer to the call if it brought one.
    pub fn on_attempt_finished(
        &mut self,
        id: RequestId,
        number: AttemptNumber,
        cache: EndpointId,
        fate: ShotFate,
        latency: Span,
    ) {
        let report = self.load_header.as_ref().and_then(|name| fate.header(name)).map(load_report);
        if report == Some(None) {
            self.tally.count_unread_report();
        }
        let report = report.flatten();
        let bytes = fate.bytes();
        let (outcome, answer) = fate.into_outcome();
        if let Some(answer) = answer {
            self.settle(id, FinalAnswer::Fulfilled(answer));
        }
        self.tally.count_shot(outcome);
        let Some(exchange) = self.open.get_mut(&id) else { return };
        exchange.out = exchange.out.saturating_sub(1);
        exchange.lacked |= outcome == AttemptOutcome::CacheMiss;
        let end = AttemptResult { number, cache, outcome, latency, answered: exchange.answered };
        self.ended.push_back(FinishedAttempt { call: id, end, bytes, report });
        self.clear(id);
    }
}

/// The driver's part.
impl Exchanges {
    pub fn set_load_header(&mut self, name: Option<Box<str>>) {
        self.load_header = name;
    }

    pub fn next_arrived(&mut self) -> Option<(RequestId, Request)> {
        loop {
            let id = self.arrived.pop_front()?;
            // One whose client left again at once may be over: those behind it are not.
            if let Some(exchange) = self.open.get(&id) {
                return Some((id, exchange.call));
            }
        }
    }

    pub fn next_left(&mut self) -> Option<RequestId> {
        self.left.pop_front()
    }

    pub fn next_ended(&mut self) -> Option<FinishedAttempt> {
        self.ended.pop_front()
    }

    /// Whether a call is a read that a cache lacked.
    pub fn lacked(&self, id: RequestId) -> bool {
        self.open.get(&id).is_some_and(|e| e.lacked && !e.call.write)
    }

    /// What a call is named, and what it asks for.
    pub fn asked(&self, id: RequestId) -> Option<(&str, &Request, &Message)> {
        self.open.get(&id).map(|e| (&*e.name, &e.call, &e.message))
    }

    /// The gate of every shot: its number, unless the call has its answer.
    pub fn shoot(&mut self, id: RequestId) -> Option<AttemptNumber> {
        let exchange = self.open.get_mut(&id).filter(|e| !e.answered)?;
        let number = AttemptNumber(exchange.shots);
        exchange.shots += 1;
        exchange.out += 1;
        Some(number)
    }

    /// The gate of every final answer: the first one stands.
    pub fn settle(&mut self, id: RequestId, answer: FinalAnswer) -> bool {
        let Some(exchange) = self.open.get_mut(&id).filter(|e| !e.answered) else { return false };
        self.tally.count_answer(&answer);
        exchange.answered = true;
        self.waiting.remove(&exchange.name);
        exchange.answer = Some(answer);
        self.answered.push_back(id);
        true
    }

    /// How many calls wait for an answer.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// What was counted since this was last asked.
    pub fn take_tally(&mut self) -> Tally {
        std::mem::take(&mut self.tally)
    }

    fn clear(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(|e| e.answered && e.answer.is_none() && e.out == 0) {
            self.open.remove(&id);
        }
    }
}
