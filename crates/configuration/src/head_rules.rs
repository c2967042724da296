//! Rules that the next head must keep towards the one in force.

use crate::prelude::*;

/// Checks a planned head.
pub(crate) struct HeadRules;

impl HeadRules {
    /// Every broken rule.
    pub(crate) fn findings(
        head: &HeadRecord,
        next: &HeadRecord,
        change: &HeadChange,
    ) -> Vec<RuleFinding> {
        let set = next.declarations();
        let mut findings = match change {
            HeadChange::Declare { .. } => SetRules::findings(&set),
            HeadChange::Preset(_) | HeadChange::Drain(_) | HeadChange::Return(_) => Vec::new(),
        };
        findings.extend(Self::fixed_fields(head, next));
        findings.extend(Self::known_names(&set, next, change));
        findings.extend(Self::kept_servers(&set, next));
        findings.extend(Self::size(next));
        findings
    }

    /// Fields that are fixed for the life of a service.
    fn fixed_fields(head: &HeadRecord, next: &HeadRecord) -> Vec<RuleFinding> {
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
        next: &HeadRecord,
        change: &HeadChange,
    ) -> Vec<RuleFinding> {
        let mut findings = Vec::new();
        if !next.presets.contains_key(&next.preset) {
            let names = next.presets.keys().map(String::as_str);
            let expected = format!(
                "a declared preset: {}",
                names.collect::<Vec<_>>().join(", ")
            );
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
    fn kept_servers(set: &DeclarationSet, next: &HeadRecord) -> Vec<RuleFinding> {
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

    fn size(next: &HeadRecord) -> Option<RuleFinding> {
        let bytes = serde_json::to_vec(next).map_or(usize::MAX, |text| text.len());
        let expected = format!("at most {} bytes in all", HeadPlan::MAX_HEAD_BYTES);
        (bytes > HeadPlan::MAX_HEAD_BYTES)
            .then(|| RuleFinding::new("declarations", &format!("{bytes} bytes"), &expected))
    }
}
