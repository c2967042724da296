//! Reading of arguments and variables; every fault is found before anything is tried.

use crate::prelude::*;
use lexopt::{Arg, Parser};

/// What the arguments come to.
#[derive(Clone, Debug, PartialEq)]
pub enum CliRequest {
    /// Print a help text.
    Help(String),
    /// Run a verb.
    Run(CliVerb, Box<CliSettings>),
    /// Faults in flags, variables and arguments.
    Faults(Vec<RuleFinding>),
}

/// Collects settings and faults.
pub(crate) struct ArgumentReader<'a> {
    variable: &'a dyn Fn(&str) -> Option<String>,
    settings: CliSettings,
    words: Vec<String>,
    faults: Vec<RuleFinding>,
    flags: Vec<String>,
    help: bool,
}

impl<'a> ArgumentReader<'a> {
    /// Reads `arguments`, the program's name left out.
    pub(crate) fn read(
        arguments: impl IntoIterator<Item = OsString>,
        variable: &'a dyn Fn(&str) -> Option<String>,
    ) -> CliRequest {
        let mut reader = Self {
            variable,
            settings: CliSettings::default(),
            words: Vec::new(),
            faults: Vec::new(),
            flags: Vec::new(),
            help: false,
        };
        reader.read_arguments(Parser::from_args(arguments));
        if reader.help || reader.words.is_empty() && reader.faults.is_empty() {
            return CliRequest::Help(HelpText::of(&reader.words));
        }
        reader.read_variables();
        let verb = reader.verb();
        if let Some(verb) = &verb {
            reader.check_needs(verb);
        }
        match verb {
            Some(verb) if reader.faults.is_empty() => {
                CliRequest::Run(verb, Box::new(reader.settings))
            }
            _ => CliRequest::Faults(reader.faults),
        }
    }

    fn read_arguments(&mut self, mut parser: Parser) {
        loop {
            let flag = match parser.next() {
                Ok(None) => return,
                Ok(Some(Arg::Value(word))) => {
                    self.words.push(word.to_string_lossy().into_owned());
                    continue;
                }
                Ok(Some(Arg::Short('h'))) => "help".to_string(),
                Ok(Some(Arg::Short(short))) => short.to_string(),
                Ok(Some(Arg::Long(long))) => long.to_string(),
                Err(error) => {
                    self.fault("arguments", "", &error.to_string());
                    continue;
                }
            };
            self.read_flag(&flag, &mut parser);
        }
    }

    fn read_flag(&mut self, flag: &str, parser: &mut Parser) {
        match flag {
            "help" => self.help = true,
            "json" => self.settings.json = true,
            "prune" => self.settings.prune = true,
            "wait" => self.settings.wait = true,
            "undo" => self.settings.undo = true,
            "store" | "instance" | "token" | "operator" | "timeout-ms" | "wait-timeout-ms"
            | "revision" | "preset" | "write" => match parser.value() {
                Ok(value) => self.take(&format!("--{flag}"), flag, &value.to_string_lossy()),
                Err(_) => self.fault(&format!("--{flag}"), "", "a value after the flag"),
            },
            _ => {
                let _ = parser.optional_value();
                let dashes = if flag.chars().count() == 1 { "-" } else { "--" };
                self.fault(&format!("{dashes}{flag}"), "", "a flag that --help names");
            }
        }
        self.flags.push(flag.into());
    }

    /// Variables fill in what no flag has set.
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
                self.take(name, flag, &value);
            } else if flag == "operator"
                && let Some(user) = (self.variable)("USER").filter(|user| !user.is_empty())
            {
                self.settings.operator = user;
            }
        }
    }

    fn take(&mut self, place: &str, flag: &str, value: &str) {
        const ADDRESS: &str = "an IP address and a port, as 10.0.0.1:7400";
        match flag {
            "store" => match value.parse() {
                Ok(address) => self.settings.store = Some(address),
                Err(_) => self.fault(place, value, ADDRESS),
            },
            "instance" => {
                for item in value.split(',') {
                    match item.trim().parse() {
                        Ok(address) => self.settings.instances.push(address),
                        Err(_) => self.fault(place, item, ADDRESS),
                    }
                }
            }
            "token" => self.settings.token = value.into(),
            "operator" => self.settings.operator = value.into(),
            "preset" => self.settings.preset = Some(value.into()),
            "write" => self.settings.write_id = Some(value.into()),
            "revision" => match value.parse() {
                Ok(revision) => self.settings.revision = Some(revision),
                Err(_) => self.fault(place, value, "a revision, a whole number"),
            },
            "timeout-ms" => {
                if let Some(time) = self.milliseconds(place, value) {
                    self.settings.timeout = time;
                }
            }
            _ => {
                if let Some(time) = self.milliseconds(place, value) {
                    self.settings.wait_timeout = time;
                }
            }
        }
    }

    fn milliseconds(&mut self, place: &str, value: &str) -> Option<Duration> {
        const MAX_MS: u64 = 3_600_000;
        match value.parse() {
            Ok(time) if (1..=MAX_MS).contains(&time) => Some(Duration::from_millis(time)),
            _ => {
                self.fault(place, value, "milliseconds from 1 to 3600000");
                None
            }
        }
    }

    fn verb(&mut self) -> Option<CliVerb> {
        let words: Vec<&str> = self.words.iter().map(String::as_str).collect();
        let verb = match words[..] {
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
                let found = words.join(" ");
                let expected = match HelpText::usage(&self.words) {
                    Some(usage) => usage.to_string(),
                    None => format!("one of the verbs {}", HelpText::verbs()),
                };
                self.fault("arguments", &found, &expected);
                return None;
            }
        };
        Some(verb)
    }

    fn check_needs(&mut self, verb: &CliVerb) {
        let has_fault = |reader: &Self, flag: &str, name: &str| {
            let mut fields = reader.faults.iter().map(|fault| fault.field.as_str());
            fields.any(|field| field == flag || field == name)
        };
        let (flag, name) = ("--store", "GERANIUMMAST_STORE_ADDRESS");
        if verb.needs_store() && self.settings.store.is_none() && !has_fault(self, flag, name) {
            self.fault(flag, "", &format!("the store's address, here or in {name}"));
        }
        let waits = self.settings.wait;
        let (flag, name) = ("--instance", "GERANIUMMAST_OPERATOR_ADDRESS");
        if (verb.needs_instances() || waits)
            && self.settings.instances.is_empty()
            && !has_fault(self, flag, name)
        {
            let expected = format!("addresses of instances' operators' ports, here or in {name}");
            self.fault(flag, "", &expected);
        }
        if verb.makes_change() && self.settings.operator.is_empty() {
            let expected = "your name, here or in GERANIUMMAST_OPERATOR_NAME";
            self.fault("--operator", "", expected);
        }
        for flag in self.flags.clone() {
            if !HelpText::takes(&self.words, &flag) {
                let expected = "a flag that this verb takes; see its --help";
                self.fault(&format!("--{flag}"), "", expected);
            }
        }
    }

    fn fault(&mut self, place: &str, value: &str, expected: &str) {
        self.faults.push(RuleFinding::new(place, value, expected));
    }
}
