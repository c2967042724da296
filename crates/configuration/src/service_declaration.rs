//! A service as declared.

use crate::prelude::*;

/// Servers of one service and the classes of its requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDeclaration {
    /// Whether each key has one owner.
    pub kind: ServiceKind,
    /// Number of parts that the hash space is cut into, fixed for the life of the service.
    #[serde(default = "ServiceDeclaration::default_parts")]
    pub parts: u32,
    /// Classes in the order in which they are tried.
    #[serde(default, rename = "class")]
    pub classes: Vec<RequestClass>,
    /// Servers.
    #[serde(default, rename = "server")]
    pub servers: Vec<ServerDeclaration>,
}

impl ServiceDeclaration {
    fn default_parts() -> u32 {
        1
    }

    /// First class that matches a request's method and the segment after its key.
    pub fn find_class(&self, method: &str, path: &str) -> Option<&RequestClass> {
        self.classes.iter().find(|class| {
            class.methods.iter().any(|name| name == method)
                && class.path.as_deref().is_none_or(|prefix| prefix == path)
        })
    }
}
