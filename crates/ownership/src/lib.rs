//! Decisions on ownership: who leads a part, which server owns a slice, and until when.
//!
//! Only a conditional update of a part's record in the store decides either. What is kept in memory
//! here bounds time: loans of a trio to a elector, and grants to servers.

mod election_step;
mod elector_records;
mod elector_votes;
mod fleet_view;
mod grant_order;
mod grant_table;
mod leader_authority;
mod leader_elector;
mod led_part;
mod part_layout;
mod record_plan;
mod rendezvous_rank;
mod route_decision;
mod server_clock;
mod server_health;
mod slice_assigner;
mod slice_change;
mod timing_fault;
mod timing_settings;
mod vote_reply;
mod vote_request;
mod vote_tally;
mod voter_state;

pub use {
    election_step::ElectionStep,
    fleet_view::{FleetView, LiveInstance},
    grant_order::GrantOrder,
    grant_table::{GrantStep, GrantTable},
    leader_authority::LeaderAuthority,
    leader_elector::LeaderElector,
    led_part::LedPart,
    part_layout::PartLayout,
    record_plan::RecordPlan,
    rendezvous_rank::RendezvousRank,
    route_decision::RouteDecision,
    server_clock::ServerClock,
    server_health::{ServerHealth, ServerState},
    slice_assigner::SliceAssigner,
    slice_change::SliceChange,
    timing_fault::TimingFault,
    timing_settings::TimingSettings,
    vote_reply::{VoteOutcome, VoteReply},
    vote_request::{VoteRelease, VoteRequest},
    vote_tally::VoteTally,
    voter_state::VoterState,
};

/// Imports used throughout the crate.
mod prelude {
    pub(crate) use {
        crate::*, geraniummast_configuration::ServiceKind, geraniummast_model::*,
        indexmap::IndexMap, std::time::Duration,
    };
}
