//! Identity of a router instance.

use crate::prelude::*;

/// Name and incarnation of an instance; a restart gives the instance a new identity.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId {
    /// Name from the instance's settings.
    pub name: String,
    /// Incarnation number, which grows with each restart.
    pub incarnation: u64,
}

impl InstanceId {
    /// Creates the identity of one incarnation of the instance `name`.
    pub fn new(name: &str, incarnation: u64) -> Self {
        Self {
            name: name.into(),
            incarnation,
        }
    }
}

impl Display for InstanceId {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{}#{}", self.name, self.incarnation)
    }
}

impl std::str::FromStr for InstanceId {
    type Err = WireError;

    fn from_str(text: &str) -> Result<Self, WireError> {
        let parse_error = || WireError::new("instance", text, "NAME#INCARNATION");
        let (name, incarnation) = text.rsplit_once('#').ok_or_else(parse_error)?;
        Ok(Self::new(
            name,
            incarnation.parse().map_err(|_| parse_error())?,
        ))
    }
}
