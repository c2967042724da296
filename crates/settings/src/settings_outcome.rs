//! Reads settings from flags and environment variables.
//!
//! A flag overrides its variable. All errors are collected before any is reported.

use crate::prelude::*;
use lexopt::{Arg, Parser, ValueExt};
use std::process::ExitCode;

/// Result of reading the command line and the environment.
#[derive(Debug)]
pub enum SettingsOutcome<T> {
    /// The settings are valid: start the program.
    Run(Box<T>),
    /// The command line requests a text: print it and exit.
    Print(String),
    /// Some settings are invalid: report the errors and exit.
    Invalid(Vec<SettingError>),
}

impl<T> SettingsOutcome<T> {
    /// Exit code for invalid settings.
    const EXIT_INVALID: u8 = 2;

    /// Returns the settings to start with. Otherwise prints the requested text, or the errors under the
    /// name `program`, and returns the exit code.
    pub fn resolve(self, program: &str) -> Result<T, ExitCode> {
        match self {
            Self::Run(settings) => Ok(*settings),
            Self::Print(text) => {
                print!("{text}");
                Err(ExitCode::SUCCESS)
            }
            Self::Invalid(errors) => {
                for error in &errors {
                    eprintln!("{program}: {error}");
                }
                eprintln!("{program}: {} invalid settings, see --help", errors.len());
                Err(ExitCode::from(Self::EXIT_INVALID))
            }
        }
    }
}

/// Source of a setting's value.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ValueOrigin {
    Flag,
    Variable,
    Default,
}

/// Flags on the command line, and the errors found so far.
#[derive(Default)]
struct ParsedFlags {
    flags: IndexMap<&'static str, String>,
    print_settings: bool,
    help: bool,
    errors: Vec<SettingError>,
}

impl<T> SettingsOutcome<T> {
    /// Reads the settings of `table` from `arguments`, which exclude the program's name, and from the
    /// environment, in which `variable` looks up a variable.
    pub fn read(
        table: &SettingTable<T>,
        arguments: impl IntoIterator<Item = std::ffi::OsString>,
        variable: impl Fn(&str) -> Option<std::ffi::OsString>,
    ) -> Self {
        let mut parsed = ParsedFlags::default();
        if let Err(error) = parsed.parse_flags(table, &mut Parser::from_args(arguments)) {
            parsed.errors.push(SettingError {
                source: "command line".into(),
                value: Some(error.to_string()),
                expected: "flags as in --help".into(),
            });
        }
        if parsed.help {
            return Self::Print(help_text(table));
        }
        let mut settings = (table.initial)();
        let mut printed = String::new();
        for spec in table.specs {
            let (origin, value) = match parsed.value_of(spec, &variable) {
                Ok(found) => found,
                Err(error) => {
                    parsed.errors.push(error);
                    continue;
                }
            };
            if !(spec.read)(&mut settings, &value) {
                parsed.errors.push(invalid_value(spec, &origin, &value));
            }
            let displayed = if spec.is_secret { "(hidden)" } else { &value };
            let origin = match origin {
                ValueOrigin::Flag => spec.flag(),
                ValueOrigin::Variable => spec.variable(),
                ValueOrigin::Default => "default".into(),
            };
            printed += &format!("{:<22}{displayed:<28}{origin}\n", spec.name);
        }
        parsed.errors.extend((table.conflicts)(&settings));
        match (parsed.errors.is_empty(), parsed.print_settings) {
            (false, _) => Self::Invalid(parsed.errors),
            (true, true) => Self::Print(printed),
            (true, false) => Self::Run(Box::new(settings)),
        }
    }
}

impl ParsedFlags {
    /// Parses all flags; continues after an unexpected one.
    fn parse_flags<T>(
        &mut self,
        table: &SettingTable<T>,
        parser: &mut Parser,
    ) -> Result<(), lexopt::Error> {
        while let Some(argument) = parser.next()? {
            let Arg::Long(name) = argument else {
                match argument {
                    Arg::Short('h') => self.help = true,
                    argument => self.push_unexpected(&argument.unexpected().to_string()),
                }
                continue;
            };
            match name {
                "help" => self.help = true,
                "print-settings" => self.print_settings = true,
                name => match table.specs.iter().find(|spec| spec.name == name) {
                    Some(spec) => {
                        let value = parser.value()?.string()?;
                        if self.flags.insert(spec.name, value).is_some() {
                            self.push_unexpected(&format!("{} given twice", spec.flag()));
                        }
                    }
                    None => {
                        let name = format!("--{name}");
                        self.push_unexpected(&name);
                        parser.optional_value();
                    }
                },
            }
        }
        Ok(())
    }

    fn push_unexpected(&mut self, value: &str) {
        self.errors.push(SettingError {
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

fn invalid_value<T>(spec: &SettingSpec<T>, origin: &ValueOrigin, value: &str) -> SettingError {
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

Each setting is a flag or an environment variable; the flag overrides the
variable. Exit codes: 0 after a graceful stop, 1 when the instance could not
run (without `gateway` also when work was still unfinished near the end
of a stop), 2 for invalid settings. SIGTERM, SIGINT and SIGQUIT begin a
graceful stop, which no further signal shortens; SIGKILL ends the process at
once.

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
    text += "  --print-settings\n      Print each value and its source, and exit\n";
    text += "  -h, --help\n      Print this text and exit\n";
    text
}
