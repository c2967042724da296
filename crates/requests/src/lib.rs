//! Decisions on requests: admission to a server's slots, repeats, retries and truthful refusals.
//!
//! Each table takes an event and the time and returns what to do next. No sockets, clocks or random
//! numbers are used here.

mod admission_table;
mod health_table;
mod refusal_notice;
mod refusal_reason;
mod repeat_bounds;
mod repeat_entry;
mod repeat_memory;
mod retry_budget;
mod run_outcome;
mod server_queue;
mod shed_limit;
mod waiting_request;

pub use {
    admission_table::{AdmissionStep, AdmissionTable, CallStep, SlotEnd, SlotLimit},
    health_table::{HealthState, HealthTable},
    refusal_notice::RefusalNotice,
    refusal_reason::RefusalReason,
    repeat_bounds::RepeatBounds,
    repeat_entry::{KeptAnswer, RepeatEntry, RepeatStage},
    repeat_memory::{RepeatMemory, RepeatQuery, RepeatStep},
    retry_budget::RetryBudget,
    run_outcome::RunOutcome,
    server_queue::ServerQueue,
    shed_limit::ShedLimit,
    waiting_request::WaitingRequest,
};

/// Imports used throughout the crate.
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
