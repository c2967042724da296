//! Planning of a configuration change: computes the next configuration and its differences.
//!
//! Planning writes nothing; [`ConfigurationPlan::into_head`] returns the configuration to write.
//! Objects missing from the new declarations are kept, unless the change prunes them.

use crate::prelude::*;

/// Effect of a change, computed before anything is written.
#[derive(Clone, Debug)]
pub struct ConfigurationPlan {
    /// Revision that the plan is based on; 0 if there is no configuration yet.
    pub base_revision: u64,
    /// Objects that would change; empty if the change is already in force.
    pub differences: Vec<ObjectDifference>,
    /// Objects in force that the new declarations omit and this plan keeps.
    pub undeclared: Vec<String>,
    next: ConfigurationHead,
}

impl ConfigurationPlan {
    /// Maximum size of the configuration as stored, in bytes; the store accepts up to one megabyte.
    pub const MAX_HEAD_BYTES: usize = 900_000;

    /// Maximum size of the declarations as stored, in bytes; the rest is reserved for the history.
    pub const MAX_DECLARED_BYTES: usize = 850_000;

    /// Plans `change` on top of `head`; returns all findings if the result would be invalid.
    pub fn new(
        head: &ConfigurationHead,
        change: &ConfigurationChange,
    ) -> Result<Self, Vec<RuleFinding>> {
        let mut plan = Self {
            base_revision: head.revision,
            differences: Vec::new(),
            undeclared: Vec::new(),
            next: head.clone(),
        };
        match change {
            ConfigurationChange::Declare {
                set,
                prune,
                initial_preset,
            } => plan.declare(head, set, *prune, initial_preset.as_deref()),
            ConfigurationChange::UsePreset(name) => plan.next.preset.clone_from(name),
            ConfigurationChange::Drain(server) if !head.drained_servers.contains(server) => {
                plan.next.drained_servers.push(server.clone());
            }
            ConfigurationChange::Drain(_) => {}
            ConfigurationChange::Undrain(server) => {
                plan.next.drained_servers.retain(|name| name != server);
            }
        }
        let findings = PlanRules::findings(head, &plan.next, change);
        if !findings.is_empty() {
            return Err(findings);
        }
        plan.differences = ObjectDifference::between(&head.objects(), &plan.next.objects());
        Ok(plan)
    }

    /// Whether the change is already in force.
    pub fn is_empty(&self) -> bool {
        self.differences.is_empty()
    }

    /// Resulting configuration, still with the revision and history of the base.
    pub fn next(&self) -> &ConfigurationHead {
        &self.next
    }

    /// Human-readable summary of the differences.
    pub fn summary(&self) -> String {
        let lines: Vec<_> = self.differences.iter().map(ToString::to_string).collect();
        match lines.len() {
            0 | 1 => lines.concat(),
            count => format!("{count} changes: {}", lines.join("; ")),
        }
    }

    /// Turns the plan into the configuration to write, as the next revision.
    pub fn into_head(self, metadata: &ChangeMetadata) -> ConfigurationHead {
        let summary = self.summary();
        let mut head = self.next;
        head.record_change(metadata, &summary);
        head
    }

    /// Takes over the declarations of `set` and drops drains of servers that no longer exist.
    fn declare(
        &mut self,
        head: &ConfigurationHead,
        set: &DeclarationSet,
        prune: bool,
        preset: Option<&str>,
    ) {
        self.next.data_centres = set.data_centres.clone();
        self.next.services = set.services.clone();
        self.next.presets = set.presets.clone();
        if !prune {
            self.keep_undeclared(head, set);
        }
        if head.revision == 0 {
            let first_name = set.presets.keys().next().cloned().unwrap_or_default();
            let default_name = ConfigurationHead::DEFAULT_PRESET;
            let default = match set.presets.contains_key(default_name) {
                true => default_name,
                false => &first_name,
            };
            self.next.preset = preset.unwrap_or(default).into();
        }
        let merged = self.next.declarations();
        self.next
            .drained_servers
            .retain(|name| merged.server(name).is_some());
    }

    /// Copies objects of `head` that `set` omits into the next configuration and lists them.
    fn keep_undeclared(&mut self, head: &ConfigurationHead, set: &DeclarationSet) {
        let declared = set.objects();
        let in_force = head.declarations().objects();
        self.undeclared = in_force
            .into_keys()
            .filter(|object| !declared.contains_key(object))
            .collect();
        for (name, data_centre) in &head.data_centres {
            let data_centres = &mut self.next.data_centres;
            data_centres
                .entry(name.clone())
                .or_insert_with(|| data_centre.clone());
        }
        for (name, preset) in &head.presets {
            let presets = &mut self.next.presets;
            presets
                .entry(name.clone())
                .or_insert_with(|| preset.clone());
        }
        for (name, service) in &head.services {
            let Some(next) = self.next.services.get_mut(name) else {
                self.next.services.insert(name.clone(), service.clone());
                continue;
            };
            for server in &service.servers {
                if next.servers.iter().all(|other| other.name != server.name) {
                    next.servers.push(server.clone());
                }
            }
        }
    }
}
