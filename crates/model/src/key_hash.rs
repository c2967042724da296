//! Hash of a routing key, stable across versions and machines.

use crate::prelude::*;

/// Position of a key in the 64-bit hash space of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash(pub u64);

impl KeyHash {
    /// Hashes the bytes of `key` without normalising them.
    pub fn of(key: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(key.as_bytes()))
    }

    /// Returns the index of the part that holds the key when the hash space is split into `parts`
    /// equal ranges.
    pub fn part_index(self, parts: u32) -> u32 {
        ((u128::from(self.0) * u128::from(parts.max(1))) >> 64) as u32
    }
}

impl Display for KeyHash {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl std::str::FromStr for KeyHash {
    type Err = WireError;

    fn from_str(text: &str) -> Result<Self, WireError> {
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| WireError::new("key hash", text, "16 hexadecimal digits"))
    }
}
