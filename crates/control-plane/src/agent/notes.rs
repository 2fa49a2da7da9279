//! What the loop writes down, and what sights are made of it. A note is of one size and sets nothing aside; what has to
//! be looked up, kept and joined is done on the courier's side.

use std::collections::BTreeMap;

use granitelb_balancer::calls::{ApiCall, ShotEnd};
use granitelb_balancer::ids::{ApiCallId, CacheId, ShotNumber};
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::observation::{Ended, Server, Sight};

pub enum Note {
    /// These may get shots from now on, and no others.
    Listed(Vec<Server>),
    Sent(Sent),
    Ended {
        api_call: ApiCallId,
        end: ShotEnd,
        /// Of the answer's body.
        bytes: u32,
    },
    /// A read that caches lacked was rate-limited.
    Denied,
}

/// A shot that goes out.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub api_call: ApiCallId,
    pub number: ShotNumber,
    pub cache: CacheId,
    /// See [`super::call_of`].
    pub call: u64,
    pub asked: ApiCall,
    /// Of the value that is written.
    pub bytes: u32,
    pub slo: Span,
    /// The key's candidates in their order, for sampled calls.
    pub candidates: [Option<CacheId>; 3],
}

/// Shots whose end was not told of, for want of room on the way, are forgotten past so many.
const MOST_OUT: usize = 16_384;

/// What is out, as far as notes tell.
#[derive(Default)]
pub(super) struct Accounts {
    is_origin: BTreeMap<CacheId, bool>,
    shots: BTreeMap<(ApiCallId, ShotNumber), (Sent, u16)>,
    /// How many are out at each server that has some.
    out: BTreeMap<CacheId, u16>,
}

impl Accounts {
    /// What a note tells of; nothing for the end of a shot that is not known.
    pub fn sight(&mut self, note: Note) -> Option<Sight> {
        match note {
            Note::Listed(servers) => {
                self.is_origin = servers.iter().map(|s| (s.cache, s.is_origin)).collect();
                Some(Sight::Listed(servers))
            }
            Note::Sent(sent) => {
                let out = self.out.entry(sent.cache).or_default();
                self.shots.insert((sent.api_call, sent.number), (sent, *out));
                *out = out.saturating_add(1);
                if self.shots.len() > MOST_OUT
                    && let Some((_, (lost, _))) = self.shots.pop_first()
                {
                    self.ended(lost.cache);
                }
                let is_origin = self.is_origin(sent.cache);
                Some(Sight::Sent { cache: sent.cache, is_origin, write: sent.asked.write })
            }
            Note::Denied => Some(Sight::Denied),
            Note::Ended { api_call, end, bytes } => {
                let (sent, out_then) = self.shots.remove(&(api_call, end.number))?;
                self.ended(sent.cache);
                let asked = sent.asked;
                Some(Sight::Ended(Box::new(Ended {
                    call: sent.call,
                    number: end.number.0,
                    key: asked.key,
                    product: asked.product,
                    write: asked.write,
                    work: asked.work,
                    cache: sent.cache,
                    is_origin: self.is_origin(sent.cache),
                    candidates: sent.candidates.into_iter().flatten().collect(),
                    outcome: end.outcome,
                    latency: end.latency,
                    bytes: if asked.write { sent.bytes } else { bytes },
                    out_then,
                    slo: sent.slo,
                })))
            }
        }
    }

    fn ended(&mut self, cache: CacheId) {
        if let Some(out) = self.out.get_mut(&cache) {
            *out = out.saturating_sub(1);
            if *out == 0 {
                self.out.remove(&cache);
            }
        }
    }

    fn is_origin(&self, cache: CacheId) -> bool {
        self.is_origin.get(&cache).copied().unwrap_or(false)
    }
}

/// A note with its time.
pub(super) type Dated = (Time, Note);
