//! What is told of one choice: where a sampled call was sent first, what else it could have been, and what came of it.

use granitelb_balancer::time::Span;
use serde::{Deserialize, Serialize};

/// A key has so many candidates that are weighed; ones further down the table are hardly ever chosen.
pub const PLACES: usize = 3;
/// Work falls into so many classes, each four times as heavy as the one before.
pub const CLASSES: u8 = 4;

/// What came of the choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum How {
    /// The cache had it.
    Hit,
    /// The cache lacked it, and the answer came from elsewhere, mostly the origin; the time is of all of it.
    Miss,
    /// Called off, timed out or lost sight of while it was under way: the answer would have come later, if ever.
    Cut,
    /// Turned away or not reached, spoilt or reset: no answer would have come.
    Refused,
}

/// One choice as a forwarder saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SampledRequest {
    pub call: u64,
    /// Part of the key's hash: calls of one key are not independent.
    pub key: u32,
    pub request_class: u16,
    pub class: u8,
    /// The key's first candidates in their order of that moment, and which of them was chosen.
    pub candidates: Vec<u64>,
    pub place: u8,
    pub how: How,
    /// Until the last byte of the answer, or of waiting, in tenths of a millisecond.
    pub took: u32,
    pub slo: u32,
    /// Shots that the node had out at the chosen one.
    pub out: u8,
    /// How long before the letter it ended, in milliseconds.
    pub ago: u32,
}

/// Tenths of a millisecond.
pub(super) fn tenths(span: Span) -> u32 {
    u32::try_from(span.0 / 100).unwrap_or(u32::MAX)
}

/// The class of a call by the client's guess at its work. What an answer weighed is known only of calls that were
/// answered, so that it must not sort them; without a guess all are of one class.
pub fn class_of(work: Option<Span>) -> u8 {
    let times = work.map_or(0, |w| w.0 / 2_000);
    let class = (u64::BITS - times.leading_zeros()).div_ceil(2);
    u8::try_from(class).map_or(CLASSES - 1, |c| c.min(CLASSES - 1))
}

impl SampledRequest {
    /// Whether it can be what a forwarder saw.
    pub(super) fn is_sound(&self) -> bool {
        let several = (2..=PLACES).contains(&self.candidates.len());
        let unlike = (1..self.candidates.len()).all(|n| !self.candidates[..n].contains(&self.candidates[n]));
        let placed = usize::from(self.place) < self.candidates.len();
        several && unlike && placed && self.class < CLASSES && self.slo > 0
    }

    pub fn chosen(&self) -> u64 {
        self.candidates[usize::from(self.place)]
    }
}

/// How a cache stands for a product, beside the other candidates of the same calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Standing {
    /// No node's choice gives evidence.
    NoSupport,
    AsGood,
    Worse,
    Better,
}

/// What a standing is by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scale {
    /// The share of the SLO that a call waits longer at it than at its other candidates.
    Share,
    /// How many times the time calls take whose first candidate it is, beside those of other caches.
    Times,
}

/// A standing as it is told to forwarders, for their log.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Said {
    pub cache: u64,
    pub request_class: u16,
    pub standing: Standing,
    /// By the scale of the message: the middle of the interval and its ends.
    pub more: f32,
    pub low: f32,
    pub high: f32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CounterfactualMessage {
    /// From a forwarder.
    Seen(Vec<SampledRequest>),
    /// From a forwarder: caches that started, and how many milliseconds ago.
    Started(Vec<(u64, u32)>),
    /// From a planner: by shares of the SLO.
    Standing(Vec<Said>),
    /// From a planner: by how many times the time. A kind of its own, so that earlier versions refuse it and go on reading
    /// the other.
    Times(Vec<Said>),
}
