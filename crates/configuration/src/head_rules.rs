//! Rules that the next head must keep towards the one in force.

use crate::prelude::*;

/// Checks a planned head.
pub(crate) struct HeadRules;

impl HeadRules {
    /// Every broken rule.
    pub(crate) fn findings(
        head: &ConfigurationHead,
        next: &ConfigurationHead,
        change: &HeadChange,
    ) -> Vec<RuleFinding> {
        let set = next.declarations();
        let mut findings = match change {
            HeadChange::Declare { .. } => Self::declared(&set, change),
            HeadChange::Preset(_) | HeadChange::Drain(_) | HeadChange::Return(_) => Vec::new(),
        };
        findings.extend(Self::fixed_fields(head, next));
        findings.extend(Self::known_names(&set, next, change));
        findings.extend(Self::kept_servers(&set, next));
        findings.extend(Self::size(next));
        findings
    }

    /// Broken rules of the declarations together with what is kept besides them.
    fn declared(set: &DeclarationSet, change: &HeadChange) -> Vec<RuleFinding> {
        let mut findings = SetRules::findings(set);
        if findings.is_empty() {
            return findings;
        }
        let servers = Self::servers_by_place(set);
        for finding in &mut findings {
            if let Some((place, (service, server))) = Self::place_in(&finding.field, &servers) {
                let note = Self::kept_note(change, server);
                let name = format!("server {service}/{server}");
                finding.field = finding.field.replace(place, &name) + note;
            }
            if let Some((place, (service, server))) = Self::place_in(&finding.expected, &servers) {
                let name = format!("server {service}/{server}");
                finding.expected = finding.expected.replace(place, &name);
            }
        }
        findings
    }

    /// Servers by the path under which the rules know them.
    fn servers_by_place(set: &DeclarationSet) -> IndexMap<String, (&ServiceName, &ServerName)> {
        let mut servers = IndexMap::new();
        for (service, declaration) in &set.services {
            for (index, server) in declaration.servers.iter().enumerate() {
                let place = format!("service.{service}.server[{index}]");
                servers.insert(place, (service, &server.name));
            }
        }
        servers
    }

    /// First path of a server in `text`.
    fn place_in<'m, T>(
        text: &str,
        servers: &'m IndexMap<String, T>,
    ) -> Option<(&'m String, &'m T)> {
        let start = text.find("service.")?;
        let length = text[start..].find(']')? + 1;
        servers.get_key_value(&text[start..start + length])
    }

    /// Says of a server that the declarations leave out that it is kept.
    fn kept_note(change: &HeadChange, server: &ServerName) -> &'static str {
        match change {
            HeadChange::Declare { set, .. } if set.server(server).is_none() => {
                " (kept though not declared, --prune removes it)"
            }
            _ => "",
        }
    }

    /// Fields that are fixed for the life of a service.
    fn fixed_fields(head: &ConfigurationHead, next: &ConfigurationHead) -> Vec<RuleFinding> {
        let mut findings = Vec::new();
        for (name, service) in &next.services {
            let Some(old) = head.services.get(name) else {
                continue;
            };
            if old.parts != service.parts {
                let expected = format!("{}, which is fixed for the service's life", old.parts);
                let field = format!("service.{name}.parts");
                findings.push(RuleFinding::new(
                    &field,
                    &service.parts.to_string(),
                    &expected,
                ));
            }
            if old.kind != service.kind {
                let expected = format!("{}, which is fixed for the service's life", old.kind);
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

    fn known_names(
        set: &DeclarationSet,
        next: &ConfigurationHead,
        change: &HeadChange,
    ) -> Vec<RuleFinding> {
        let mut findings = Vec::new();
        if !next.presets.contains_key(&next.preset) {
            let names = next.presets.keys().map(String::as_str);
            let expected = match next.presets.is_empty() {
                true => "a declared preset; apply a directory first, none is in force".into(),
                false => format!(
                    "a declared preset: {}",
                    names.collect::<Vec<_>>().join(", ")
                ),
            };
            findings.push(RuleFinding::new("preset in force", &next.preset, &expected));
        }
        if let HeadChange::Drain(server) | HeadChange::Return(server) = change
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

    /// Preset and drains together leave every service a server.
    fn kept_servers(set: &DeclarationSet, next: &ConfigurationHead) -> Vec<RuleFinding> {
        if next.drained_servers.is_empty() {
            return Vec::new();
        }
        let mut drained = next.active_preset().drained_servers;
        drained.extend(next.drained_servers.iter().cloned());
        let names = next.drained_servers.iter().map(ServerName::as_str);
        let value = names.collect::<Vec<_>>().join(", ");
        set.emptied_services(&drained)
            .into_iter()
            .map(|service| {
                let expected = format!(
                    "a server of service {service} that is drained neither by hand nor by preset {}",
                    next.preset
                );
                RuleFinding::new("drained servers", &value, &expected)
            })
            .collect()
    }

    fn size(next: &ConfigurationHead) -> Option<RuleFinding> {
        let bytes = serde_json::to_vec(next).map_or(usize::MAX, |text| text.len());
        let expected = format!("at most {} bytes in all", HeadPlan::MAX_HEAD_BYTES);
        (bytes > HeadPlan::MAX_HEAD_BYTES)
            .then(|| RuleFinding::new("declarations", &format!("{bytes} bytes"), &expected))
    }
}
