//! Load balancing of the slices of an exclusive service.
//!
//! The leader of a part measures the busy slot time of each slice and counts keys in a bounded
//! sketch. From both, the planner proposes a small number of changes: give a hot key its own slice,
//! move a slice off the busiest server, split a slice that is too heavy to move, and merge cold
//! adjacent slices.

mod balance_limits;
mod balance_planner;
mod hot_key;
mod key_sketch;
mod load_meter;
mod load_projection;
mod load_report;
mod planned_slice;
mod server_capacity;

pub use {
    balance_limits::BalanceLimits, balance_planner::BalancePlanner, hot_key::HotKey,
    key_sketch::KeySketch, load_meter::LoadMeter, load_report::LoadReport,
    server_capacity::ServerCapacity,
};

/// Imports used throughout the crate.
mod prelude {
    pub(crate) use {
        crate::{load_projection::LoadProjection, planned_slice::PlannedSlice, *},
        geraniummast_model::*,
        geraniummast_ownership::SliceChange,
        indexmap::IndexMap,
        std::time::Duration,
    };
}
