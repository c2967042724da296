//! Servers that may be used, as discovery tells them.
//!
//! Entries carry the revision of their last change; an older one never replaces a newer one, in
//! whichever order reads and events arrive. Entries that lapse while the store is away are held for
//! a moment after its return, since living servers write theirs again.

use crate::prelude::*;

/// Servers by identifier.
#[derive(Debug, Default)]
pub struct ServerRoster {
    servers: IndexMap<String, RosterRow>,
    /// Revisions of entries that are gone, so that a stale read does not bring them back.
    removed: IndexMap<String, u64>,
}

#[derive(Debug)]
struct RosterRow {
    entry: ServerEntry,
    revision: u64,
    /// When an entry that lapsed around an outage counts as gone.
    gone_at: Option<MonoTime>,
}

/// One change that discovery reported.
#[derive(Clone, Debug)]
pub enum RosterChange {
    /// The entry as of a revision.
    Updated(Box<ServerEntry>, u64),
    /// The identifier's entry was removed, or cannot be read, as of a revision.
    Removed(String, u64),
}

impl ServerRoster {
    /// Removals remembered.
    const MAX_REMOVED: usize = 4_096;

    /// Takes a change in; `hold` keeps an entry that lapsed in use for that long.
    pub fn apply(&mut self, change: RosterChange, now: MonoTime, hold: Duration) -> bool {
        match change {
            RosterChange::Updated(entry, revision) => self.put(*entry, revision),
            RosterChange::Removed(id, revision) => self.take_out(&id, revision, now, hold),
        }
    }

    /// Replaces everything by a whole list read at `revision`.
    pub fn replace_all(
        &mut self,
        entries: Vec<(ServerEntry, u64)>,
        revision: u64,
        now: MonoTime,
        hold: Duration,
    ) {
        let listed: Vec<String> = entries
            .iter()
            .map(|(entry, _)| entry.incarnation.id.clone())
            .collect();
        for (entry, revision) in entries {
            self.put(entry, revision);
        }
        let missing: Vec<String> = self
            .servers
            .iter()
            .filter(|(id, row)| row.revision <= revision && !listed.contains(id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in missing {
            self.take_out(&id, revision, now, hold);
        }
    }

    /// Drops entries whose hold has ended; true when any was.
    pub fn remove_expired(&mut self, now: MonoTime) -> bool {
        let before = self.servers.len();
        self.servers
            .retain(|_, row| row.gone_at.is_none_or(|at| now < at));
        self.servers.len() != before
    }

    /// What the entries tell of a life that was known at `address`.
    pub fn incarnation_status(
        &self,
        mark: &ServerIncarnation,
        address: Option<SocketAddr>,
    ) -> IncarnationStatus {
        let later: Vec<&ServerEntry> = self
            .entries()
            .filter(|entry| entry.incarnation.born > mark.born)
            .collect();
        let is_here = |entry: &&ServerEntry| Some(entry.address) == address;
        match later.iter().find(|entry| entry.incarnation.id == mark.id) {
            Some(entry) if is_here(entry) => IncarnationStatus::Replaced,
            Some(_) => IncarnationStatus::Dead,
            None if later.iter().any(is_here) => IncarnationStatus::Dead,
            None => IncarnationStatus::Alive,
        }
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.servers.values().map(|row| &row.entry)
    }

    fn put(&mut self, entry: ServerEntry, revision: u64) -> bool {
        let id = entry.incarnation.id.clone();
        let removed = self.removed.get(&id).copied().unwrap_or_default();
        let known = self.servers.get(&id).map_or(0, |row| row.revision);
        if revision <= removed || revision <= known {
            return false;
        }
        let changed = self.servers.get(&id).is_none_or(|row| {
            row.entry.state != entry.state
                || row.entry.incarnation != entry.incarnation
                || row.entry.address != entry.address
        });
        let row = RosterRow {
            entry,
            revision,
            gone_at: None,
        };
        self.servers.insert(id, row);
        changed
    }

    fn take_out(&mut self, id: &str, revision: u64, now: MonoTime, hold: Duration) -> bool {
        let Some(row) = self.servers.get_mut(id) else {
            return false;
        };
        if row.revision > revision {
            return false;
        }
        self.removed.insert(id.into(), revision);
        if self.removed.len() > Self::MAX_REMOVED {
            self.removed.shift_remove_index(0);
        }
        if hold.is_zero() || row.entry.state == ServerState::Draining {
            self.servers.shift_remove(id);
        } else if row.gone_at.is_none() {
            row.gone_at = Some(now.after(hold));
        }
        true
    }
}
