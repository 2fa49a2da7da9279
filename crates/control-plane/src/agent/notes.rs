//! What the loop writes down, and what sights are made of it. A note is of one size and sets nothing aside; what has to
//! be looked up, kept and joined is done on the courier's side.

use std::collections::BTreeMap;

use granitelb_balancer::calls::{AttemptResult, Request};
use granitelb_balancer::ids::{AttemptNumber, EndpointId, RequestId};
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::observation::{FinishedAttempt, Observation, ObservedEndpoint};

pub enum RawObservation {
    /// These may get shots from now on, and no others.
    EndpointsChanged(Vec<ObservedEndpoint>),
    AttemptSent(SentAttempt),
    AttemptFinished {
        request: RequestId,
        end: AttemptResult,
        /// Of the answer's body.
        bytes: u32,
    },
    /// A read that caches lacked was rate-limited.
    FetchDenied,
}

/// A shot that goes out.
#[derive(Clone, Copy, Debug)]
pub struct SentAttempt {
    pub request: RequestId,
    pub number: AttemptNumber,
    pub cache: EndpointId,
    /// See [`super::call_of`].
    pub call: u64,
    pub asked: Request,
    /// Of the value that is written.
    pub bytes: u32,
    pub slo: Span,
    /// The key's candidates in their order, for sampled calls.
    pub candidates: [Option<EndpointId>; 3],
}

/// Shots whose end was not told of, for want of room on the way, are forgotten past so many.
const MOST_OUT: usize = 16_384;

/// What is out, as far as notes tell.
#[derive(Default)]
pub(super) struct Accounts {
    is_origin: BTreeMap<EndpointId, bool>,
    shots: BTreeMap<(RequestId, AttemptNumber), (SentAttempt, u16)>,
    /// How many are out at each server that has some.
    out: BTreeMap<EndpointId, u16>,
}

impl Accounts {
    /// What a note tells of; nothing for the end of a shot that is not known.
    pub fn sight(&mut self, note: RawObservation) -> Option<Observation> {
        match note {
            RawObservation::EndpointsChanged(servers) => {
                self.is_origin = servers.iter().map(|s| (s.cache, s.is_origin)).collect();
                Some(Observation::EndpointsChanged(servers))
            }
            RawObservation::AttemptSent(sent) => {
                let out = self.out.entry(sent.cache).or_default();
                self.shots.insert((sent.request, sent.number), (sent, *out));
                *out = out.saturating_add(1);
                if self.shots.len() > MOST_OUT
                    && let Some((_, (lost, _))) = self.shots.pop_first()
                {
                    self.ended(lost.cache);
                }
                let is_origin = self.is_origin(sent.cache);
                Some(Observation::AttemptSent { cache: sent.cache, is_origin, write: sent.asked.write })
            }
            RawObservation::FetchDenied => Some(Observation::FetchDenied),
            RawObservation::AttemptFinished { request, end, bytes } => {
                let (sent, out_then) = self.shots.remove(&(request, end.number))?;
                self.ended(sent.cache);
                let asked = sent.asked;
                Some(Observation::AttemptFinished(Box::new(FinishedAttempt {
                    request_hash: sent.call,
                    number: end.number.0,
                    key: asked.key,
                    request_class: asked.request_class,
                    write: asked.write,
                    work: asked.work,
                    cache: sent.cache,
                    is_origin: self.is_origin(sent.cache),
                    candidates: sent.candidates.into_iter().flatten().collect(),
                    outcome: end.outcome,
                    latency: end.latency,
                    bytes: if asked.write { sent.bytes } else { bytes },
                    in_flight_at_send: out_then,
                    slo: sent.slo,
                })))
            }
        }
    }

    fn ended(&mut self, cache: EndpointId) {
        if let Some(out) = self.out.get_mut(&cache) {
            *out = out.saturating_sub(1);
            if *out == 0 {
                self.out.remove(&cache);
            }
        }
    }

    fn is_origin(&self, cache: EndpointId) -> bool {
        self.is_origin.get(&cache).copied().unwrap_or(false)
    }
}

/// A note with its time.
pub(super) type Dated = (Time, RawObservation);
