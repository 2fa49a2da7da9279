//! Where the client side and the server side meet: an exchange is one API call, its shots and its answer.

use std::collections::{HashMap, HashSet, VecDeque};

use granitelb_balancer::calls::{Answer, ApiCall, Outcome, Report, ShotEnd};
use granitelb_balancer::ids::{ApiCallId, CacheId, ShotNumber};
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
    Own(Answer),
    /// Nobody waits for one.
    ClientLeft,
}

pub struct Exchange {
    pub client: ConnId,
    pub call: ApiCall,
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
pub struct EndedShot {
    pub call: ApiCallId,
    pub end: ShotEnd,
    /// Of the answer's body.
    pub bytes: u32,
    pub report: Option<Report>,
}

/// All exchanges, and what happened in them that the driver or a side has yet to take up.
#[derive(Default)]
pub struct Exchanges {
    open: HashMap<ApiCallId, Exchange>,
    /// The names of calls that wait for their answer.
    waiting: HashSet<Box<str>>,
    last: u64,
    arrived: VecDeque<ApiCallId>,
    left: VecDeque<ApiCallId>,
    ended: VecDeque<EndedShot>,
    answered: VecDeque<ApiCallId>,
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
        call: ApiCall,
        name: Box<str>,
        message: Message,
    ) -> Option<ApiCallId> {
        if !self.waiting.insert(name.clone()) {
            return None;
        }
        self.last += 1;
        let id = ApiCallId(self.last);
        let (shots, out, lacked, answer, answered) = (0, 0, false, None, false);
        let exchange = Exchange { client, call, message, name, shots, out, lacked, answer, answered };
        self.open.insert(id, exchange);
        self.arrived.push_back(id);
        Some(id)
    }

    /// The client is gone: no answer is owed any more.
    pub fn leave(&mut self, id: ApiCallId) {
        if self.settle(id, FinalAnswer::ClientLeft) {
            self.left.push_back(id);
        }
    }

    /// The next answer to give, and to whom.
    pub fn next_answer(&mut self) -> Option<(ApiCallId, ConnId, FinalAnswer)> {
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
    pub fn message(&self, id: ApiCallId) -> Option<&Message> {
        self.open.get(&id).map(|e| &e.message)
    }

    /// Whether the call waits for its answer.
    pub fn is_waiting(&self, id: ApiCallId) -> bool {
        self.open.get(&id).is_some_and(|e| !e.answered)
    }

    /// A shot has ended, with the answer to the call if it brought one.
    pub fn shot_ended(
        &mut self,
        id: ApiCallId,
        number: ShotNumber,
        cache: CacheId,
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
        exchange.lacked |= outcome == Outcome::Lacking;
        let end = ShotEnd { number, cache, outcome, latency, answered: exchange.answered };
        self.ended.push_back(EndedShot { call: id, end, bytes, report });
        self.clear(id);
    }
}

/// The driver's part.
impl Exchanges {
    pub fn set_load_header(&mut self, name: Option<Box<str>>) {
        self.load_header = name;
    }

    pub fn next_arrived(&mut self) -> Option<(ApiCallId, ApiCall)> {
        loop {
            let id = self.arrived.pop_front()?;
            // One whose client left again at once may be over: those behind it are not.
            if let Some(exchange) = self.open.get(&id) {
                return Some((id, exchange.call));
            }
        }
    }

    pub fn next_left(&mut self) -> Option<ApiCallId> {
        self.left.pop_front()
    }

    pub fn next_ended(&mut self) -> Option<EndedShot> {
        self.ended.pop_front()
    }

    /// Whether a call is a read that a cache lacked.
    pub fn lacked(&self, id: ApiCallId) -> bool {
        self.open.get(&id).is_some_and(|e| e.lacked && !e.call.write)
    }

    /// What a call is named, and what it asks for.
    pub fn asked(&self, id: ApiCallId) -> Option<(&str, &ApiCall, &Message)> {
        self.open.get(&id).map(|e| (&*e.name, &e.call, &e.message))
    }

    /// The gate of every shot: its number, unless the call has its answer.
    pub fn shoot(&mut self, id: ApiCallId) -> Option<ShotNumber> {
        let exchange = self.open.get_mut(&id).filter(|e| !e.answered)?;
        let number = ShotNumber(exchange.shots);
        exchange.shots += 1;
        exchange.out += 1;
        Some(number)
    }

    /// The gate of every final answer: the first one stands.
    pub fn settle(&mut self, id: ApiCallId, answer: FinalAnswer) -> bool {
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

    fn clear(&mut self, id: ApiCallId) {
        if self.open.get(&id).is_some_and(|e| e.answered && e.answer.is_none() && e.out == 0) {
            self.open.remove(&id);
        }
    }
}
