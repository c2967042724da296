//! Identity of a part.

use crate::prelude::*;

/// A service's group of servers that is led as one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartId {
    /// Service that the part belongs to.
    pub service: ServiceName,
    /// Position among the service's parts.
    pub index: u32,
}

impl PartId {
    /// Part `index` of `service`.
    pub fn new(service: ServiceName, index: u32) -> Self {
        Self { service, index }
    }

    /// Range of the hash space that the part covers, of `parts` equal ones.
    pub fn range(&self, parts: u32) -> SliceRange {
        let bound =
            |index: u32| ((u128::from(index) << 64).div_ceil(u128::from(parts.max(1)))) as u64;
        let end = match self.index + 1 >= parts {
            true => u64::MAX,
            false => bound(self.index + 1) - 1,
        };
        SliceRange {
            start: bound(self.index),
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
        let fault = || WireError::new("part", text, "SERVICE/INDEX");
        let (service, index) = text.rsplit_once('/').ok_or_else(fault)?;
        Ok(Self::new(
            ServiceName::new(service),
            index.parse().map_err(|_| fault())?,
        ))
    }
}
