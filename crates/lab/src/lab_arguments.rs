//! Command line of the tool.

use lexopt::prelude::*;

/// What the tool is asked to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LabCommand {
    /// Print the help text.
    Help,
    /// Show the whole system at work.
    Demo {
        /// Keep running at the end.
        stay: bool,
    },
    /// Print the names of all scenarios.
    List,
    /// Run scenarios.
    Measure {
        /// Scenario, none for all.
        scenario: Option<String>,
        /// Seed of the load.
        seed: u64,
        /// Print one JSON object on one line.
        json: bool,
        /// Log what broke a promise.
        verbose: bool,
    },
}

impl LabCommand {
    /// Help text.
    pub(crate) const HELP: &'static str = "\
Stand-ins, demo and measurements of geraniummast, on loopback in one process

Usage:
  geraniummast-lab demo [--stay]
      Start a store, servers and instances, show them at work, lose a server, switch a preset
      --stay          keep running and print commands to try
  geraniummast-lab measure SCENARIO [--seed N] [--json]
      Run one scenario and print its figures
  geraniummast-lab measure --all [--seed N] [--json]
      Run all scenarios and sum up
  geraniummast-lab measure --list
      Print the names of the scenarios

Options:
  --seed N    seed of the load, 1 by default
  --verbose   log each broken promise to the standard error output
  --json      print one JSON object on one line for each scenario
  -h, --help  print this text

Exit codes:
  0  all figures that must be 0 are, and all bounds are met
  1  a figure that must be 0 is not, or a bound is missed
  2  the command is wrong
  3  a scenario could not be run
";

    /// Reads the process's arguments.
    pub(crate) fn from_env() -> Result<Self, lexopt::Error> {
        Self::parse(lexopt::Parser::from_env())
    }

    /// Reads arguments.
    pub(crate) fn parse(mut parser: lexopt::Parser) -> Result<Self, lexopt::Error> {
        let (mut verb, mut scenario, mut seed) = (None, None, 1);
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
                Value(text) if verb.is_none() => verb = Some(text.string()?),
                Value(text) if scenario.is_none() => scenario = Some(text.string()?),
                other => return Err(other.unexpected()),
            }
        }
        match (verb.as_deref(), scenario) {
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
            (Some(verb), _) => Err(format!("unknown command `{verb}`").into()),
        }
    }
}
