//! Client of the platform's object API: versions, conditional updates and watches.
//!
//! A write whose answer is lost is never guessed at: it is resolved by reading the object back and
//! looking for the write's own identity.

mod store_client;
mod store_error;
mod stored_object;
mod watch_batch;
mod write_condition;
mod write_outcome;

pub use {
    store_client::StoreClient,
    store_error::StoreError,
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
        geraniummast_model::ObjectPath,
        geraniummast_net::{Dialer, ExchangeError, HttpClient, WorkerPool},
        http::{Method, Request, Response, StatusCode, header},
        serde::{Deserialize, Serialize, de::DeserializeOwned},
        serde_json::Value,
        std::{
            fmt::{self, Display, Formatter},
            net::SocketAddr,
            sync::Arc,
            time::Duration,
        },
    };
}
