//! Estimate of the key moves that a change would cause, based on the stored slice owners.

use crate::prelude::*;

/// Estimated moves of slices of one service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct MovePreview {
    /// Name of the service.
    service: ServiceName,
    /// Number of slices that exist now.
    slices: usize,
    /// Number of slices that certainly move, by owner; the change takes these owners out of use.
    leaving: IndexMap<ServerName, usize>,
    /// Servers that the change brings into use; balancing may move slices to them.
    joining: Vec<ServerName>,
}

impl Display for MovePreview {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        if self.slices == 0 {
            return write!(f, "service {}: new, no key moves", self.service);
        }
        let moved: usize = self.leaving.values().sum();
        write!(
            f,
            "service {}: {moved} of {} slices move",
            self.service, self.slices
        )?;
        for (server, count) in &self.leaving {
            write!(f, "; {count} leave {server}")?;
        }
        if !self.joining.is_empty() {
            let names: Vec<_> = self.joining.iter().map(ServerName::as_str).collect();
            write!(f, "; balancing may move more to {}", names.join(", "))?;
        }
        f.write_str(" (estimate)")
    }
}

/// Estimated moves of each exclusive service whose set of active servers changes.
pub(crate) fn moves(
    old: &ConfigurationHead,
    new: &ConfigurationHead,
    parts: &[PartRecord],
) -> Vec<MovePreview> {
    let mut names: Vec<&ServiceName> = old.services.keys().chain(new.services.keys()).collect();
    names.sort();
    names.dedup();
    let is_exclusive = |name: &&ServiceName| {
        [old, new].iter().any(|head| {
            let service = head.services.get(*name);
            service.is_some_and(|service| service.kind == ServiceKind::Exclusive)
        })
    };
    names
        .into_iter()
        .filter(is_exclusive)
        .map(|name| preview(name, old, new, parts))
        .filter(|preview| !preview.leaving.is_empty() || !preview.joining.is_empty())
        .collect()
}

fn preview(
    service: &ServiceName,
    old: &ConfigurationHead,
    new: &ConfigurationHead,
    parts: &[PartRecord],
) -> MovePreview {
    let active_servers = |head: &ConfigurationHead| -> Vec<ServerName> {
        let servers = head.active_servers(service);
        servers.iter().map(|server| server.name.clone()).collect()
    };
    let (before, after) = (active_servers(old), active_servers(new));
    let records = parts.iter().filter(|record| record.id.service == *service);
    let entries: Vec<&SliceEntry> = records.flat_map(|record| &record.slices).collect();
    let mut leaving = IndexMap::new();
    for owner in entries.iter().filter_map(|entry| entry.owner.as_ref()) {
        if !after.contains(owner) {
            *leaving.entry(owner.clone()).or_insert(0) += 1;
        }
    }
    MovePreview {
        service: service.clone(),
        slices: entries.len(),
        leaving,
        joining: after
            .into_iter()
            .filter(|name| !before.contains(name))
            .collect(),
    }
}
