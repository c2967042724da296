//! Functions that parse the value of a gateway setting into a target; each returns whether the text
//! is valid.

use crate::prelude::*;
use geraniummast_settings::{read_address, read_number};
use std::{
    net::{IpAddr, Ipv4Addr},
    ops::RangeInclusive,
    str::FromStr,
};

/// Address of a setting that has not been read.
pub(crate) const UNSPECIFIED: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Parses an address into `target` unless the text is empty.
pub(crate) fn read_optional_address(target: &mut Option<SocketAddr>, text: &str) -> bool {
    let mut address = UNSPECIFIED;
    let is_valid = text.is_empty() || read_address(&mut address, text);
    *target = (is_valid && !text.is_empty()).then_some(address);
    is_valid
}

/// Parses a number within `bounds` into `target` unless the text is empty.
pub(crate) fn read_optional_number<T: FromStr + PartialOrd + Default>(
    target: &mut Option<T>,
    text: &str,
    bounds: RangeInclusive<T>,
) -> bool {
    let mut number = T::default();
    let is_valid = text.is_empty() || read_number(&mut number, text, bounds);
    *target = (is_valid && !text.is_empty()).then_some(number);
    is_valid
}

/// Parses fractional seconds within `bounds` into `target` unless the text is empty.
pub(crate) fn read_optional_seconds(
    target: &mut Option<Duration>,
    text: &str,
    bounds: RangeInclusive<f64>,
) -> bool {
    let mut value = Duration::ZERO;
    let is_valid = text.is_empty() || read_seconds(&mut value, text, bounds);
    *target = (is_valid && !text.is_empty()).then_some(value);
    is_valid
}

/// Parses fractional seconds within `bounds` into `target`.
pub(crate) fn read_seconds(target: &mut Duration, text: &str, bounds: RangeInclusive<f64>) -> bool {
    let mut value = 0.0;
    let accepted = read_number(&mut value, text, bounds);
    if accepted {
        *target = Duration::from_secs_f64(value);
    }
    accepted
}
