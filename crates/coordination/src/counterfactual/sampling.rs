//! Decides by hashes which requests forwarders report and which reports a planner stores.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of requests of which one is reported, on average.
pub const SAMPLE_ONE_IN: u64 = 2;

/// The seed of the sampling hash: the bytes "hind". It is part of the protocol, as all members have to sample
/// the same requests.
const SAMPLING_SEED: u64 = 0x6869_6e64;

/// The pseudo-random rank of a request or key. Ranks are uniformly distributed, so the requests of the lowest
/// ranks are an unbiased sample whatever the identifiers are.
pub(super) fn sampling_rank(identifier: u64) -> u64 {
    xxh3_64_with_seed(&identifier.to_le_bytes(), SAMPLING_SEED)
}

/// Whether a request is reported. This depends on the request's hash alone, so all nodes agree without
/// messages.
pub fn is_sampled(request_hash: u64) -> bool {
    sampling_rank(request_hash) < u64::MAX / SAMPLE_ONE_IN
}
