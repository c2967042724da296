//! Stand-ins for the platform, servers and callers, and what is measured with them.
//!
//! The stand-ins listen on real ports of the loopback interface; the instances are the daemon's own
//! code. Truth comes from the servers' and callers' records, never from the router's counters.

mod instance_bench;
mod server_standin;
mod store_standin;
mod truth_ledger;

pub use {
    instance_bench::{BenchPlan, InstanceBench},
    server_standin::{ServerBehaviour, ServerStandin},
    store_standin::{StoreFault, StoreStandin},
    truth_ledger::{RunRecord, TruthLedger},
};

/// Imports used throughout the crate.
mod prelude {
    pub(crate) use {
        crate::*,
        async_io::Timer,
        bytes::Bytes,
        geraniummast_configuration::*,
        geraniummast_daemon::*,
        geraniummast_model::*,
        geraniummast_net::*,
        geraniummast_ownership::GrantOrder,
        geraniummast_store::*,
        http::{Method, Request, Response, StatusCode},
        http_body_util::{BodyExt, Full},
        hyper::body::Incoming,
        indexmap::IndexMap,
        serde_json::Value,
        std::{
            net::SocketAddr,
            sync::{Arc, Mutex},
            time::Duration,
        },
    };
}

/// Runs the tool with the process's arguments.
pub fn run() -> std::process::ExitCode {
    eprintln!("geraniummast-lab: no verb is built yet");
    std::process::ExitCode::from(2)
}
