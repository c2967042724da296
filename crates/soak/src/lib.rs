//! A soak of real processes under seeded faults.
//!
//! Instances run as processes of their own. The store, the servers and the callers are stand-ins in
//! this process; links to the store and to the servers pass through loopback proxies. Faults come
//! from outside: signals, and what the proxies and stand-ins do. What callers and servers saw is
//! held against the promises of the users' pages; the instances' own word counts for nothing.

mod answer_body;
mod backend_fault;
mod backend_keys;
mod backend_life;
mod backend_standin;
mod balancer_view;
mod call_record;
mod caller_habit;
mod caller_session;
mod fault_event;
mod fault_player;
mod instance_faults;
mod instance_keeper;
mod instance_process;
mod link_proxy;
mod object_shelf;
mod object_standin;
mod process_end;
#[cfg(test)]
mod process_end_tests;
mod promise_checks;
#[cfg(test)]
mod promise_checks_tests;
mod run_record;
mod sent_signal;
mod signal_series;
mod soak_arguments;
mod soak_ledger;
mod soak_plan;
mod soak_routes;
mod soak_run;
mod soak_world;

pub use {
    soak_plan::{FaultScenario, SoakPlan},
    soak_run::SoakReport,
};

/// Imports used throughout the crate.
mod prelude {
    pub(crate) use {
        crate::{
            backend_fault::BackendFault,
            backend_keys::BackendKeys,
            backend_life::BackendLife,
            backend_standin::BackendStandin,
            balancer_view::BalancerView,
            call_record::{CallEnd, CallRecord, CallerKind},
            caller_habit::CallerHabit,
            fault_event::{FaultEvent, StoreFault},
            instance_process::InstanceProcess,
            link_proxy::{LinkProxy, ProxyMode},
            object_shelf::ObjectShelf,
            object_standin::ObjectStandin,
            process_end::ProcessEnd,
            run_record::{RunEnd, RunRecord},
            sent_signal::SentSignal,
            signal_series::SignalSeries,
            soak_ledger::{Disturbed, SoakLedger},
            soak_world::SoakWorld,
            *,
        },
        async_io::Timer,
        bytes::Bytes,
        event_listener::Event,
        futures_lite::future,
        geraniummast_model::MonoTime,
        geraniummast_net::*,
        geraniummast_platform::*,
        geraniummast_routing::*,
        http::{Request, Response, StatusCode},
        http_body_util::{BodyExt, Full},
        indexmap::IndexMap,
        rand::{RngExt, SeedableRng, rngs::StdRng},
        std::{
            net::{Ipv4Addr, SocketAddr},
            path::{Path, PathBuf},
            sync::{
                Arc, Mutex,
                atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
            },
            time::Duration,
        },
    };
}

/// Runs the tool with the process's arguments.
pub fn run() -> std::process::ExitCode {
    match soak_arguments::SoakArguments::from_env() {
        Ok(Some(arguments)) => soak_run::run_all(&arguments),
        Ok(None) => {
            print!("{}", soak_arguments::SoakArguments::HELP);
            std::process::ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}; `geraniummast-soak --help` shows how to use it");
            std::process::ExitCode::from(2)
        }
    }
}

/// Plays one seed.
pub async fn run_plan(plan: &SoakPlan) -> eyre::Result<SoakReport> {
    soak_run::run_plan(plan).await
}
