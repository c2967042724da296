//! Identity of one run of an entry instance.

use crate::prelude::*;

/// Name and incarnation of an instance; a restarted instance is a different one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId {
    /// Name from the settings.
    pub name: String,
    /// Number of this run, larger for each restart.
    pub incarnation: u64,
}

impl InstanceId {
    /// Identity of one run.
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
        let fault = || WireError::new("instance", text, "NAME#INCARNATION");
        let (name, incarnation) = text.rsplit_once('#').ok_or_else(fault)?;
        Ok(Self::new(name, incarnation.parse().map_err(|_| fault())?))
    }
}
