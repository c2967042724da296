//! Validation of a planned configuration against the one in force.

use crate::prelude::*;

/// Validates a planned configuration.
pub(crate) struct PlanRules;

impl PlanRules {
    /// Returns a finding for each rule that the planned configuration `next` violates.
    pub(crate) fn findings(
        head: &ConfigurationHead,
        next: &ConfigurationHead,
        change: &ConfigurationChange,
    ) -> Vec<RuleFinding> {
        let set = next.declarations();
        let mut findings = match change {
            ConfigurationChange::Declare { .. } => Self::declaration_findings(&set, change),
            ConfigurationChange::UsePreset(_)
            | ConfigurationChange::Drain(_)
            | ConfigurationChange::Undrain(_) => Vec::new(),
        };
        findings.extend(Self::immutable_field_findings(head, next));
        findings.extend(Self::name_findings(&set, next, change));
        findings.extend(Self::drain_findings(&set, next));
        findings.extend(Self::size_finding(next));
        findings
    }

    /// Checks the planned declarations, including the undeclared objects that are kept.
    ///
    /// Server paths in the findings are replaced by server names, because a kept server has no
    /// index in the operator's files.
    fn declaration_findings(
        set: &DeclarationSet,
        change: &ConfigurationChange,
    ) -> Vec<RuleFinding> {
        let mut findings = SetRules::findings(set);
        if findings.is_empty() {
            return findings;
        }
        let servers = Self::servers_by_path(set);
        for finding in &mut findings {
            if let Some((path, (service, server))) = Self::find_server(&finding.field, &servers) {
                let note = Self::kept_note(change, server);
                let name = format!("server {service}/{server}");
                finding.field = finding.field.replace(path, &name) + note;
            }
            if let Some((path, (service, server))) = Self::find_server(&finding.expected, &servers)
            {
                let name = format!("server {service}/{server}");
                finding.expected = finding.expected.replace(path, &name);
            }
        }
        findings
    }

    /// Servers by their field path in findings, such as `service.reports.server[0]`.
    fn servers_by_path(set: &DeclarationSet) -> IndexMap<String, (&ServiceName, &ServerName)> {
        let mut servers = IndexMap::new();
        for (service, declaration) in &set.services {
            for (index, server) in declaration.servers.iter().enumerate() {
                let path = format!("service.{service}.server[{index}]");
                servers.insert(path, (service, &server.name));
            }
        }
        servers
    }

    /// Finds the first server path in `text`, with the server that it names.
    fn find_server<'m, T>(
        text: &str,
        servers: &'m IndexMap<String, T>,
    ) -> Option<(&'m String, &'m T)> {
        let start = text.find("service.")?;
        let length = text[start..].find(']')? + 1;
        servers.get_key_value(&text[start..start + length])
    }

    /// Hint that a server was kept although the new declarations omit it; empty for other servers.
    fn kept_note(change: &ConfigurationChange, server: &ServerName) -> &'static str {
        match change {
            ConfigurationChange::Declare { set, .. } if set.server(server).is_none() => {
                " (kept though not declared, --prune removes it)"
            }
            _ => "",
        }
    }

    /// Checks that fields that must not change during the lifetime of a service are unchanged.
    fn immutable_field_findings(
        head: &ConfigurationHead,
        next: &ConfigurationHead,
    ) -> Vec<RuleFinding> {
        let mut findings = Vec::new();
        for (name, service) in &next.services {
            let Some(old) = head.services.get(name) else {
                continue;
            };
            if old.parts != service.parts {
                let expected = format!(
                    "{}, which cannot change during the service's lifetime",
                    old.parts
                );
                let field = format!("service.{name}.parts");
                findings.push(RuleFinding::new(
                    &field,
                    &service.parts.to_string(),
                    &expected,
                ));
            }
            if old.kind != service.kind {
                let expected = format!(
                    "{}, which cannot change during the service's lifetime",
                    old.kind
                );
                let field = format!("service.{name}.kind");
                findings.push(RuleFinding::new(
                    &field,
                    &service.kind.to_string(),
                    &expected,
                ));
            }
        }
        findings
    }

    /// Checks that the active preset and a server to drain or undrain are declared.
    fn name_findings(
        set: &DeclarationSet,
        next: &ConfigurationHead,
        change: &ConfigurationChange,
    ) -> Vec<RuleFinding> {
        let mut findings = Vec::new();
        if !next.presets.contains_key(&next.preset) {
            let names = next.presets.keys().map(String::as_str);
            let expected = match next.presets.is_empty() {
                true => "a declared preset; none is declared yet, apply a directory first".into(),
                false => format!(
                    "a declared preset: {}",
                    names.collect::<Vec<_>>().join(", ")
                ),
            };
            findings.push(RuleFinding::new("preset in force", &next.preset, &expected));
        }
        if let ConfigurationChange::Drain(server) | ConfigurationChange::Undrain(server) = change
            && set.server(server).is_none()
        {
            let expected = "the name of a declared server";
            findings.push(RuleFinding::new(
                "drained servers",
                server.as_str(),
                expected,
            ));
        }
        findings
    }

    /// Checks that the active preset and the operators' drains leave each service a server.
    fn drain_findings(set: &DeclarationSet, next: &ConfigurationHead) -> Vec<RuleFinding> {
        if next.drained_servers.is_empty() {
            return Vec::new();
        }
        let mut drained = next.active_preset().drained_servers;
        drained.extend(next.drained_servers.iter().cloned());
        let names = next.drained_servers.iter().map(ServerName::as_str);
        let value = names.collect::<Vec<_>>().join(", ");
        set.fully_drained_services(&drained)
            .into_iter()
            .map(|service| {
                let expected = format!(
                    "a server of service {service} that neither an operator nor preset {} drains",
                    next.preset
                );
                RuleFinding::new("drained servers", &value, &expected)
            })
            .collect()
    }

    /// Checks the size of the configuration as stored.
    fn size_finding(next: &ConfigurationHead) -> Option<RuleFinding> {
        let bytes = serde_json::to_vec(next).map_or(usize::MAX, |text| text.len());
        let expected = format!(
            "at most {} bytes in total",
            ConfigurationPlan::MAX_HEAD_BYTES
        );
        (bytes > ConfigurationPlan::MAX_HEAD_BYTES)
            .then(|| RuleFinding::new("declarations", &format!("{bytes} bytes"), &expected))
    }
}
