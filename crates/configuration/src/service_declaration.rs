//! Declaration of a service.

use crate::prelude::*;

/// Declared kind, request classes and servers of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDeclaration {
    /// Whether each key has an exclusive owner.
    pub kind: ServiceKind,
    /// Number of parts into which the hash space is divided, fixed for the lifetime of the service.
    #[serde(default = "ServiceDeclaration::default_parts")]
    pub parts: u32,
    /// Request classes, in the order in which they are matched.
    #[serde(default, rename = "class")]
    pub classes: Vec<RequestClass>,
    /// Servers of the service.
    #[serde(default, rename = "server")]
    pub servers: Vec<ServerDeclaration>,
}

impl ServiceDeclaration {
    fn default_parts() -> u32 {
        1
    }

    /// Finds the first class that matches the method and the path segment after the key.
    pub fn find_class(&self, method: &str, path: &str) -> Option<&RequestClass> {
        self.classes.iter().find(|class| {
            class.methods.iter().any(|name| name == method)
                && class.path.as_deref().is_none_or(|prefix| prefix == path)
        })
    }
}
