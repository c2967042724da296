//! What a setting is: its names, its default and how its text is read.

use crate::prelude::*;

/// One setting of the daemon.
pub(crate) struct SettingSpec {
    /// Name of the flag without its dashes.
    pub(crate) name: &'static str,
    /// Default, none for a setting that must be given.
    pub(crate) default: Option<&'static str>,
    /// What is accepted, with its unit.
    pub(crate) expected: &'static str,
    /// One line of help.
    pub(crate) help: &'static str,
    /// Whether the value is hidden when printed.
    pub(crate) secret: bool,
    /// Reads a text into the settings; false when it is not accepted.
    pub(crate) read: fn(&mut DaemonSettings, &str) -> bool,
}

impl SettingSpec {
    /// Prefix of all environment variables.
    pub(crate) const VARIABLE_PREFIX: &'static str = "GERANIUMMAST_";

    /// Flag as written on the command line.
    pub(crate) fn flag(&self) -> String {
        format!("--{}", self.name)
    }

    /// Environment variable of the setting.
    pub(crate) fn variable(&self) -> String {
        let name = self.name.replace('-', "_").to_uppercase();
        format!("{}{name}", Self::VARIABLE_PREFIX)
    }
}

/// Reads a number within bounds into `target`.
pub(crate) fn number<T>(target: &mut T, text: &str, bounds: std::ops::RangeInclusive<T>) -> bool
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

/// Reads a duration in milliseconds within bounds into `target`.
pub(crate) fn millis(
    target: &mut Duration,
    text: &str,
    bounds: std::ops::RangeInclusive<u64>,
) -> bool {
    let mut value = 0;
    let accepted = number(&mut value, text, bounds);
    if accepted {
        *target = Duration::from_millis(value);
    }
    accepted
}

/// Reads an address into `target`; one that peers are told must not be a wildcard.
pub(crate) fn address(target: &mut SocketAddr, text: &str) -> bool {
    match text.parse::<SocketAddr>() {
        Ok(value) if !value.ip().is_unspecified() => {
            *target = value;
            true
        }
        _ => false,
    }
}

/// Reads addresses parted by commas into `target`.
pub(crate) fn addresses(target: &mut Vec<SocketAddr>, text: &str) -> bool {
    let fields = text.split(',').filter(|field| !field.is_empty());
    match fields.map(str::parse).collect() {
        Ok(value) => {
            *target = value;
            true
        }
        Err(_) => false,
    }
}

/// Reads a name of ASCII letters, digits, `-`, `_` and `.` into `target`.
pub(crate) fn name(target: &mut String, text: &str) -> bool {
    let accepted = (1..=64).contains(&text.len())
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
    if accepted {
        *target = text.into();
    }
    accepted
}

/// Reads a secret of at least 16 visible ASCII characters into `target`.
pub(crate) fn secret(target: &mut String, text: &str) -> bool {
    let accepted =
        (16..=256).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic());
    if accepted {
        *target = text.into();
    }
    accepted
}
