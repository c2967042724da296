//! The daemon as a process: settings, logging, signals and exit codes.

use crate::prelude::*;
use logforth::{
    append,
    layout::{JsonLayout, LogfmtLayout},
};
use std::process::ExitCode;

/// Program name in errors that are printed before logging starts.
const PROGRAM: &str = "geraniummastd";

/// Runs the daemon with the arguments and variables of this process until a signal stops it.
///
/// The first argument `gateway` runs the gateway instead.
pub fn run() -> ExitCode {
    let arguments: Vec<_> = std::env::args_os().skip(1).collect();
    if arguments.first().is_some_and(|first| first == "gateway") {
        return geraniummast_gateway::run(arguments.into_iter().skip(1));
    }
    run_process(PROGRAM, |receiver| {
        let outcome = read_settings(arguments, |name| std::env::var_os(name));
        let mut settings = match outcome.resolve(PROGRAM) {
            Ok(settings) => settings,
            Err(code) => return code,
        };
        settings.incarnation = decision_log::unix_time_ms();
        run_logged(log_output(&settings), settings.log_level, || {
            future::block_on(serve(settings, receiver))
        })
    })
}

/// Returns the appender that writes log lines to standard error in the configured format.
fn log_output(settings: &DaemonSettings) -> append::Stderr {
    match settings.log_json {
        true => append::Stderr::default().with_layout(JsonLayout::default()),
        false => append::Stderr::default().with_layout(LogfmtLayout::default()),
    }
}

/// Runs an instance until a signal arrives; the exit code tells whether it stopped gracefully.
async fn serve(settings: DaemonSettings, receiver: &mut SignalReceiver) -> eyre::Result<ExitCode> {
    let instance = InstanceHandle::start(settings, TcpDialer::direct()).await?;
    log::info!(
        callers = instance.caller_address().to_string().as_str(),
        operators = instance.operator_address().to_string().as_str();
        "started"
    );
    receiver.wait_for_stop().await;
    log::info!("stopping");
    let is_graceful = receiver.run_stop(instance.stop()).await;
    log::info!(whole = is_graceful; "stopped");
    Ok(match is_graceful {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(EXIT_FAILURE),
    })
}
