//! Functions that parse the value of a setting into a target; each returns whether the text was
//! accepted.

use crate::prelude::*;

/// Reads a number within `bounds` into `target`.
pub fn read_number<T>(target: &mut T, text: &str, bounds: std::ops::RangeInclusive<T>) -> bool
where
    T: std::str::FromStr + PartialOrd,
{
    match text.parse() {
        Ok(value) if bounds.contains(&value) => {
            *target = value;
            true
        }
        _ => false,
    }
}

/// Reads a duration in milliseconds within `bounds` into `target`.
pub fn read_millis(
    target: &mut Duration,
    text: &str,
    bounds: std::ops::RangeInclusive<u64>,
) -> bool {
    let mut value = 0;
    let accepted = read_number(&mut value, text, bounds);
    if accepted {
        *target = Duration::from_millis(value);
    }
    accepted
}

/// Reads an address into `target`. A wildcard is not accepted, because peers could not connect to it.
pub fn read_address(target: &mut SocketAddr, text: &str) -> bool {
    match text.parse::<SocketAddr>() {
        Ok(value) if !value.ip().is_unspecified() => {
            *target = value;
            true
        }
        _ => false,
    }
}

/// Reads a comma-separated list of addresses into `target`.
pub fn read_addresses(target: &mut Vec<SocketAddr>, text: &str) -> bool {
    let fields = text.split(',').filter(|field| !field.is_empty());
    match fields.map(str::parse).collect() {
        Ok(value) => {
            *target = value;
            true
        }
        Err(_) => false,
    }
}

/// Reads a name of 1 to 64 ASCII letters, digits, `-`, `_` and `.` into `target`.
pub fn read_name(target: &mut String, text: &str) -> bool {
    let accepted = (1..=64).contains(&text.len())
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
    if accepted {
        *target = text.into();
    }
    accepted
}

/// Reads a secret of 16 to 256 visible ASCII characters into `target`.
pub fn read_secret(target: &mut String, text: &str) -> bool {
    let accepted =
        (16..=256).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic());
    if accepted {
        *target = text.into();
    }
    accepted
}
