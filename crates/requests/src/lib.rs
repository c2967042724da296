//! Decisions on requests: admission to a server's slots, repeats, retries and truthful refusals.
//!
//! Each table takes an event and the time and returns what to do next. No sockets, clocks or random
//! numbers are used here.

mod admission_table;
mod refusal_notice;
mod refusal_reason;
mod run_outcome;

pub use {
    admission_table::{AdmissionStep, AdmissionTable, SlotLimit},
    refusal_notice::RefusalNotice,
    refusal_reason::RefusalReason,
    run_outcome::RunOutcome,
};

/// Imports used throughout the crate.
mod prelude {
    pub(crate) use {
        crate::*,
        geraniummast_model::ServerName,
        indexmap::IndexMap,
        std::{
            collections::VecDeque,
            fmt::{self, Display, Formatter},
            time::Duration,
        },
    };
}
