//! The steps that every process takes around its work: signals, logging and the exit code.

use crate::{
    log_output::{flush_logs, start_logs},
    prelude::*,
};
use logforth::append::Append;
use std::process::ExitCode;

/// Exit code of a process that could not run, or whose stop left work unfinished.
pub const EXIT_FAILURE: u8 = 1;

/// Installs the signal handlers and then runs `work`; `program` is the name in the error message.
pub fn run_process(program: &str, work: impl FnOnce(&mut SignalReceiver) -> ExitCode) -> ExitCode {
    // First of all, because a signal ends the process until the handlers are installed.
    match SignalReceiver::open() {
        Ok(mut receiver) => work(&mut receiver),
        Err(error) => {
            eprintln!("{program}: cannot install signal handlers: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Runs `work` with log lines of `level` and above sent to `output`, and flushes the log at the end.
pub fn run_logged<E: Display>(
    output: impl Into<Box<dyn Append>>,
    level: log::LevelFilter,
    work: impl FnOnce() -> Result<ExitCode, E>,
) -> ExitCode {
    start_logs(output, level);
    let code = work().unwrap_or_else(|error| {
        log::error!(cause = error.to_string().as_str(); "instance ended");
        ExitCode::from(EXIT_FAILURE)
    });
    flush_logs();
    code
}
