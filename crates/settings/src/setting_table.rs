//! Table of the settings of one program.

use crate::prelude::*;

/// Settings of one program, from which parsing, help text and printing are derived.
pub struct SettingTable<T: 'static> {
    /// Usage lines at the beginning of the help text.
    pub usage: &'static str,
    /// Definitions of the settings, in the order in which they are printed.
    pub specs: &'static [SettingSpec<T>],
    /// Creates the settings into which the values are read.
    pub initial: fn() -> T,
    /// Finds values that are valid on their own but contradict each other.
    pub conflicts: fn(&T) -> Vec<SettingError>,
}
