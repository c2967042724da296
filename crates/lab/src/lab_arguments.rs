//! Command-line arguments of the tool.

use lexopt::prelude::*;

/// Command that the tool runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LabCommand {
    /// Print the help text.
    Help,
    /// Run the demo.
    Demo {
        /// Keep the cluster running instead of measuring it.
        stay: bool,
    },
    /// Print the names of all scenarios.
    List,
    /// Run scenarios.
    Measure {
        /// Name of the scenario; `None` for all.
        scenario: Option<String>,
        /// Seed of the load.
        seed: u64,
        /// Print one JSON object on one line.
        json: bool,
        /// Log each violated guarantee.
        verbose: bool,
    },
}

impl LabCommand {
    /// Text that `--help` prints.
    pub(crate) const HELP: &'static str = "\
Demo and measurements of geraniummast with simulated servers and callers, in one process on loopback

Usage:
  geraniummast-lab demo [--stay]
      Start a store, servers and instances, send requests, kill a server and switch a preset
      --stay          only start the cluster, print commands to try and keep running
  geraniummast-lab measure SCENARIO [--seed N] [--json]
      Run one scenario and print its figures
  geraniummast-lab measure --all [--seed N] [--json]
      Run all scenarios and print a summary
  geraniummast-lab measure --list
      Print the names of the scenarios

Options:
  --seed N    seed of the load, 1 by default
  --verbose   log each violated guarantee to standard error
  --json      print one JSON object on one line for each scenario
  -h, --help  print this text

Exit codes:
  0  all figures that must be 0 are 0, and all bounds are met
  1  a figure that must be 0 is not 0, or a bound is missed
  2  the command line is invalid
  3  a scenario could not be run
";

    /// Parses the arguments of the process.
    pub(crate) fn from_env() -> Result<Self, lexopt::Error> {
        Self::parse(lexopt::Parser::from_env())
    }

    /// Parses the remaining arguments of `parser`.
    pub(crate) fn parse(mut parser: lexopt::Parser) -> Result<Self, lexopt::Error> {
        let (mut command, mut scenario, mut seed) = (None, None, 1);
        let (mut stay, mut all, mut list) = (false, false, false);
        let (mut json, mut verbose) = (false, false);
        while let Some(argument) = parser.next()? {
            match argument {
                Short('h') | Long("help") => return Ok(Self::Help),
                Long("stay") => stay = true,
                Long("all") => all = true,
                Long("list") => list = true,
                Long("json") => json = true,
                Long("verbose") => verbose = true,
                Long("seed") => seed = parser.value()?.parse()?,
                Value(text) if command.is_none() => command = Some(text.string()?),
                Value(text) if scenario.is_none() => scenario = Some(text.string()?),
                other => return Err(other.unexpected()),
            }
        }
        match (command.as_deref(), scenario) {
            (None, _) => Ok(Self::Help),
            (Some("demo"), None) => Ok(Self::Demo { stay }),
            (Some("measure"), None) if list => Ok(Self::List),
            (Some("measure"), scenario) if scenario.is_some() != all => Ok(Self::Measure {
                scenario,
                seed,
                json,
                verbose,
            }),
            (Some("measure"), _) => Err("measure needs a scenario, --all or --list".into()),
            (Some(command), _) => Err(format!("unknown command `{command}`").into()),
        }
    }
}
