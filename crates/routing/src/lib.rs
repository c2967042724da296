//! Decisions of the request path: which route and server a request takes, when it waits, is retried
//! or refused, and which server owns which keys.
//!
//! No code here reads a clock, a socket or a random source. Callers pass in the state, the event
//! and the current time, and get back the next step.

mod answer_verdict;
mod completion_rate;
mod crash_window;
mod era_census;
mod era_tracker;
mod evacuation_table;
mod former_leaders;
mod grant_ledger;
mod incarnation_status;
mod key_exclusion;
mod key_leader;
mod key_planner;
mod key_range;
mod key_record;
mod key_span;
mod knowledge_age;
mod known_server;
mod leader_moves;
mod leader_succession;
mod leader_support;
mod leader_timing;
mod leader_view;
mod load_assumptions;
mod load_tracker;
mod move_step;
mod order_health;
mod planned_server;
mod quarantine_merge;
mod quarantine_record;
mod quarantine_table;
mod quota_client;
mod quota_holder;
mod quota_message;
mod range_tidying;
mod record_delta;
mod record_restore;
mod request_identity;
mod retry_budget;
mod revision_coverage;
mod roster_change;
mod roster_row;
mod route_rule;
mod route_table;
mod sample_window;
mod sent_fences;
mod server_entry;
mod server_limit;
mod server_loads;
mod server_reach;
mod server_roster;
mod server_selector;
mod server_subset;
mod server_warmup;
mod service_config;
mod settle_period;
mod store_revision;
mod stored_record;
mod supporter_selection;
mod suspect_entry;
mod suspect_report;
mod typical_occupancy;
mod unknown_incarnation;
mod waiting_queue;
mod warmup_bound;
mod watcher_selection;
mod weighted_round_robin;

pub use {
    answer_verdict::{AnswerFacts, AnswerVerdict},
    completion_rate::CompletionRate,
    crash_window::CrashWindow,
    era_tracker::{EraNotice, EraTracker, EraVerdict, StoreEra},
    evacuation_table::{EvacuationChange, EvacuationTable, EvacuationTimes},
    former_leaders::FormerLeaders,
    grant_ledger::GrantLedger,
    incarnation_status::IncarnationStatus,
    key_exclusion::{ExclusionChange, ExclusionTable, KeyExclusion, ProbeUrgency},
    key_leader::KeyLeader,
    key_planner::{KeyPlan, KeyPlanner},
    key_range::{KeyRange, RangeState},
    key_record::{FormerLeader, InstanceIncarnation, KeyRecord, ServerIncarnation},
    knowledge_age::{KnowledgeAge, KnowledgeReport, RefreshStep},
    leader_support::LeaderSupport,
    leader_timing::LeaderTiming,
    leader_view::{LeaderView, TakeoverStep},
    load_assumptions::LoadAssumptions,
    load_tracker::{LoadTracker, ReportedLoad},
    move_step::MoveStep,
    order_health::{OrderFailure, OrderHealth},
    planned_server::PlannedServer,
    quarantine_record::{QuarantineRecord, QuarantinedRequest, StoredQuarantine},
    quarantine_table::{QuarantineTable, SuspectChange},
    quota_client::{QuotaClient, QuotaStep},
    quota_holder::QuotaHolder,
    quota_message::{QuotaAsk, QuotaGrant},
    record_delta::{RangeMove, RecordDelta},
    record_restore::RestoreStep,
    request_identity::{RequestContent, RequestIdentity, TargetHash},
    retry_budget::RetryBudget,
    roster_change::RosterChange,
    route_rule::{RouteRule, WeightedService},
    route_table::{RequestLimits, RouteTable},
    sample_window::SampleWindow,
    sent_fences::{FenceFloor, FenceStep, SentFences},
    server_entry::{ServerEntry, ServerState},
    server_limit::{LimitChange, LimitNotice, LimitReport, ServerLimit},
    server_reach::{ReachChange, ReachFailure, ReachStep, ServerReach},
    server_roster::ServerRoster,
    server_selector::{SelectionOutcome, ServerCandidate, ServerSelector},
    server_subset::{InstancePosition, InstancePositions, ServerSubset},
    server_warmup::{ServerWarmup, WarmupChange},
    service_config::ServiceConfig,
    store_revision::StoreRevision,
    stored_record::{RecordError, StoredRecord},
    supporter_selection::{SupporterCandidate, SupporterSelection},
    suspect_entry::RequestStanding,
    suspect_report::{CrashVerdict, IncarnationHash, SuspectReport},
    typical_occupancy::TypicalOccupancy,
    waiting_queue::{QueueRank, QueueTicket, WaitingQueue},
    warmup_bound::WarmupBound,
    watcher_selection::{WatcherCandidate, WatcherSelection},
    weighted_round_robin::WeightedRoundRobin,
};

/// Imports used throughout the crate.
mod prelude {
    pub(crate) use {
        crate::*,
        geraniummast_model::MonoTime,
        indexmap::{IndexMap, IndexSet},
        serde::{Deserialize, Serialize},
        std::{
            collections::VecDeque,
            fmt::{self, Display, Formatter},
            net::SocketAddr,
            time::Duration,
        },
    };
}
