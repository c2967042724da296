//! Soak test that runs gateway instances under randomized, seeded faults.
//!
//! Each instance is a separate `geraniummastd` process. The platform is simulated in this process:
//! its store, servers, load balancer and callers. Connections to the store and to the servers pass
//! through loopback proxies. Faults are injected from outside the instances: as signals, in the
//! proxies, and in the simulated store and servers. The observations of callers and servers are
//! checked against the documented guarantees; the instances' own statements are not trusted.

mod answer_body;
mod backend_answers;
mod backend_connection;
mod backend_fault;
mod backend_keys;
mod backend_orders;
mod backend_process;
mod call_record;
mod caller_session;
mod changes_beside;
mod cold_checker;
#[cfg(test)]
mod cold_checker_tests;
mod configuration_checker;
#[cfg(test)]
mod configuration_checker_tests;
mod connection_policy;
mod evacuation_checker;
#[cfg(test)]
mod evacuation_checker_tests;
mod evacuation_fault;
mod execution_record;
mod fault_event;
mod fault_injector;
mod fault_schedule;
mod foreign_entry;
#[cfg(test)]
mod foreign_entry_tests;
mod guarantee_checker;
#[cfg(test)]
mod guarantee_checker_tests;
mod instance_faults;
mod instance_guard;
#[cfg(test)]
mod instance_guard_tests;
mod instance_process;
mod instance_supervisor;
mod key_recovery;
mod limit_checker;
#[cfg(test)]
mod limit_checker_tests;
mod link_proxy;
mod loopback_hosts;
#[cfg(test)]
mod loopback_hosts_tests;
mod notice_checker;
#[cfg(test)]
mod notice_checker_tests;
mod order_checker;
#[cfg(test)]
mod order_checker_tests;
mod poison_checker;
#[cfg(test)]
mod poison_checker_tests;
mod poison_request;
mod probe_session;
mod process_exit;
#[cfg(test)]
mod process_exit_tests;
mod reach_checker;
#[cfg(test)]
mod reach_checker_tests;
mod restore_drill;
#[cfg(test)]
mod restore_drill_tests;
mod running_request;
mod sent_signal;
mod server_cuts;
#[cfg(test)]
mod server_cuts_tests;
mod server_departures;
#[cfg(test)]
mod server_departures_tests;
mod signal_series;
mod simulated_backend;
mod simulated_balancer;
mod simulated_store;
#[cfg(test)]
mod simulated_store_tests;
mod soak_arguments;
mod soak_ledger;
mod soak_plan;
mod soak_routes;
mod soak_run;
mod soak_world;
mod socket_finder;
mod store_objects;
#[cfg(test)]
mod store_objects_tests;

pub use {
    changes_beside::NewerKind,
    simulated_store::SimulatedStore,
    soak_plan::{FaultScenario, SoakPlan},
    soak_run::SoakReport,
    socket_finder::{ConnectionEnds, SocketFinder, SocketNumber, open_sockets},
};

/// Imports used throughout the crate.
mod prelude {
    pub(crate) use {
        crate::{
            backend_fault::BackendFault,
            backend_keys::BackendKeys,
            backend_process::BackendProcess,
            call_record::{CallOutcome, CallRecord, RequestKind},
            cold_checker::ColdPeriod,
            connection_policy::ConnectionPolicy,
            execution_record::{ExecutionOutcome, ExecutionRecord},
            fault_event::{FaultEvent, StoreFault},
            foreign_entry::ForeignEntry,
            instance_process::InstanceProcess,
            link_proxy::{LinkProxy, ProxyMode},
            loopback_hosts::LoopbackHosts,
            process_exit::ProcessExit,
            restore_drill::RestoreDrill,
            sent_signal::SentSignal,
            signal_series::SignalSeries,
            simulated_backend::SimulatedBackend,
            simulated_balancer::SimulatedBalancer,
            soak_ledger::{DisturbanceTarget, LimitPeriod, SoakLedger},
            soak_world::SoakWorld,
            store_objects::StoreObjects,
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
        indexmap::{IndexMap, IndexSet},
        rand::{RngExt, SeedableRng, rngs::StdRng},
        std::{
            net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4},
            path::{Path, PathBuf},
            sync::{
                Arc, Mutex,
                atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
            },
            time::Duration,
        },
    };
}

/// Runs the command-line tool with the arguments of this process.
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

/// Runs one plan: starts all parts, injects its faults and checks the guarantees.
pub async fn run_plan(plan: &SoakPlan) -> eyre::Result<SoakReport> {
    soak_run::run_plan(plan).await
}
