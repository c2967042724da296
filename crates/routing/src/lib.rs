//! Decisions of the request path: which route, which server, when to wait, retry or refuse, and
//! which server holds which keys.
//!
//! Nothing here reads a clock, a socket or a random source; state, event and `now` come in, what to
//! do next comes out.

mod answer_verdict;
mod drain_meter;
mod key_lead;
mod key_piece;
mod key_planner;
mod key_range;
mod key_record;
mod key_takeover;
mod lead_moves;
mod lead_timing;
mod life_end;
mod load_outlook;
mod load_sums;
mod load_tracker;
mod move_work;
mod order_book;
mod record_delta;
mod record_wire;
mod retry_window;
mod route_rule;
mod route_table;
mod sample_window;
mod server_choice;
mod server_entry;
mod server_roster;
mod server_subset;
mod service_rule;
mod split_cursor;
mod usual_fill;
mod waiting_queue;
mod watch_duty;

pub use {
    answer_verdict::{AnswerFacts, AnswerVerdict},
    drain_meter::DrainMeter,
    key_lead::KeyLead,
    key_planner::{KeyPlan, KeyPlanner, PlannedServer},
    key_range::{KeyRange, RangeState},
    key_record::{KeyRecord, LeaderMark, ServerMark},
    key_takeover::{LeaderView, TakeoverStep},
    lead_timing::LeadTiming,
    life_end::LifeEnd,
    load_outlook::LoadOutlook,
    load_tracker::{LoadTracker, ReportedLoad},
    move_work::MoveStep,
    order_book::OrderBook,
    record_delta::{RangeMove, RecordDelta},
    record_wire::{RecordFault, RecordWire},
    retry_window::RetryWindow,
    route_rule::{RouteRule, SplitPart},
    route_table::{RequestLimits, RouteTable},
    sample_window::SampleWindow,
    server_choice::{ChoiceInput, ChoiceStep, ServerChoice},
    server_entry::{ServerEntry, ServerState},
    server_roster::{RosterChange, ServerRoster},
    server_subset::{InstancePlace, InstancePlaces, ServerSubset},
    service_rule::ServiceRule,
    split_cursor::SplitCursor,
    usual_fill::UsualFill,
    waiting_queue::{QueueRank, QueueTicket, WaitingQueue},
    watch_duty::{WatchCandidate, WatchDuty},
};

/// Imports used throughout the crate.
mod prelude {
    pub(crate) use {
        crate::*,
        geraniummast_model::MonoTime,
        indexmap::IndexMap,
        serde::{Deserialize, Serialize},
        std::{
            collections::VecDeque,
            fmt::{self, Display, Formatter},
            net::SocketAddr,
            time::Duration,
        },
    };
}
