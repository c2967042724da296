//! Configuration: declarations of the operators, and the revision that is in force.
//!
//! All declarations and the name of the active preset are stored as one object, the configuration
//! head. Its revision only increases, and an instance never applies a lower revision than one that
//! it has already applied. Validation of declaration files reports all errors at once, each with
//! its location.

mod audit_entry;
mod change_metadata;
mod check_finding;
mod configuration_change;
mod configuration_head;
mod configuration_plan;
mod data_centre_declaration;
mod declaration_reader;
mod declaration_set;
mod finding_log;
mod list_reader;
mod object_difference;
mod plan_rules;
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
mod write_status;

pub use {
    audit_entry::AuditEntry,
    change_metadata::ChangeMetadata,
    check_finding::{CheckFinding, RuleFinding},
    configuration_change::ConfigurationChange,
    configuration_head::ConfigurationHead,
    configuration_plan::ConfigurationPlan,
    data_centre_declaration::DataCentreDeclaration,
    declaration_set::DeclarationSet,
    object_difference::{DifferenceKind, FieldChange, ObjectDifference},
    preset_declaration::PresetDeclaration,
    request_class::RequestClass,
    revision_gate::{RevisionGate, RevisionVerdict},
    server_declaration::ServerDeclaration,
    service_declaration::ServiceDeclaration,
    service_kind::ServiceKind,
    source_file::SourceFile,
    write_status::WriteStatus,
};

/// Imports used throughout the crate.
mod prelude {
    pub(crate) use {
        crate::{
            declaration_reader::DeclarationReader,
            finding_log::{FieldSpan, FindingLog},
            object_difference::ObjectMap,
            plan_rules::PlanRules,
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
