//! Command line for operators.
//!
//! [`parse`] turns arguments and environment variables into a request, and [`execute`] turns the
//! request into a report; only [`run`] prints. Configuration changes are conditional writes to the
//! store. Queries about the running system go to the operator ports of the instances.

mod argument_reader;
mod change_executor;
mod cli_session;
mod cli_settings;
mod cli_verb;
mod configuration_store;
mod configuration_verbs;
mod declaration_directory;
mod exit_status;
mod explain_view;
mod help_text;
mod instance_client;
mod instance_drain;
mod local_time;
mod move_preview;
mod output_style;
mod status_view;
mod text_table;
mod verb_report;
mod wait_view;
mod wrapped_text;

pub use {
    argument_reader::CliRequest,
    cli_session::execute,
    cli_settings::CliSettings,
    cli_verb::CliVerb,
    configuration_store::{ChangeOutcome, ConfigurationStore, StoredHead},
    exit_status::ExitStatus,
    verb_report::VerbReport,
};

use prelude::*;

/// Imports used throughout the crate.
mod prelude {
    pub(crate) use {
        crate::{
            argument_reader::ArgumentReader, cli_session::CliSession,
            declaration_directory::DeclarationDirectory, help_text::HelpText,
            instance_client::InstanceClient, text_table::TextTable, wrapped_text::wrapped, *,
        },
        bytes::Bytes,
        geraniummast_configuration::*,
        geraniummast_model::*,
        geraniummast_net::*,
        geraniummast_store::*,
        indexmap::IndexMap,
        serde::Serialize,
        serde_json::{Value, json},
        std::{
            ffi::OsString,
            fmt::Display,
            io::IsTerminal,
            net::SocketAddr,
            path::{Path, PathBuf},
            sync::Arc,
            time::{Duration, Instant},
        },
    };
}

/// Parses arguments (without the program name) and environment variables.
pub fn parse(
    arguments: impl IntoIterator<Item = OsString>,
    variable: &dyn Fn(&str) -> Option<String>,
) -> CliRequest {
    ArgumentReader::read(arguments, variable)
}

/// Runs the command line with the arguments and environment variables of the process.
pub fn run() -> std::process::ExitCode {
    let variable = |name: &str| std::env::var(name).ok();
    let status = match parse(std::env::args_os().skip(1), &variable) {
        CliRequest::Help(text) => {
            print!("{text}");
            ExitStatus::Done
        }
        CliRequest::Invalid(findings) => {
            for finding in &findings {
                eprintln!("geraniummast: {finding}");
            }
            eprintln!("`geraniummast --help` lists the verbs");
            ExitStatus::Usage
        }
        CliRequest::Run(verb, settings) => {
            let report = execute(&verb, &settings);
            output_style::print(&report, settings.json);
            report.status
        }
    };
    std::process::ExitCode::from(status.code())
}
