//! Configuration: what operators declare and which revision of it is in force.
//!
//! All declarations and the preset in force are one object in the store, the head. Its revision
//! only grows; an instance never applies a revision below one that it has applied.

mod head_record;
mod preset_declaration;
mod request_class;
mod revision_gate;
mod server_declaration;
mod service_declaration;
mod service_kind;

pub use {
    head_record::HeadRecord,
    preset_declaration::PresetDeclaration,
    request_class::RequestClass,
    revision_gate::{RevisionGate, RevisionVerdict},
    server_declaration::ServerDeclaration,
    service_declaration::ServiceDeclaration,
    service_kind::ServiceKind,
};

/// Imports used throughout the crate.
mod prelude {
    pub(crate) use {
        crate::*,
        geraniummast_model::{ServerName, ServiceName},
        indexmap::IndexMap,
        serde::{Deserialize, Serialize},
        std::net::SocketAddr,
    };
}
