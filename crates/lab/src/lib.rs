//! Simulated platform, servers and callers, and measurements with them.
//!
//! The simulated components listen on real ports of the loopback interface; the instances run the
//! daemon's code. Figures come from the records of servers and callers, never from the router's own
//! counters.

mod caller_load;
mod caller_record;
mod caller_schedule;
mod cluster_plan;
mod cluster_service;
mod configuration_operator;
mod demo_command;
mod direct_sender;
mod direct_servers;
mod fault_event;
mod fault_injector;
mod figure_bounds;
mod figure_builder;
mod ground_truth_ledger;
mod instance_list;
mod lab_arguments;
mod link_proxy;
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
mod server_state;
mod simulated_balancer;
mod simulated_server;
mod simulated_store;
mod store_exchange;
mod store_objects;
mod test_cluster;
mod unavailable_time;

pub use {
    cluster_plan::ClusterPlan,
    cluster_service::ClusterService,
    configuration_operator::ConfigurationOperator,
    ground_truth_ledger::{GroundTruthLedger, RunRecord, ViolationCounts},
    link_proxy::LinkProxy,
    link_table::LinkTable,
    measured_figures::{DurationSummary, MeasuredFigures},
    server_behaviour::ServerBehaviour,
    simulated_balancer::{BalancerTarget, SimulatedBalancer},
    simulated_server::SimulatedServer,
    simulated_store::{SimulatedStore, StoreFault},
    test_cluster::TestCluster,
};

/// Imports used throughout the crate.
mod prelude {
    pub(crate) use {
        crate::{
            caller_load::{CallerLoad, CallerPath},
            caller_record::CallerRecord,
            caller_schedule::{LoadProfile, ScheduledCall},
            direct_sender::{DirectSender, ServerSelection},
            direct_servers::DirectServers,
            fault_event::{FaultEvent, InstanceChoice},
            fault_injector::{FaultEffects, FaultInjector},
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

/// Runs the command-line tool with the arguments of the process.
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

/// Runs the scenario `name` with the load drawn from `seed` and returns its figures.
pub async fn measure_scenario(name: &str, seed: u64) -> eyre::Result<MeasuredFigures> {
    let plans = scenarios::all();
    let plan = plans.into_iter().find(|plan| plan.name == name);
    let plan = plan.ok_or_else(|| eyre::eyre!("unknown scenario `{name}`"))?;
    scenario_run::ScenarioRun::new(&plan, seed).measure().await
}
