//! Revisions of the platform's store.

use crate::prelude::*;

/// Place of a change in the history of the store.
///
/// A store that is restored from an older copy gives revisions out again, for other changes. What it
/// holds in the later era replaces what it held before, so any revision of a later era is later than
/// all of an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StoreRevision {
    /// Number of the era, see [`StoreEra`].
    pub era: u64,
    /// The store's own number, which counts changes within the era.
    pub number: u64,
}

impl StoreRevision {
    /// Place before all changes.
    pub const ZERO: Self = Self { era: 0, number: 0 };

    /// Creates a revision of an era.
    pub fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }

    /// This revision in the given era if none was stated with it, as by an instance of a build that
    /// knows of no eras.
    pub fn or_era(self, era: u64) -> Self {
        match self {
            Self { era: 0, number } if number > 0 => Self { era, number },
            _ => self,
        }
    }

    /// The revision after this one in the same era.
    pub fn next(self) -> Self {
        Self {
            number: self.number + 1,
            ..self
        }
    }
}

/// A revision of a store that states no era.
impl From<u64> for StoreRevision {
    fn from(number: u64) -> Self {
        Self { era: 0, number }
    }
}

impl Display for StoreRevision {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self.era {
            0 => write!(f, "{}", self.number),
            era => write!(f, "{era}.{}", self.number),
        }
    }
}
