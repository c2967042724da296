//! Client of the platform's object API, with versioned objects, conditional writes and watches.
//!
//! If the response to a write is lost, the client reads the object back and looks for the write id
//! to find out whether the write took effect.

mod call_meter;
mod listed_instance;
mod object_cache;
mod retry_backoff;
mod store_client;
mod store_error;
mod store_state;
mod stored_object;
mod watch_batch;
mod write_condition;
mod write_outcome;

pub use {
    call_meter::{CallKind, CallMeter},
    listed_instance::{ListedInstance, ListedState},
    object_cache::{CacheProgress, ObjectCache},
    retry_backoff::RetryBackoff,
    store_client::StoreClient,
    store_error::StoreError,
    store_state::StoreState,
    stored_object::{ObjectVersion, StoredObject},
    watch_batch::{WatchBatch, WatchEvent},
    write_condition::WriteCondition,
    write_outcome::WriteOutcome,
};

/// Imports used throughout the crate.
mod prelude {
    pub(crate) use {
        crate::*,
        bytes::Bytes,
        geraniummast_model::{MonoTime, ObjectPath},
        geraniummast_net::{ExchangeError, HttpClient, SteadyClock, TcpDialer, WorkerPool},
        http::{Method, Request, Response, StatusCode, header},
        indexmap::{IndexMap, IndexSet},
        serde::{Deserialize, Serialize, de::DeserializeOwned},
        serde_json::Value,
        std::{
            fmt::{self, Display, Formatter},
            net::SocketAddr,
            sync::{Arc, Mutex},
            time::Duration,
        },
    };
}
