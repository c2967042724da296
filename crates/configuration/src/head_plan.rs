//! From the head in force and a wanted change to the next head.
//!
//! Nothing here writes: a plan says what would change, and becomes a record only when it is
//! stamped. Objects that nobody declares stay unless the change prunes.

use crate::prelude::*;

/// What a change would do.
#[derive(Clone, Debug)]
pub struct HeadPlan {
    /// Revision that the plan starts from, 0 before the first.
    pub base_revision: u64,
    /// What would change; empty when the change is already in force.
    pub differences: Vec<HeadDifference>,
    /// Objects in force that the declarations leave out, kept by this plan.
    pub undeclared: Vec<String>,
    next: ConfigurationHead,
}

impl HeadPlan {
    /// Largest head, in bytes of its stored form; the store takes values up to a megabyte.
    pub const MAX_HEAD_BYTES: usize = 900_000;

    /// Largest set of declarations, in bytes of its stored form; the rest is for the history.
    pub const MAX_DECLARED_BYTES: usize = 850_000;

    /// Plan of `change` on top of `head`, or every reason why it cannot be.
    pub fn new(head: &ConfigurationHead, change: &HeadChange) -> Result<Self, Vec<RuleFinding>> {
        let mut plan = Self {
            base_revision: head.revision,
            differences: Vec::new(),
            undeclared: Vec::new(),
            next: head.clone(),
        };
        match change {
            HeadChange::Declare {
                set,
                prune,
                first_preset,
            } => plan.declare(head, set, *prune, first_preset.as_deref()),
            HeadChange::Preset(name) => plan.next.preset.clone_from(name),
            HeadChange::Drain(server) if !head.drained_servers.contains(server) => {
                plan.next.drained_servers.push(server.clone());
            }
            HeadChange::Drain(_) => {}
            HeadChange::Return(server) => plan.next.drained_servers.retain(|name| name != server),
        }
        let findings = HeadRules::findings(head, &plan.next, change);
        if !findings.is_empty() {
            return Err(findings);
        }
        plan.differences = HeadDifference::between(&head.objects(), &plan.next.objects());
        Ok(plan)
    }

    /// Whether the change is already in force.
    pub fn is_empty(&self) -> bool {
        self.differences.is_empty()
    }

    /// Head that the plan leads to, not yet stamped.
    pub fn next(&self) -> &ConfigurationHead {
        &self.next
    }

    /// What changes, in words.
    pub fn summary(&self) -> String {
        let words: Vec<_> = self.differences.iter().map(ToString::to_string).collect();
        match words.len() {
            0 | 1 => words.concat(),
            count => format!("{count} changes: {}", words.join("; ")),
        }
    }

    /// Record to write.
    pub fn into_record(self, metadata: &ChangeMetadata) -> ConfigurationHead {
        let summary = self.summary();
        let mut record = self.next;
        record.record_change(metadata, &summary);
        record
    }

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
            let first = set.presets.keys().next().cloned().unwrap_or_default();
            let ordinary = ConfigurationHead::FIRST_PRESET;
            let default = match set.presets.contains_key(ordinary) {
                true => ordinary,
                false => &first,
            };
            self.next.preset = preset.unwrap_or(default).into();
        }
        let merged = self.next.declarations();
        self.next
            .drained_servers
            .retain(|name| merged.server(name).is_some());
    }

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
