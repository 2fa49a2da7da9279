//! A hash that is the same on every node.

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
const MIX_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns a 64-bit hash of `text` that is the same on every node and in every build. Nodes with different
/// hash functions would send the same key to different endpoints.
///
/// The hash is FNV-1a with a final mixing step, since FNV-1a mixes its low bits best.
pub(super) fn stable_hash(text: &[u8]) -> u64 {
    let fnv =
        text.iter().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME));
    let mixed = (fnv ^ (fnv >> 32)).wrapping_mul(MIX_MULTIPLIER);
    mixed ^ (mixed >> 29)
}
