//! A place where servers and instances run.

use crate::prelude::*;

/// A data centre as declared.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreDeclaration {
    /// Region that the data centre belongs to.
    pub region: String,
}
