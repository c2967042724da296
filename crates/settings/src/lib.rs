//! Settings of a program from flags and environment variables.
//!
//! All invalid settings are collected and reported together, each with the flag or variable that gave
//! its value, before the program starts.

mod setting_error;
mod setting_spec;
mod setting_table;
mod settings_outcome;
mod value_reader;

pub use {
    setting_error::SettingError,
    setting_spec::SettingSpec,
    setting_table::SettingTable,
    settings_outcome::SettingsOutcome,
    value_reader::{
        read_address, read_addresses, read_millis, read_name, read_number, read_secret,
    },
};

/// Imports used throughout the crate.
mod prelude {
    pub(crate) use {
        crate::*,
        indexmap::IndexMap,
        std::{
            fmt::{self, Display, Formatter},
            net::SocketAddr,
            time::Duration,
        },
    };
}
