//! A hash that is the same on every node.

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
const MIX_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Hashes text to the same number on every node, whatever build it runs: nodes that differed here would send
/// a key to different endpoints.
///
/// The hash is FNV-1a, mixed once more since its low bits mix best.
pub(super) fn stable_hash(text: &[u8]) -> u64 {
    let fnv =
        text.iter().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME));
    let mixed = (fnv ^ (fnv >> 32)).wrapping_mul(MIX_MULTIPLIER);
    mixed ^ (mixed >> 29)
}
