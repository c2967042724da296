//! Runtime infrastructure: worker pools, TCP and HTTP connections, signals and logging.
//!
//! This crate makes no decisions about keys or requests.

mod answer_body;
mod block_list;
#[cfg(test)]
mod block_list_tests;
mod body_account;
mod body_pace;
#[cfg(test)]
mod body_pace_tests;
mod connection_activity;
#[cfg(test)]
mod connection_activity_tests;
mod connection_event;
mod exchange_error;
mod http_client;
mod http_connection;
mod http_listener;
mod http_stream;
mod lingering_close;
mod listener_step;
#[cfg(test)]
mod listener_step_tests;
mod log_output;
mod log_rate_limiter;
mod memory_budget;
mod memory_ledger;
#[cfg(test)]
mod memory_ledger_tests;
mod message_body;
mod one_shot_event;
mod open_connections;
mod process_runner;
mod process_signal;
#[cfg(test)]
mod process_signal_tests;
mod signal_mask;
#[cfg(test)]
mod signal_mask_tests;
mod signal_receiver;
mod state_mutex;
mod steady_clock;
mod stored_body;
#[cfg(test)]
mod stored_body_tests;
mod tcp_dialer;
mod tracked_connection;
mod tracked_stream;
#[cfg(test)]
mod tracked_stream_tests;
mod transfer_progress;
mod worker_pool;

pub use {
    body_account::{BodyAccount, BodyId, BodyStage},
    body_pace::{BodyLimits, BodyPace, PaceLimit},
    connection_activity::{ConnectionActivity, ConnectionPhase, StallKind, StallLimits},
    connection_event::ConnectionEvent,
    exchange_error::ExchangeError,
    http_client::{ExchangeLimits, HttpClient},
    http_connection::HttpConnection,
    http_listener::{HttpLimits, HttpListener},
    listener_step::ListenerStep,
    log_rate_limiter::LogRateLimiter,
    memory_budget::{MemoryBudget, MemoryDenial},
    memory_ledger::{MemoryLedger, MemoryLimits, MemoryVerdict},
    message_body::MessageBody,
    one_shot_event::OneShotEvent,
    open_connections::{ConnectionGuard, LAST_ANSWER_TIME, OpenConnections},
    process_runner::{EXIT_FAILURE, run_logged, run_process},
    process_signal::{ProcessPhase, ProcessSignal, SignalAction},
    signal_receiver::SignalReceiver,
    state_mutex::StateMutex,
    steady_clock::SteadyClock,
    stored_body::{BodyWriter, StoredBody, announced_bytes},
    tcp_dialer::{ConnectFuture, TcpDialer},
    transfer_progress::TransferProgress,
    worker_pool::WorkerPool,
};

/// Imports used throughout the crate.
mod prelude {
    pub(crate) use {
        crate::*,
        async_net::{TcpListener, TcpStream},
        bytes::Bytes,
        futures_lite::future,
        geraniummast_model::MonoTime,
        http::{Request, Response},
        http_body_util::{BodyExt, Full},
        indexmap::IndexMap,
        std::{
            fmt::{self, Display, Formatter},
            future::Future,
            io,
            net::SocketAddr,
            pin::Pin,
            sync::{Arc, Condvar, Mutex},
            time::Duration,
        },
    };
}
