//! Decisions on ownership: who leads a part, which server owns a slice, and until when.
//!
//! Only a conditional update of a part's record in the store decides either. What is kept in memory
//! here bounds time: leases of leaders and grants of servers.

mod grant_order;
mod grant_table;
mod led_part;
mod part_layout;
mod rendezvous_rank;
mod route_decision;
mod server_clock;
mod slice_change;
mod timing_plan;

pub use {
    grant_order::GrantOrder, grant_table::GrantTable, led_part::LedPart, part_layout::PartLayout,
    rendezvous_rank::RendezvousRank, route_decision::RouteDecision, server_clock::ServerClock,
    slice_change::SliceChange, timing_plan::TimingPlan,
};

/// Imports used throughout the crate.
mod prelude {
    pub(crate) use {
        crate::*,
        geraniummast_configuration::{ServerDeclaration, ServiceKind},
        geraniummast_model::*,
        indexmap::IndexMap,
        std::time::Duration,
    };
}
