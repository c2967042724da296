//! Reading of settings from flags and environment variables.
//!
//! A flag goes before its variable. All faults are collected before anything is reported.

use crate::prelude::*;
use lexopt::{Arg, Parser, ValueExt};
use std::process::ExitCode;

/// What the command line asks for.
#[derive(Debug)]
pub enum SettingsOutcome<T> {
    /// Start with these settings.
    Run(Box<T>),
    /// Print a text and end.
    Print(String),
    /// Report faults and end.
    Invalid(Vec<SettingError>),
}

impl<T> SettingsOutcome<T> {
    /// Exit code of faulty settings.
    const FAULTY: u8 = 2;

    /// Settings to start with; otherwise prints what was asked for, or what is wrong, as `program`,
    /// and gives the exit code.
    pub fn resolve(self, program: &str) -> Result<T, ExitCode> {
        match self {
            Self::Run(settings) => Ok(*settings),
            Self::Print(text) => {
                print!("{text}");
                Err(ExitCode::SUCCESS)
            }
            Self::Invalid(faults) => {
                for fault in &faults {
                    eprintln!("{program}: {fault}");
                }
                eprintln!("{program}: {} faulty settings, see --help", faults.len());
                Err(ExitCode::from(Self::FAULTY))
            }
        }
    }
}

/// Where a value came from.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ValueOrigin {
    Flag,
    Variable,
    Default,
}

/// Values as given, by the name of their setting.
#[derive(Default)]
struct GivenValues {
    flags: IndexMap<&'static str, String>,
    print: bool,
    help: bool,
    faults: Vec<SettingError>,
}

impl<T> SettingsOutcome<T> {
    /// Reads `arguments` (without the program's name), with `variable` as the environment.
    pub fn read(
        table: &SettingTable<T>,
        arguments: impl IntoIterator<Item = std::ffi::OsString>,
        variable: impl Fn(&str) -> Option<std::ffi::OsString>,
    ) -> Self {
        let mut given = GivenValues::default();
        if let Err(error) = given.take_in(table, &mut Parser::from_args(arguments)) {
            given.faults.push(SettingError {
                source: "command line".into(),
                value: Some(error.to_string()),
                expected: "flags as in --help".into(),
            });
        }
        if given.help {
            return Self::Print(help_text(table));
        }
        let mut settings = (table.initial)();
        let mut printed = String::new();
        for spec in table.specs {
            let (origin, value) = match given.value_of(spec, &variable) {
                Ok(found) => found,
                Err(fault) => {
                    given.faults.push(fault);
                    continue;
                }
            };
            if !(spec.read)(&mut settings, &value) {
                given.faults.push(fault_of(spec, &origin, &value));
            }
            let shown = if spec.is_secret { "(hidden)" } else { &value };
            let origin = match origin {
                ValueOrigin::Flag => spec.flag(),
                ValueOrigin::Variable => spec.variable(),
                ValueOrigin::Default => "default".into(),
            };
            printed += &format!("{:<22}{shown:<28}{origin}\n", spec.name);
        }
        given.faults.extend((table.conflicts)(&settings));
        match (given.faults.is_empty(), given.print) {
            (false, _) => Self::Invalid(given.faults),
            (true, true) => Self::Print(printed),
            (true, false) => Self::Run(Box::new(settings)),
        }
    }
}

impl GivenValues {
    /// Takes in all flags; goes on after a faulty one.
    fn take_in<T>(
        &mut self,
        table: &SettingTable<T>,
        parser: &mut Parser,
    ) -> Result<(), lexopt::Error> {
        while let Some(argument) = parser.next()? {
            let Arg::Long(name) = argument else {
                match argument {
                    Arg::Short('h') => self.help = true,
                    argument => self.unexpected(&argument.unexpected().to_string()),
                }
                continue;
            };
            match name {
                "help" => self.help = true,
                "print-settings" => self.print = true,
                name => match table.specs.iter().find(|spec| spec.name == name) {
                    Some(spec) => {
                        let value = parser.value()?.string()?;
                        if self.flags.insert(spec.name, value).is_some() {
                            self.unexpected(&format!("{} given twice", spec.flag()));
                        }
                    }
                    None => {
                        let name = format!("--{name}");
                        self.unexpected(&name);
                        parser.optional_value();
                    }
                },
            }
        }
        Ok(())
    }

    fn unexpected(&mut self, value: &str) {
        self.faults.push(SettingError {
            source: "command line".into(),
            value: Some(value.into()),
            expected: "flags as in --help".into(),
        });
    }

    fn value_of<T>(
        &self,
        spec: &SettingSpec<T>,
        variable: &impl Fn(&str) -> Option<std::ffi::OsString>,
    ) -> Result<(ValueOrigin, String), SettingError> {
        if let Some(value) = self.flags.get(spec.name) {
            return Ok((ValueOrigin::Flag, value.clone()));
        }
        if let Some(value) = variable(&spec.variable()) {
            return Ok((ValueOrigin::Variable, value.to_string_lossy().into_owned()));
        }
        match spec.default {
            Some(value) => Ok((ValueOrigin::Default, value.into())),
            None => Err(SettingError {
                source: format!("{} or {}", spec.flag(), spec.variable()),
                value: None,
                expected: spec.expected.into(),
            }),
        }
    }
}

fn fault_of<T>(spec: &SettingSpec<T>, origin: &ValueOrigin, value: &str) -> SettingError {
    SettingError {
        source: match origin {
            ValueOrigin::Variable => spec.variable(),
            ValueOrigin::Flag | ValueOrigin::Default => spec.flag(),
        },
        value: Some(if spec.is_secret { "(hidden)" } else { value }.into()),
        expected: spec.expected.into(),
    }
}

fn help_text<T>(table: &SettingTable<T>) -> String {
    let mut text = format!(
        "{}

Each setting is a flag or a variable; a flag goes before its variable.
Exit codes: 0 after a graceful stop, 1 when the instance could not run
(without `gateway` also when something was in flight near the end of a
stop), 2 for faulty settings. SIGTERM, SIGINT and SIGQUIT begin a graceful
stop; no further signal shortens it; SIGKILL ends the process at once.

",
        table.usage
    );
    for spec in table.specs {
        text += &format!("  {} ({})\n", spec.flag(), spec.variable());
        let default = spec
            .default
            .map_or("required".into(), |value| format!("default {value}"));
        text += &format!("      {}\n      {}; {default}\n", spec.help, spec.expected);
    }
    text += "  --print-settings\n      Print each value and where it comes from, and end\n";
    text += "  -h, --help\n      Print this text, and end\n";
    text
}
