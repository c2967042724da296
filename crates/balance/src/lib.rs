//! Decisions on spreading the slices of an exclusive service by load.
//!
//! The leader of a part meters the busy slot time of each slice and counts its keys in a bounded
//! sketch. From both, the planner proposes few changes: set a hot key apart, move a slice from the
//! busiest server, split a slice that is too heavy to move, and join cold neighbours again.

mod balance_limits;
mod balance_planner;
mod hot_key;
mod key_sketch;
mod load_meter;
mod load_report;
mod planned_slice;
mod server_capacity;
mod spread_view;

pub use {
    balance_limits::BalanceLimits, balance_planner::BalancePlanner, hot_key::HotKey,
    key_sketch::KeySketch, load_meter::LoadMeter, load_report::LoadReport,
    server_capacity::ServerCapacity,
};

/// Imports used throughout the crate.
mod prelude {
    pub(crate) use {
        crate::{planned_slice::PlannedSlice, spread_view::SpreadView, *},
        geraniummast_model::*,
        geraniummast_ownership::SliceChange,
        indexmap::IndexMap,
        std::time::Duration,
    };
}
