//! Servers known from discovery.
//!
//! Each entry has the revision of its last change. An older entry never replaces a newer one, in
//! whatever order reads and events arrive. Entries that expire around an outage of the store stay
//! in use for a grace period, since live servers write theirs again after its return.

use crate::prelude::*;

/// Entries of servers, by identifier.
#[derive(Debug, Default)]
pub struct ServerRoster {
    servers: IndexMap<String, RosterRow>,
    /// Revisions of removed entries, so that a stale read does not bring them back.
    removed_revisions: IndexMap<String, StoreRevision>,
}

#[derive(Debug)]
struct RosterRow {
    entry: ServerEntry,
    revision: StoreRevision,
    /// End of the grace period of an entry that expired around an outage.
    expires_at: Option<MonoTime>,
}

/// Change of one entry, reported by discovery.
#[derive(Clone, Debug)]
pub enum RosterChange {
    /// The entry was written at a revision.
    Updated(Box<ServerEntry>, StoreRevision),
    /// The entry of an identifier was removed, or could not be read, at a revision.
    Removed(String, StoreRevision),
}

impl ServerRoster {
    /// Highest number of removals remembered.
    const MAX_REMOVED: usize = 4_096;

    /// Applies a change; returns whether a server, its address or its state changed. A removed
    /// entry stays in use for `grace_period`, unless its server was draining.
    pub fn apply(&mut self, change: RosterChange, now: MonoTime, grace_period: Duration) -> bool {
        match change {
            RosterChange::Updated(entry, revision) => self.insert_entry(*entry, revision),
            RosterChange::Removed(id, revision) => {
                self.remove_entry(&id, revision, now, grace_period)
            }
        }
    }

    /// Replaces all entries by a complete list read at `revision`. Entries that changed after it
    /// stay.
    pub fn replace_all(
        &mut self,
        entries: Vec<(ServerEntry, StoreRevision)>,
        revision: StoreRevision,
        now: MonoTime,
        grace_period: Duration,
    ) {
        let listed_ids: Vec<String> = entries
            .iter()
            .map(|(entry, _)| entry.incarnation.id.clone())
            .collect();
        for (entry, revision) in entries {
            self.insert_entry(entry, revision);
        }
        let missing_ids: Vec<String> = self
            .servers
            .iter()
            .filter(|(id, row)| row.revision <= revision && !listed_ids.contains(id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in missing_ids {
            self.remove_entry(&id, revision, now, grace_period);
        }
    }

    /// Removes entries whose grace period has ended; returns whether there were any.
    pub fn remove_expired(&mut self, now: MonoTime) -> bool {
        let before = self.servers.len();
        self.servers
            .retain(|_, row| row.expires_at.is_none_or(|at| now < at));
        self.servers.len() != before
    }

    /// Determines from the entries whether a server incarnation that was known at `address`
    /// has ended.
    pub fn incarnation_status(
        &self,
        incarnation: &ServerIncarnation,
        address: Option<SocketAddr>,
    ) -> IncarnationStatus {
        let later_entries: Vec<&ServerEntry> = self
            .entries()
            .filter(|entry| entry.incarnation.born > incarnation.born)
            .collect();
        let is_same_address = |entry: &&ServerEntry| Some(entry.address) == address;
        match later_entries
            .iter()
            .find(|entry| entry.incarnation.id == incarnation.id)
        {
            Some(entry) if is_same_address(entry) => IncarnationStatus::Replaced,
            Some(_) => IncarnationStatus::Dead,
            None if later_entries.iter().any(is_same_address) => IncarnationStatus::Dead,
            None => IncarnationStatus::Alive,
        }
    }

    /// Returns all entries.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.servers.values().map(|row| &row.entry)
    }

    fn insert_entry(&mut self, entry: ServerEntry, revision: StoreRevision) -> bool {
        let id = entry.incarnation.id.clone();
        let removed_revision = self.removed_revisions.get(&id).copied().unwrap_or_default();
        let known_revision = self
            .servers
            .get(&id)
            .map_or(StoreRevision::ZERO, |row| row.revision);
        if revision <= removed_revision || revision <= known_revision {
            return false;
        }
        let has_changed = self.servers.get(&id).is_none_or(|row| {
            row.entry.state != entry.state
                || row.entry.incarnation != entry.incarnation
                || row.entry.address != entry.address
        });
        let row = RosterRow {
            entry,
            revision,
            expires_at: None,
        };
        self.servers.insert(id, row);
        has_changed
    }

    fn remove_entry(
        &mut self,
        id: &str,
        revision: StoreRevision,
        now: MonoTime,
        grace_period: Duration,
    ) -> bool {
        let Some(row) = self.servers.get_mut(id) else {
            return false;
        };
        if row.revision > revision {
            return false;
        }
        self.removed_revisions.insert(id.into(), revision);
        if self.removed_revisions.len() > Self::MAX_REMOVED {
            self.removed_revisions.shift_remove_index(0);
        }
        if grace_period.is_zero() || row.entry.state == ServerState::Draining {
            self.servers.shift_remove(id);
        } else if row.expires_at.is_none() {
            row.expires_at = Some(now.after(grace_period));
        }
        true
    }
}
