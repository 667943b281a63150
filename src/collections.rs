//! Hash collections with a fast hasher, and a hash that is stable across hosts and runs.

use rustc_hash::FxBuildHasher;

/// A hash map with a fast, non-cryptographic hasher.
#[allow(clippy::disallowed_types, reason = "this is the alias")]
pub type HashMap<K, V> = std::collections::HashMap<K, V, FxBuildHasher>;

/// A hash set with a fast, non-cryptographic hasher.
#[allow(clippy::disallowed_types, reason = "this is the alias")]
pub type HashSet<T> = std::collections::HashSet<T, FxBuildHasher>;

/// Hashes bytes to 64 bits, with the same result on every host and in every run. FNV-1a with
/// extra mixing; not cryptographic.
///
/// ```
/// use hemlockrock::collections;
///
/// assert_eq!(collections::stable_hash("mid-1"), collections::stable_hash("mid-1"));
/// ```
pub fn stable_hash(value: impl AsRef<[u8]>) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let folded = value
        .as_ref()
        .iter()
        .fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME));
    mix(folded)
}

/// Mixes the bits of a value, so that similar inputs give unrelated hashes (the SplitMix64
/// finalizer).
fn mix(mut value: u64) -> u64 {
    value ^= value >> 30;
    value = value.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value ^= value >> 27;
    value = value.wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
