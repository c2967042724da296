//! Stand-ins for the platform, servers and callers, and what is measured with them.
//!
//! The stand-ins listen on real ports of the loopback interface; the instances are the daemon's own
//! code. Truth comes from the servers' and callers' records, never from the router's counters.

mod bench_service;
mod caller_load;
mod caller_record;
mod caller_schedule;
mod cluster_plan;
mod demo_command;
mod fault_event;
mod fault_injector;
mod figure_bounds;
mod figure_builder;
mod head_operator;
mod instance_directory;
mod instance_list;
mod lab_arguments;
mod link_forwarder;
mod link_table;
mod measure_command;
mod measured_figures;
mod resource_usage;
mod revision_observer;
mod scenario_plan;
mod scenario_run;
mod scenarios;
mod server_answer;
mod server_behaviour;
mod server_exchange;
mod server_standin;
mod server_state;
mod simulated_store;
mod store_exchange;
mod store_objects;
mod straight_sender;
mod straight_servers;
mod test_cluster;
mod truth_ledger;
mod unavailable_time;

pub use {
    bench_service::BenchService,
    cluster_plan::ClusterPlan,
    head_operator::HeadOperator,
    instance_directory::{DirectoryEntry, InstanceDirectory},
    link_forwarder::LinkForwarder,
    link_table::LinkTable,
    measured_figures::{MeasuredFigures, SpreadFigures},
    server_behaviour::ServerBehaviour,
    server_standin::ServerStandin,
    simulated_store::{SimulatedStore, StoreFault},
    test_cluster::TestCluster,
    truth_ledger::{LedgerCounts, RunRecord, TruthLedger},
};

/// Imports used throughout the crate.
mod prelude {
    pub(crate) use {
        crate::{
            caller_load::{CallerLoad, CallerPath},
            caller_record::CallerRecord,
            caller_schedule::{LoadShape, ScheduledCall},
            fault_event::{FaultEvent, InstanceChoice},
            fault_injector::{FaultInjector, FaultNotes},
            figure_bounds::FigureBound,
            figure_builder::FigureBuilder,
            instance_list::InstanceList,
            resource_usage::ResourceUsage,
            revision_observer::RevisionObserver,
            scenario_plan::ScenarioPlan,
            scenario_run::ScenarioRun,
            server_answer::ServerAnswer,
            server_state::ServerState,
            simulated_store::StoreState,
            store_objects::{ObjectState, StoreObjects},
            straight_sender::{StraightChoice, StraightSender},
            straight_servers::StraightServers,
            unavailable_time::UnavailableTime,
            *,
        },
        async_io::Timer,
        bytes::Bytes,
        geraniummast_configuration::*,
        geraniummast_daemon::{DaemonSettings, GrantReplyWire, GrantWire, InstanceHandle},
        geraniummast_model::*,
        geraniummast_net::*,
        geraniummast_ownership::GrantOrder,
        geraniummast_requests::RunOutcome,
        geraniummast_store::{
            ListedInstance, ListedState, ObjectVersion, StoreClient, WatchBatch, WatchEvent,
            WriteCondition, WriteOutcome,
        },
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
    match lab_arguments::LabCommand::from_env() {
        Ok(lab_arguments::LabCommand::Help) => {
            print!("{}", lab_arguments::LabCommand::HELP);
            std::process::ExitCode::SUCCESS
        }
        Ok(lab_arguments::LabCommand::Demo { stay }) => demo_command::demo(stay),
        Ok(lab_arguments::LabCommand::List) => measure_command::list(),
        Ok(lab_arguments::LabCommand::Measure {
            scenario,
            seed,
            json,
            verbose,
        }) => {
            if verbose {
                logforth::starter_log::stderr().apply();
                log::set_max_level(log::LevelFilter::Error);
            }
            measure_command::measure(scenario.as_deref(), seed, json)
        }
        Err(error) => {
            eprintln!("{error}; `geraniummast-lab --help` shows how to use it");
            std::process::ExitCode::from(2)
        }
    }
}

/// Runs the scenario `name` and takes its figures.
pub async fn measured(name: &str, seed: u64) -> eyre::Result<MeasuredFigures> {
    let plans = scenarios::all();
    let plan = plans.into_iter().find(|plan| plan.name == name);
    let plan = plan.ok_or_else(|| eyre::eyre!("no scenario {name}"))?;
    scenario_run::ScenarioRun::new(&plan, seed).measure().await
}
