//! Validation rules for a complete set of declarations.

use crate::prelude::*;

/// Validates a set of declarations and collects the findings.
pub(crate) struct SetRules<'a> {
    set: &'a DeclarationSet,
    findings: Vec<RuleFinding>,
}

impl<'a> SetRules<'a> {
    /// Returns a finding for each rule that `set` violates.
    pub(crate) fn findings(set: &'a DeclarationSet) -> Vec<RuleFinding> {
        let mut rules = Self {
            set,
            findings: Vec::new(),
        };
        rules.check_top_level();
        rules.check_unique_servers();
        for (name, service) in &set.services {
            ServiceRules::check(&mut rules, name, service);
        }
        for (name, preset) in &set.presets {
            rules.check_preset(name, preset);
        }
        rules.findings
    }

    /// Set that is being validated.
    pub(crate) fn set(&self) -> &'a DeclarationSet {
        self.set
    }

    /// Adds a finding about `field`.
    pub(crate) fn report(&mut self, field: &str, value: &str, expected: &str) {
        self.findings.push(RuleFinding::new(field, value, expected));
    }

    /// Reports a name that cannot be used in paths and addresses.
    pub(crate) fn check_name(&mut self, field: &str, name: &str) {
        const MAX_NAME_CHARS: usize = 63;
        let allowed =
            |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_".contains(&byte);
        if name.is_empty() || name.len() > MAX_NAME_CHARS || !name.bytes().all(allowed) {
            self.report(
                field,
                name,
                "a name of 1 to 63 lower-case letters, digits, - or _",
            );
        }
    }

    /// Checks the total size, the presence of services and presets, and the data centres.
    fn check_top_level(&mut self) {
        let bytes = self.set.stored_bytes();
        if bytes > ConfigurationPlan::MAX_DECLARED_BYTES {
            let expected = format!(
                "at most {} bytes in total",
                ConfigurationPlan::MAX_DECLARED_BYTES
            );
            self.report("declarations", &format!("{bytes} bytes"), &expected);
        }
        if self.set.services.is_empty() {
            self.report("service", "", "at least one service");
        }
        if self.set.presets.is_empty() {
            self.report("preset", "", "at least one preset");
        }
        for (name, data_centre) in &self.set.data_centres {
            self.check_name(&format!("place.{name}"), name);
            self.check_name(&format!("place.{name}.region"), &data_centre.region);
        }
    }

    /// Checks that names and addresses of servers are unique across all services.
    fn check_unique_servers(&mut self) {
        let mut names = IndexMap::new();
        let mut addresses = IndexMap::new();
        for (service, declaration) in &self.set.services {
            for (index, server) in declaration.servers.iter().enumerate() {
                let field = format!("service.{service}.server[{index}]");
                let name = server.name.as_str();
                if let Some(first) = names.get(name).filter(|_| !name.is_empty()) {
                    let expected = format!("a unique name; {first} has it too");
                    self.report(&format!("{field}.name"), name, &expected);
                } else {
                    names.insert(name, field.clone());
                }
                if server.address.port() == 0 {
                    continue;
                }
                if let Some(first) = addresses.get(&server.address) {
                    let expected = format!("a unique address; {first} has it too");
                    let address = server.address.to_string();
                    self.report(&format!("{field}.address"), &address, &expected);
                } else {
                    addresses.insert(server.address, field);
                }
            }
        }
    }

    fn check_preset(&mut self, name: &str, preset: &PresetDeclaration) {
        let field = format!("preset.{name}");
        self.check_name(&field, name);
        for (index, server) in preset.drained_servers.iter().enumerate() {
            let field = format!("{field}.drained_servers[{index}]");
            if self.set.server(server).is_none() {
                self.report(&field, server.as_str(), "the name of a declared server");
            }
            if preset.drained_servers[..index].contains(server) {
                self.report(&field, server.as_str(), "each server at most once");
            }
        }
        for (index, class) in preset.refused_classes.iter().enumerate() {
            if !self.set.has_class(class) {
                let field = format!("{field}.refused_classes[{index}]");
                self.report(&field, class, "a declared class in the form SERVICE/CLASS");
            }
        }
        for service in self.set.fully_drained_services(&preset.drained_servers) {
            let expected = format!("at least one server of service {service} that is not drained");
            let names = preset.drained_servers.iter().map(ServerName::as_str);
            let value = names.collect::<Vec<_>>().join(", ");
            self.report(&format!("{field}.drained_servers"), &value, &expected);
        }
    }
}

impl DeclarationSet {
    /// Finds the server named `name`, together with the name of its service.
    pub fn server(&self, name: &ServerName) -> Option<(&ServiceName, &ServerDeclaration)> {
        self.services.iter().find_map(|(service, declaration)| {
            let server = declaration
                .servers
                .iter()
                .find(|server| server.name == *name)?;
            Some((service, server))
        })
    }

    /// Names of the services of which all servers are in `drained`.
    pub(crate) fn fully_drained_services(&self, drained: &[ServerName]) -> Vec<&ServiceName> {
        let is_fully_drained = |service: &ServiceDeclaration| {
            !service.servers.is_empty()
                && service
                    .servers
                    .iter()
                    .all(|server| drained.contains(&server.name))
        };
        self.services
            .iter()
            .filter(|(_, service)| is_fully_drained(service))
            .map(|(name, _)| name)
            .collect()
    }

    /// Whether `text`, in the form `service/class`, names a declared request class.
    fn has_class(&self, text: &str) -> bool {
        let Some((service, class)) = text.split_once('/') else {
            return false;
        };
        self.services
            .get(&ServiceName::new(service))
            .is_some_and(|declaration| declaration.classes.iter().any(|item| item.name == class))
    }
}
