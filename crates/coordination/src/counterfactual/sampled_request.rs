//! The report of one selection: the cache to which a sampled request was sent first, the other caches to
//! which it could have been sent, and its outcome.

use granitelb_balancer::time::Span;
use serde::{Deserialize, Serialize};

/// The number of a key's candidates that are considered; later candidates in the shard map are hardly ever
/// chosen.
pub const MAX_CANDIDATES: usize = 3;
/// The number of work classes; each class holds four times the work of the class before.
pub const WORK_CLASSES: u8 = 4;
/// The fewest candidates of a request among which a node has a choice.
const MIN_CANDIDATES: usize = 2;
/// The work in microseconds below which a request is in the lowest work class.
const LOWEST_CLASS_LIMIT_MICROS: u64 = 2_000;
/// The number of doublings of the work that each work class spans.
const DOUBLINGS_PER_CLASS: u32 = 2;
/// The unit of times in reports, in microseconds.
const TENTH_OF_MILLISECOND_MICROS: u64 = 100;

/// The outcome of sending a request to the selected cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceOutcome {
    /// The cache had the value.
    Hit,
    /// The cache did not have the value and another endpoint sent the response, mostly the origin; the
    /// duration is that of the complete request.
    Miss,
    /// The request was cancelled, timed out or no longer tracked while it was in flight: the duration is
    /// right-censored, as the response would have arrived later, if ever.
    Censored,
    /// The request was rejected, or the cache was unreachable, answered with an error or reset the
    /// connection: no response would have arrived.
    Failed,
}

/// One selection as a forwarder observed it. It is sent to planners in postcard's encoding, so the order of
/// the fields is part of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SampledRequest {
    /// The hash of the request's identifier, which the client chose; the same at all nodes.
    pub request_hash: u64,
    /// A part of the key's hash; it groups the requests of one key, which are not independent.
    pub key_hash: u32,
    /// The request class, by its number in the settings.
    pub request_class: u16,
    /// The class of the expected work, from 0 to less than [`WORK_CLASSES`]; see [`work_class`].
    pub work_class: u8,
    /// The key's first candidates in their order when the request was sent; [`MAX_CANDIDATES`] at most.
    pub candidates: Vec<u64>,
    /// The position in `candidates` of the cache to which the request was sent first.
    pub position: u8,
    /// The outcome of the request.
    pub outcome: ServiceOutcome,
    /// The time until the last byte of the response, or until waiting ended, in tenths of a millisecond.
    pub duration: u32,
    /// The latency objective of the request class, in tenths of a millisecond.
    pub slo: u32,
    /// The number of attempts that the node had in flight at the chosen cache when it sent the request.
    pub in_flight: u8,
    /// How long before the message was sent the request ended, in milliseconds.
    pub age_ms: u32,
}

/// Returns a duration in tenths of a millisecond, the unit of reports; at most [`u32::MAX`].
pub(super) fn tenths_of_millisecond(span: Span) -> u32 {
    u32::try_from(span.0 / TENTH_OF_MILLISECOND_MICROS).unwrap_or(u32::MAX)
}

/// Returns the work class of a request by the client's estimate of its work.
///
/// The size of the response must not decide the class, since it is known only of requests that were answered.
/// Requests without an estimate are all in the lowest class.
pub fn work_class(work: Option<Span>) -> u8 {
    let multiple = work.map_or(0, |work| work.0 / LOWEST_CLASS_LIMIT_MICROS);
    let doublings = u64::BITS - multiple.leading_zeros();
    let class = doublings.div_ceil(DOUBLINGS_PER_CLASS);
    u8::try_from(class).map_or(WORK_CLASSES - 1, |class| class.min(WORK_CLASSES - 1))
}

impl SampledRequest {
    /// Whether a forwarder can have observed these values.
    pub(super) fn is_valid(&self) -> bool {
        let has_choice = (MIN_CANDIDATES..=MAX_CANDIDATES).contains(&self.candidates.len());
        let are_distinct = (1..self.candidates.len())
            .all(|position| !self.candidates[..position].contains(&self.candidates[position]));
        let has_position = usize::from(self.position) < self.candidates.len();
        has_choice && are_distinct && has_position && self.work_class < WORK_CLASSES && self.slo > 0
    }

    /// The cache to which the request was sent first.
    pub fn chosen_cache(&self) -> u64 {
        self.candidates[usize::from(self.position)]
    }

    /// Whether the first attempt went to a candidate other than the key's first.
    pub(super) fn chose_later_candidate(&self) -> bool {
        self.position > 0
    }
}
