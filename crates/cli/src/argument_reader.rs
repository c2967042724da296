//! Parsing of command-line arguments and environment variables.
//!
//! All errors are collected and reported together, before the command does anything.

use crate::prelude::*;
use lexopt::{Arg, Parser};

/// Result of parsing the arguments and environment variables.
#[derive(Clone, Debug, PartialEq)]
pub enum CliRequest {
    /// Print this help text.
    Help(String),
    /// Run a verb with these settings.
    Run(CliVerb, Box<CliSettings>),
    /// Report errors in flags, environment variables and arguments.
    Invalid(Vec<RuleFinding>),
}

/// Parses arguments and environment variables, and collects settings and findings.
pub(crate) struct ArgumentReader<'a> {
    variable: &'a dyn Fn(&str) -> Option<String>,
    settings: CliSettings,
    positionals: Vec<String>,
    findings: Vec<RuleFinding>,
    flags: Vec<String>,
    asks_for_help: bool,
}

impl<'a> ArgumentReader<'a> {
    /// Parses `arguments` (without the program name) and looks up environment variables.
    pub(crate) fn read(
        arguments: impl IntoIterator<Item = OsString>,
        variable: &'a dyn Fn(&str) -> Option<String>,
    ) -> CliRequest {
        let mut reader = Self {
            variable,
            settings: CliSettings::default(),
            positionals: Vec::new(),
            findings: Vec::new(),
            flags: Vec::new(),
            asks_for_help: false,
        };
        reader.read_arguments(Parser::from_args(arguments));
        if reader.asks_for_help || reader.positionals.is_empty() && reader.findings.is_empty() {
            return CliRequest::Help(HelpText::of(&reader.positionals));
        }
        reader.read_variables();
        let verb = reader.parse_verb();
        if let Some(verb) = &verb {
            reader.check_requirements(verb);
        }
        match verb {
            Some(verb) if reader.findings.is_empty() => {
                CliRequest::Run(verb, Box::new(reader.settings))
            }
            _ => CliRequest::Invalid(reader.findings),
        }
    }

    fn read_arguments(&mut self, mut parser: Parser) {
        loop {
            let flag = match parser.next() {
                Ok(None) => return,
                Ok(Some(Arg::Value(word))) => {
                    self.positionals.push(word.to_string_lossy().into_owned());
                    continue;
                }
                Ok(Some(Arg::Short('h'))) => "help".to_string(),
                Ok(Some(Arg::Short(short))) => short.to_string(),
                Ok(Some(Arg::Long(long))) => long.to_string(),
                Err(error) => {
                    self.add_finding("arguments", "", &error.to_string());
                    continue;
                }
            };
            self.read_flag(&flag, &mut parser);
        }
    }

    fn read_flag(&mut self, flag: &str, parser: &mut Parser) {
        match flag {
            "help" => self.asks_for_help = true,
            "json" => self.settings.json = true,
            "prune" => self.settings.prune = true,
            "wait" => self.settings.wait = true,
            "undo" => self.settings.undo = true,
            "store" | "instance" | "token" | "operator" | "timeout-ms" | "wait-timeout-ms"
            | "revision" | "preset" | "write" => match parser.value() {
                Ok(value) => self.set_value(&format!("--{flag}"), flag, &value.to_string_lossy()),
                Err(_) => self.add_finding(&format!("--{flag}"), "", "a value after the flag"),
            },
            _ => {
                let _ = parser.optional_value();
                let dashes = if flag.chars().count() == 1 { "-" } else { "--" };
                self.add_finding(&format!("{dashes}{flag}"), "", "a flag listed by --help");
            }
        }
        self.flags.push(flag.into());
    }

    /// Reads environment variables for settings that no flag has set.
    fn read_variables(&mut self) {
        for (flag, name) in [
            ("store", "GERANIUMMAST_STORE_ADDRESS"),
            ("instance", "GERANIUMMAST_OPERATOR_ADDRESS"),
            ("token", "GERANIUMMAST_OPERATOR_TOKEN"),
            ("operator", "GERANIUMMAST_OPERATOR_NAME"),
            ("timeout-ms", "GERANIUMMAST_TIMEOUT_MS"),
            ("wait-timeout-ms", "GERANIUMMAST_WAIT_TIMEOUT_MS"),
        ] {
            if self.flags.iter().any(|given| given == flag) {
                continue;
            }
            if let Some(value) = (self.variable)(name).filter(|value| !value.is_empty()) {
                self.set_value(name, flag, &value);
            } else if flag == "operator"
                && let Some(user) = (self.variable)("USER").filter(|user| !user.is_empty())
            {
                self.settings.operator = user;
            }
        }
    }

    /// Stores the value of a setting; `source` is the flag or variable that a finding names.
    fn set_value(&mut self, source: &str, flag: &str, value: &str) {
        const ADDRESS: &str = "an IP address and a port, such as 10.0.0.1:7400";
        match flag {
            "store" => match value.parse() {
                Ok(address) => self.settings.store = Some(address),
                Err(_) => self.add_finding(source, value, ADDRESS),
            },
            "instance" => {
                for item in value.split(',') {
                    match item.trim().parse() {
                        Ok(address) => self.settings.instances.push(address),
                        Err(_) => self.add_finding(source, item, ADDRESS),
                    }
                }
            }
            "token" => self.settings.token = value.into(),
            "operator" => self.settings.operator = value.into(),
            "preset" => self.settings.preset = Some(value.into()),
            "write" => self.settings.write_id = Some(value.into()),
            "revision" => match value.parse() {
                Ok(revision) => self.settings.revision = Some(revision),
                Err(_) => self.add_finding(source, value, "a revision, a whole number"),
            },
            "timeout-ms" => {
                if let Some(time) = self.milliseconds(source, value) {
                    self.settings.timeout = time;
                }
            }
            _ => {
                if let Some(time) = self.milliseconds(source, value) {
                    self.settings.wait_timeout = time;
                }
            }
        }
    }

    fn milliseconds(&mut self, source: &str, value: &str) -> Option<Duration> {
        const MAX_MS: u64 = 3_600_000;
        match value.parse() {
            Ok(time) if (1..=MAX_MS).contains(&time) => Some(Duration::from_millis(time)),
            _ => {
                self.add_finding(source, value, "milliseconds from 1 to 3600000");
                None
            }
        }
    }

    fn parse_verb(&mut self) -> Option<CliVerb> {
        let positionals: Vec<&str> = self.positionals.iter().map(String::as_str).collect();
        let verb = match positionals[..] {
            ["check", directory] => CliVerb::Check(directory.into()),
            ["plan", directory] => CliVerb::Plan(directory.into()),
            ["apply", directory] => CliVerb::Apply(directory.into()),
            ["preset", "use", name] => CliVerb::PresetUse(name.into()),
            ["preset", "list"] => CliVerb::PresetList,
            ["history"] => CliVerb::History,
            ["status"] => CliVerb::Status,
            ["dump"] => CliVerb::Dump,
            ["drain", name] => CliVerb::Drain(name.into()),
            ["explain", service, key] => CliVerb::Explain {
                service: service.into(),
                key: key.into(),
            },
            _ => {
                let found = positionals.join(" ");
                let expected = match HelpText::usage(&self.positionals) {
                    Some(usage) => usage.to_string(),
                    None => format!("one of the verbs {}", HelpText::verbs()),
                };
                self.add_finding("arguments", &found, &expected);
                return None;
            }
        };
        Some(verb)
    }

    /// Reports missing settings that `verb` requires and flags that it does not accept.
    fn check_requirements(&mut self, verb: &CliVerb) {
        let has_finding = |reader: &Self, flag: &str, name: &str| {
            let mut fields = reader.findings.iter().map(|finding| finding.field.as_str());
            fields.any(|field| field == flag || field == name)
        };
        let (flag, name) = ("--store", "GERANIUMMAST_STORE_ADDRESS");
        if verb.needs_store() && self.settings.store.is_none() && !has_finding(self, flag, name) {
            self.add_finding(flag, "", &format!("the store's address, here or in {name}"));
        }
        let must_wait = self.settings.wait;
        let (flag, name) = ("--instance", "GERANIUMMAST_OPERATOR_ADDRESS");
        if (verb.needs_instances() || must_wait)
            && self.settings.instances.is_empty()
            && !has_finding(self, flag, name)
        {
            let expected = format!("operator addresses of instances, here or in {name}");
            self.add_finding(flag, "", &expected);
        }
        if verb.makes_change() && self.settings.operator.is_empty() {
            let expected = "your name, here or in GERANIUMMAST_OPERATOR_NAME";
            self.add_finding("--operator", "", expected);
        }
        for flag in self.flags.clone() {
            if !HelpText::takes(&self.positionals, &flag) {
                let expected = "a flag of this verb; see its --help";
                self.add_finding(&format!("--{flag}"), "", expected);
            }
        }
    }

    fn add_finding(&mut self, source: &str, value: &str, expected: &str) {
        self.findings
            .push(RuleFinding::new(source, value, expected));
    }
}
