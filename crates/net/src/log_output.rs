//! Asynchronous output of log lines.
//!
//! A separate thread writes the lines from a bounded buffer, so that a blocked or closed output does
//! not block the process. Lines that find the buffer full are dropped.

use crate::prelude::*;
use logforth::append::{Append, asynchronous::AsyncBuilder};

/// Lines in the buffer at most.
const MAX_BUFFERED_LINES: usize = 1_024;
/// Longest time that the process waits at its end for the last lines to be written: half of the time
/// that a stop leaves between its limit and the platform's SIGKILL.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Starts logging to `output`, with lines of `level` and above.
pub(crate) fn start_logs(output: impl Into<Box<dyn Append>>, level: log::LevelFilter) {
    let buffered = AsyncBuilder::new("logs")
        .buffered_lines_limit(Some(MAX_BUFFERED_LINES))
        .overflow_drop_incoming()
        .append(output)
        .build();
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(buffered))
        .apply();
    log::set_max_level(level);
}

/// Waits until all lines are written, at most for [`FLUSH_TIMEOUT`].
pub(crate) fn flush_logs() {
    let (flush_done, flushed) = std::sync::mpsc::channel();
    let flush = move || {
        log::logger().flush();
        // The receiver is gone after the timeout.
        let _ = flush_done.send(());
    };
    let thread = std::thread::Builder::new().name("log flush".into());
    if thread.spawn(flush).is_ok() {
        // The process ends now, whether all lines were written or not.
        let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
    }
}
