//! All settings of one program.

use crate::prelude::*;

/// Settings of one program; parsing, help and printing follow this table.
pub struct SettingTable<T: 'static> {
    /// First lines of the help text.
    pub usage: &'static str,
    /// Settings in the order in which they are printed.
    pub specs: &'static [SettingSpec<T>],
    /// Settings before any value is read.
    pub initial: fn() -> T,
    /// Findings on values that do not go together.
    pub conflicts: fn(&T) -> Vec<SettingError>,
}
