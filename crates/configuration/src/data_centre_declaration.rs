//! Declaration of a data centre, in which servers and instances run.

use crate::prelude::*;

/// Declared properties of a data centre.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreDeclaration {
    /// Name of the region that contains the data centre.
    pub region: String,
}
