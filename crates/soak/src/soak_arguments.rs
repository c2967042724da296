//! Command line of the tool.

use crate::prelude::*;
use lexopt::prelude::{Long, Short, ValueExt};

/// Which seeds are played, and how.
pub(crate) struct SoakArguments {
    pub(crate) seeds: Vec<u64>,
    pub(crate) daemon_path: PathBuf,
    pub(crate) log_dir: PathBuf,
    pub(crate) instances: usize,
    pub(crate) servers: usize,
    pub(crate) fault_seconds: u64,
}

impl SoakArguments {
    /// Help text.
    pub(crate) const HELP: &'static str = "\
Randomized faults over instances that run as separate processes, on loopback

Usage:
  geraniummast-soak [--seeds N] [--first SEED] [--seed SEED] [--instances N] [--servers N]
                    [--seconds S] [--daemon PATH] [--logs FOLDER]

Options:
  --seeds N       number of seeds, 1 by default
  --first SEED    first of them, 1 by default
  --seed SEED     this one alone
  --instances N   instances, 4 by default, 100 at max; two callers each, 24 at least
  --servers N     servers of the two main services, 6 by default
  --seconds S     time in which faults come, 12 by default
  --daemon PATH   geraniummastd; by default the one own_path this program
  --logs FOLDER   where the logs of instances are kept, target/soak by default
  -h, --help      print this text

Exit codes:
  0  no promise was broken
  1  one was; the seed, what was seen and the logs' log_dir are printed
  2  the command is wrong, or a run could not be made
";

    /// Reads the process's arguments; none when help is wanted.
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
            fault_seconds: 12,
        };
        while let Some(argument) = parser.next()? {
            match argument {
                Short('h') | Long("help") => return Ok(None),
                Long("seeds") => count = parser.value()?.parse()?,
                Long("first") => first = parser.value()?.parse()?,
                Long("seed") => (first, count) = (parser.value()?.parse()?, 1),
                Long("instances") => arguments.instances = parser.value()?.parse()?,
                Long("servers") => arguments.servers = parser.value()?.parse()?,
                Long("seconds") => arguments.fault_seconds = parser.value()?.parse()?,
                Long("daemon") => arguments.daemon_path = parser.value()?.into(),
                Long("logs") => arguments.log_dir = parser.value()?.into(),
                other => return Err(other.unexpected()),
            }
        }
        if arguments.instances == 0 || arguments.servers == 0 {
            return Err("--instances and --servers must be 1 or more".into());
        }
        if arguments.instances > SoakPlan::MAX_INSTANCES {
            let max = SoakPlan::MAX_INSTANCES;
            return Err(format!("--instances must be {max} or less").into());
        }
        arguments.seeds = (first..first + count).collect();
        Ok(Some(arguments))
    }
}
