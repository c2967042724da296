//! Identity of a part, the unit of leadership.

use crate::prelude::*;

/// Identity of a part: one of a service's equal hash ranges, with one leader for its servers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartId {
    /// Service that the part belongs to.
    pub service: ServiceName,
    /// Index of the part's range among those of the service.
    pub index: u32,
}

impl PartId {
    /// Creates the identity of part `index` of `service`.
    pub fn new(service: ServiceName, index: u32) -> Self {
        Self { service, index }
    }

    /// Returns the range that the part covers when the hash space is split into `parts` equal
    /// ranges.
    pub fn range(&self, parts: u32) -> SliceRange {
        let first_hash =
            |index: u32| ((u128::from(index) << 64).div_ceil(u128::from(parts.max(1)))) as u64;
        let end = match self.index + 1 >= parts {
            true => u64::MAX,
            false => first_hash(self.index + 1) - 1,
        };
        SliceRange {
            start: first_hash(self.index),
            end,
        }
    }
}

impl Display for PartId {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.index)
    }
}

impl std::str::FromStr for PartId {
    type Err = WireError;

    fn from_str(text: &str) -> Result<Self, WireError> {
        let parse_error = || WireError::new("part", text, "SERVICE/INDEX");
        let (service, index) = text.rsplit_once('/').ok_or_else(parse_error)?;
        Ok(Self::new(
            ServiceName::new(service),
            index.parse().map_err(|_| parse_error())?,
        ))
    }
}
