//! Readers of setting values that may be empty or are durations.

use crate::prelude::*;
use geraniummast_settings::{read_address, read_number};
use std::ops::RangeInclusive;

/// Parses an address into `target` unless the text is empty; returns whether the text is valid.
pub(crate) fn read_optional_address(target: &mut Option<SocketAddr>, text: &str) -> bool {
    if text.is_empty() {
        *target = None;
        return true;
    }
    let mut address = SocketAddr::from(([0, 0, 0, 0], 0));
    let is_valid = read_address(&mut address, text);
    *target = is_valid.then_some(address);
    is_valid
}

/// Parses fractional seconds within `bounds` into `target` unless the text is empty; returns whether
/// the text is valid.
pub(crate) fn read_optional_seconds(
    target: &mut Option<Duration>,
    text: &str,
    bounds: RangeInclusive<f64>,
) -> bool {
    if text.is_empty() {
        *target = None;
        return true;
    }
    let mut value = Duration::ZERO;
    let is_valid = read_seconds(&mut value, text, bounds);
    *target = is_valid.then_some(value);
    is_valid
}

/// Parses fractional seconds within `bounds` into `target`; returns whether the text is valid.
pub(crate) fn read_seconds(target: &mut Duration, text: &str, bounds: RangeInclusive<f64>) -> bool {
    let mut value = 0.0;
    let accepted = read_number(&mut value, text, bounds);
    if accepted {
        *target = Duration::from_secs_f64(value);
    }
    accepted
}
