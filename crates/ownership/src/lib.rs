//! Decisions on ownership: which instance leads a part, which server owns a slice, and until when.
//!
//! The record of a part in the store names both and changes only by conditional updates. The state
//! that is kept in memory here limits their time: a leader holds a lease while a majority of the
//! part's members (the recorded leader and its standbys) votes for it, and a server serves a slice
//! for as long as the leader's grant is valid.

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
mod record_builder;
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
    record_builder::RecordBuilder,
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
