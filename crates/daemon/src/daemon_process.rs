//! The process around an instance: settings, logs, signals and exit codes.

use crate::prelude::*;
use logforth::{
    append,
    layout::{JsonLayout, LogfmtLayout},
};
use std::process::ExitCode;

/// Name under which faults are told before logs are.
const PROGRAM: &str = "geraniummastd";

/// Runs the daemon with the process's settings until a signal stops it.
pub fn run() -> ExitCode {
    let arguments: Vec<_> = std::env::args_os().skip(1).collect();
    if arguments.first().is_some_and(|first| first == "gateway") {
        return geraniummast_gateway::run(arguments.into_iter().skip(1));
    }
    run_process(PROGRAM, |receiver| {
        let request = read_settings(arguments, |name| std::env::var_os(name));
        let mut settings = match request.resolve(PROGRAM) {
            Ok(settings) => settings,
            Err(code) => return code,
        };
        settings.incarnation = decision_log::wall_ms();
        run_logged(log_output(&settings), settings.log_level, || {
            future::block_on(serve(settings, receiver))
        })
    })
}

/// Log lines as the settings want them, on standard error.
fn log_output(settings: &DaemonSettings) -> append::Stderr {
    match settings.log_json {
        true => append::Stderr::default().with_layout(JsonLayout::default()),
        false => append::Stderr::default().with_layout(LogfmtLayout::default()),
    }
}

async fn serve(settings: DaemonSettings, receiver: &mut SignalReceiver) -> eyre::Result<ExitCode> {
    let instance = InstanceHandle::start(settings, TcpDialer::direct()).await?;
    log::info!(
        callers = instance.caller_address().to_string().as_str(),
        operators = instance.operator_address().to_string().as_str();
        "started"
    );
    receiver.wait_for_stop().await;
    log::info!("stopping");
    let whole = receiver.run_stop(instance.stop()).await;
    log::info!(whole; "stopped");
    Ok(match whole {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(EXIT_FAILURE),
    })
}
