//! Wall-clock time: reading and formatting.

use crate::prelude::*;
use std::time::{SystemTime, UNIX_EPOCH};

/// Current time, in milliseconds since the Unix epoch.
pub(crate) fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or(Duration::ZERO).as_millis() as u64
}

/// Formats a time in UTC, with a precision of one second.
pub(crate) fn text_of(at_ms: u64) -> String {
    match jiff::Timestamp::from_second((at_ms / 1_000) as i64) {
        Ok(time) => time.to_string(),
        Err(_) => format!("{at_ms} ms"),
    }
}
