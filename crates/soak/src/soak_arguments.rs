//! Command-line arguments of the soak test.

use crate::prelude::*;
use lexopt::prelude::{Long, Short, ValueExt};

/// Seeds to run, and the size and duration of each run.
pub(crate) struct SoakArguments {
    pub(crate) seeds: Vec<u64>,
    pub(crate) daemon_path: PathBuf,
    pub(crate) log_dir: PathBuf,
    pub(crate) instances: usize,
    pub(crate) servers: usize,
    pub(crate) idle_routes: usize,
    pub(crate) fault_seconds: u64,
    pub(crate) scenario: FaultScenario,
}

impl SoakArguments {
    /// Text printed by `--help`.
    pub(crate) const HELP: &'static str = "\
Runs gateway instances as separate processes on loopback and injects randomized faults

Usage:
  geraniummast-soak [--seeds N] [--first SEED] [--seed SEED] [--instances N] [--servers N]
                    [--idle-routes N] [--seconds S] [--crashes] [--quick-restarts] [--unlisted-restarts]
                    [--restores] [--beside-restores] [--beside-foreign-entries]
                    [--changes-beside KIND]
                    [--changes-at-paused-helpers] [--evacuations] [--unanswered-orders]
                    [--daemon PATH] [--logs FOLDER]

Options:
  --seeds N       number of consecutive seeds to run, 1 by default
  --first SEED    first of these seeds, 1 by default
  --seed SEED     run this seed only
  --instances N   number of instances, 4 by default, at most 100; a run has two callers
                  per instance, but at least 24
  --servers N     servers in each of the two main services, 6 by default
  --idle-routes N routes that nobody sends requests for, 0 by default, to make the
                  configuration large
  --seconds S     duration of the fault injection in seconds, 12 by default
  --crashes       crash servers only, to measure when their keys are granted again
  --quick-restarts
                  end servers with keys and start them again at once while the store is silent
  --unlisted-restarts
                  the same beside outages of the store, with servers that register late
  --restores      restore the store from older copies only, to measure for how long keys are
                  without a holder
  --beside-restores
                  random faults beside restores of the store from older copies
  --beside-foreign-entries
                  random faults and kills of all instances beside entries of another writer that
                  name no server or cannot be read
  --changes-beside KIND
                  change the configuration and have servers leave all through the run, beside
                  faults of one kind: limits, poison, cuts, notices, restored (the store
                  comes back from an older copy) or silences (the same without a restore)
  --changes-at-paused-helpers
                  cut the first instance off from all servers and change the configuration
                  while two of the others are paused for a moment
  --evacuations   evacuate data centres of the servers, one and two at a time, while instances
                  are killed; a round takes 22 s
  --unanswered-orders
                  have servers with keys leave all orders unanswered, twice, all or some of them;
                  each must have work again afterwards
  --daemon PATH   path of geraniummastd, by default in the directory of this program
  --logs FOLDER   directory for the logs of the instances, target/soak by default
  -h, --help      print this help

Exit codes:
  0  no guarantee was violated
  1  a guarantee was violated; the seed, the violations and the log directory are printed
  2  the command line is invalid, or a run failed to complete
";

    /// Parses the arguments of this process; `None` if help was requested.
    pub(crate) fn from_env() -> Result<Option<Self>, lexopt::Error> {
        let mut parser = lexopt::Parser::from_env();
        let (mut count, mut first) = (1, 1);
        let own_path = std::env::current_exe().unwrap_or_default();
        let mut arguments = Self {
            seeds: Vec::new(),
            daemon_path: own_path.with_file_name("geraniummastd"),
            log_dir: PathBuf::from("target/soak"),
            instances: 4,
            servers: 6,
            idle_routes: 0,
            fault_seconds: 12,
            scenario: FaultScenario::Random,
        };
        while let Some(argument) = parser.next()? {
            match argument {
                Short('h') | Long("help") => return Ok(None),
                Long("seeds") => count = parser.value()?.parse()?,
                Long("first") => first = parser.value()?.parse()?,
                Long("seed") => (first, count) = (parser.value()?.parse()?, 1),
                Long("instances") => arguments.instances = parser.value()?.parse()?,
                Long("servers") => arguments.servers = parser.value()?.parse()?,
                Long("idle-routes") => arguments.idle_routes = parser.value()?.parse()?,
                Long("seconds") => arguments.fault_seconds = parser.value()?.parse()?,
                Long("crashes") => arguments.scenario = FaultScenario::ServerCrashes,
                Long("quick-restarts") => {
                    arguments.scenario = FaultScenario::RestartsInOutages;
                }
                Long("unlisted-restarts") => {
                    arguments.scenario = FaultScenario::UnlistedRestarts;
                }
                Long("restores") => arguments.scenario = FaultScenario::StoreRestores,
                Long("beside-restores") => {
                    arguments.scenario = FaultScenario::RandomBesideRestores;
                }
                Long("beside-foreign-entries") => {
                    arguments.scenario = FaultScenario::RandomBesideForeignEntries;
                }
                Long("changes-beside") => {
                    let kind = parser.value()?.parse_with(NewerKind::with_label)?;
                    arguments.scenario = FaultScenario::ChangesBeside(kind);
                }
                Long("changes-at-paused-helpers") => {
                    arguments.scenario = FaultScenario::ChangesAtPausedHelpers;
                }
                Long("unanswered-orders") => {
                    arguments.scenario = FaultScenario::UnansweredOrders;
                }
                Long("evacuations") => arguments.scenario = FaultScenario::Evacuations,
                Long("daemon") => arguments.daemon_path = parser.value()?.into(),
                Long("logs") => arguments.log_dir = parser.value()?.into(),
                other => return Err(other.unexpected()),
            }
        }
        if arguments.instances == 0 || arguments.servers == 0 {
            return Err("--instances and --servers must be at least 1".into());
        }
        if arguments.instances > SoakPlan::MAX_INSTANCES {
            let max = SoakPlan::MAX_INSTANCES;
            return Err(format!("--instances must be at most {max}").into());
        }
        arguments.seeds = (first..first + count).collect();
        Ok(Some(arguments))
    }
}
