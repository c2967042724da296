//! Configuration: what operators declare and which revision of it is in force.
//!
//! All declarations and the preset in force are one object in the store, the head. Its revision
//! only grows; an instance never applies a revision below one that it has applied. Files of
//! declarations are read whole, and every fault in them is reported with its place.

mod audit_entry;
mod change_metadata;
mod check_finding;
mod configuration_head;
mod data_centre_declaration;
mod declaration_reader;
mod declaration_set;
mod finding_log;
mod head_change;
mod head_difference;
mod head_plan;
mod head_rules;
mod list_reader;
mod preset_declaration;
mod request_class;
mod revision_gate;
mod server_declaration;
mod service_declaration;
mod service_kind;
mod service_rules;
mod set_rules;
mod source_file;
mod table_reader;
mod write_fate;

pub use {
    audit_entry::AuditEntry,
    change_metadata::ChangeMetadata,
    check_finding::{CheckFinding, RuleFinding},
    configuration_head::ConfigurationHead,
    data_centre_declaration::DataCentreDeclaration,
    declaration_set::DeclarationSet,
    head_change::HeadChange,
    head_difference::{DifferenceKind, FieldChange, HeadDifference},
    head_plan::HeadPlan,
    preset_declaration::PresetDeclaration,
    request_class::RequestClass,
    revision_gate::{RevisionGate, RevisionVerdict},
    server_declaration::ServerDeclaration,
    service_declaration::ServiceDeclaration,
    service_kind::ServiceKind,
    source_file::SourceFile,
    write_fate::WriteFate,
};

/// Imports used throughout the crate.
mod prelude {
    pub(crate) use {
        crate::{
            declaration_reader::DeclarationReader,
            finding_log::{FieldPlace, FindingLog},
            head_difference::ObjectMap,
            head_rules::HeadRules,
            service_rules::ServiceRules,
            set_rules::SetRules,
            table_reader::TableReader,
            *,
        },
        geraniummast_model::{ServerName, ServiceName},
        indexmap::IndexMap,
        serde::{Deserialize, Serialize},
        serde_json::json,
        std::{
            fmt::{self, Display, Formatter},
            net::SocketAddr,
            ops::{Range, RangeInclusive},
        },
    };
}
