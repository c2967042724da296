//! Decisions on requests: admission control, deduplication, retries, server health and refusals.
//!
//! The types take events and the current time and return the next step. The crate uses no sockets,
//! clocks or random numbers.

mod admission_table;
mod dedup_entry;
mod dedup_limits;
mod dedup_table;
mod health_table;
mod refusal_notice;
mod refusal_reason;
mod retry_budget;
mod run_outcome;
mod server_queue;
mod shed_limit;
mod waiting_request;

pub use {
    admission_table::{AdmissionStep, AdmissionTable, DequeueStep, SlotEnd, SlotLimit},
    dedup_entry::{DedupEntry, RecordedAnswer, RunStage},
    dedup_limits::DedupLimits,
    dedup_table::{DedupQuery, DedupStep, DedupTable},
    health_table::{HealthState, HealthTable},
    refusal_notice::RefusalNotice,
    refusal_reason::RefusalReason,
    retry_budget::RetryBudget,
    run_outcome::RunOutcome,
    server_queue::ServerQueue,
    shed_limit::ShedLimit,
    waiting_request::WaitingRequest,
};

/// Common imports of the crate's modules.
mod prelude {
    pub(crate) use {
        crate::{waiting_request::LOWEST_PRIORITY, *},
        geraniummast_model::{MonoTime, ServerName},
        indexmap::IndexMap,
        std::{
            collections::{BTreeMap, VecDeque},
            fmt::{self, Display, Formatter},
            time::Duration,
        },
        uuid::Uuid,
    };
}
