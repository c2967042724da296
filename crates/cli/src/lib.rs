//! The operators' command line.
//!
//! Arguments and variables come to one request, the request to one report; only the edge prints.
//! Changes go to the store as conditional updates of the head; questions about what runs go to the
//! instances' operators' ports.

mod argument_reader;
mod cli_session;
mod cli_settings;
mod cli_verb;
mod declaration_folder;
mod exit_status;
mod explain_view;
mod head_change_run;
mod head_store;
mod head_verbs;
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
    exit_status::ExitStatus,
    head_store::{ChangeOutcome, FoundHead, HeadStore},
    verb_report::VerbReport,
};

use prelude::*;

/// Imports used throughout the crate.
mod prelude {
    pub(crate) use {
        crate::{
            argument_reader::ArgumentReader, cli_session::CliSession,
            declaration_folder::DeclarationFolder, help_text::HelpText,
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

/// Reads arguments, the program's name left out, and variables.
pub fn parse(
    arguments: impl IntoIterator<Item = OsString>,
    variable: &dyn Fn(&str) -> Option<String>,
) -> CliRequest {
    ArgumentReader::read(arguments, variable)
}

/// Runs the command line with the process's arguments and variables.
pub fn run() -> std::process::ExitCode {
    let variable = |name: &str| std::env::var(name).ok();
    let status = match parse(std::env::args_os().skip(1), &variable) {
        CliRequest::Help(text) => {
            print!("{text}");
            ExitStatus::Done
        }
        CliRequest::Faults(faults) => {
            for fault in &faults {
                eprintln!("geraniummast: {fault}");
            }
            eprintln!("`geraniummast --help` names the verbs and flags");
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
