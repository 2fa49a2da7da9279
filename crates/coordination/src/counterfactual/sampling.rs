//! Which requests are reported, and which reports a planner stores: both are decided by hashes.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One request in this many is reported.
pub const SAMPLE_ONE_IN: u64 = 2;

/// The bytes "hind". The seed is part of the protocol: all members have to sample the same requests.
const SAMPLING_SEED: u64 = 0x6869_6e64;

/// A pseudo-random rank of a request or key. It spreads identifiers uniformly, so that the requests of the lowest ranks
/// are a fair sample whatever the identifiers are.
pub(super) fn sampling_rank(identifier: u64) -> u64 {
    xxh3_64_with_seed(&identifier.to_le_bytes(), SAMPLING_SEED)
}

/// Whether a request is reported. It depends on the request's hash alone, so that all nodes agree without messages.
pub fn is_sampled(request_hash: u64) -> bool {
    sampling_rank(request_hash) < u64::MAX / SAMPLE_ONE_IN
}
