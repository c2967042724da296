//! Settings of a program from flags and environment variables.
//!
//! All faults are collected with their place and reported together, before anything starts.

mod setting_error;
mod setting_reader;
mod setting_spec;
mod setting_table;
mod value_reader;

pub use {
    setting_error::SettingError,
    setting_reader::SettingRequest,
    setting_spec::SettingSpec,
    setting_table::SettingTable,
    value_reader::{address, addresses, millis, name, number, secret},
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
