//! Servers known from discovery.
//!
//! Each entry has the revision of its last change. An older entry never replaces a newer one, in
//! whatever order reads and events arrive. Entries that expire around an outage of the store stay
//! in use for a grace period, since live servers write theirs again after its return.
//!
//! When the store is restored from an older copy, its entries are later by their revisions, but may
//! be older by what they say. For a settle period an entry that contradicts what is known is held
//! back until the server itself writes a later one, and a server that the copy lacks stays in use.

use crate::{
    known_server::{EntryVerdict, KnownServer, KnownStanding},
    prelude::*,
    roster_row::{RemovedServer, RosterRow},
    settle_period::SettlePeriod,
};

/// Entries of servers, by identifier.
#[derive(Debug, Default)]
pub struct ServerRoster {
    servers: IndexMap<String, RosterRow>,
    /// Removed servers, so that a stale read does not bring them back.
    removed: IndexMap<String, RemovedServer>,
    /// Entries of the present era that may be older than what is known.
    held: IndexMap<String, (ServerEntry, StoreRevision)>,
    period: SettlePeriod,
}

impl ServerRoster {
    /// Highest number of removals remembered.
    const MAX_REMOVED: usize = 4_096;

    /// Takes note of the revision of an update before its changes are applied. The first one of a
    /// later era begins a settle period; returns whether it does.
    pub fn observe_revision(&mut self, revision: StoreRevision, now: MonoTime) -> bool {
        if !self.period.begin(revision, now) {
            return false;
        }
        self.held.clear();
        for (id, row) in &mut self.servers {
            let removed = self.removed.get(id);
            let was_missing = removed.is_none_or(|removed| removed.revision.era > row.revision.era);
            if row.expires_at.is_some() && was_missing {
                row.expires_at = None;
                self.removed.shift_remove(id);
            }
        }
        true
    }

    /// Applies a change; returns whether a server, its address or its state changed. A removed
    /// entry stays in use for `grace_period`, unless its server was draining.
    pub fn apply(&mut self, change: RosterChange, now: MonoTime, grace_period: Duration) -> bool {
        match change {
            RosterChange::Updated(entry, revision) => {
                self.observe_revision(revision, now);
                self.insert_entry(*entry, revision, now)
            }
            RosterChange::Removed(id, revision) => {
                self.observe_revision(revision, now);
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
        self.observe_revision(revision, now);
        if revision.era < self.period.era() {
            return;
        }
        let id_of = |(entry, _): &(ServerEntry, StoreRevision)| entry.incarnation.id.clone();
        let listed_ids: Vec<String> = entries.iter().map(id_of).collect();
        for (entry, revision) in entries {
            self.insert_entry(entry, revision, now);
        }
        let known = self.servers.iter().map(|(id, row)| (id, row.revision));
        let held = self.held.iter().map(|(id, (_, held_at))| (id, *held_at));
        let missing_ids: Vec<String> = known
            .chain(held)
            .filter(|(id, known_at)| *known_at <= revision && !listed_ids.contains(id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in missing_ids {
            self.remove_entry(&id, revision, now, grace_period);
        }
    }

    /// Removes entries whose grace period has ended, and uses those that are still held back when
    /// the settle period has; returns whether there were any.
    pub fn remove_expired(&mut self, now: MonoTime) -> bool {
        let mut has_changed = false;
        if self.period.end_if_over(now) {
            for (_, (entry, revision)) in std::mem::take(&mut self.held) {
                self.accept_entry(entry, revision);
                has_changed = true;
            }
        }
        let expired_ids: Vec<String> = self
            .servers
            .iter()
            .filter(|(_, row)| row.expires_at.is_some_and(|at| now >= at))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired_ids {
            if let Some(row) = self.servers.shift_remove(id) {
                self.record_removal(id, row.removed_at(row.revision));
            }
        }
        has_changed || !expired_ids.is_empty()
    }

    /// Determines from the entries whether a server incarnation has ended that was known at `address`,
    /// if at all. An entry whose service `is_named` rejects names no server and proves nothing.
    pub fn incarnation_status(
        &self,
        incarnation: &ServerIncarnation,
        address: Option<SocketAddr>,
        is_named: impl Fn(&str) -> bool,
    ) -> IncarnationStatus {
        let later_entries: Vec<&ServerEntry> = self
            .entries()
            .filter(|entry| entry.incarnation.born > incarnation.born)
            .filter(|entry| is_named(&entry.service))
            .collect();
        let is_same_address = |entry: &&ServerEntry| Some(entry.address) == address;
        let mut entries = later_entries.iter();
        match entries.find(|entry| entry.incarnation.id == incarnation.id) {
            // Without its address, the orders to it may have reached the later one.
            Some(entry) if address.is_none() || is_same_address(entry) => {
                IncarnationStatus::Replaced
            }
            Some(_) => IncarnationStatus::Dead,
            None if later_entries.iter().any(is_same_address) => IncarnationStatus::Dead,
            None => IncarnationStatus::Alive,
        }
    }

    /// Returns all entries.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.servers.values().map(|row| &row.entry)
    }

    /// All entries, each with the revision of its last change.
    pub fn dated_entries(&self) -> impl Iterator<Item = (&ServerEntry, StoreRevision)> {
        self.servers.values().map(|row| (&row.entry, row.revision))
    }

    /// Number of entries that are held back since they may be older than what is known.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Number of servers that count as gone soon unless their entries are written again.
    pub fn expiring_count(&self) -> usize {
        let rows = self.servers.values();
        rows.filter(|row| row.expires_at.is_some()).count()
    }

    fn insert_entry(&mut self, entry: ServerEntry, revision: StoreRevision, now: MonoTime) -> bool {
        let id = &entry.incarnation.id;
        let removed = self.removed.get(id).map(|removed| removed.revision);
        let known = self.servers.get(id).map(|row| row.revision);
        let held = self.held.get(id).map(|(_, held_at)| *held_at);
        let is_earlier_era = revision.era < self.period.era();
        if [removed, known, held].into_iter().flatten().max() >= Some(revision)
            || is_earlier_era && known.is_none()
        {
            return false;
        }
        match self.judge(&entry, revision, now) {
            EntryVerdict::Accepted => self.accept_entry(entry, revision),
            EntryVerdict::Held => {
                self.hold_entry(entry, revision, now);
                false
            }
        }
    }

    /// Judges an entry by what an earlier era told of its server.
    fn judge(&self, entry: &ServerEntry, revision: StoreRevision, now: MonoTime) -> EntryVerdict {
        let era = self.period.era();
        if revision.era < era || !self.period.is_running(now) {
            return EntryVerdict::Accepted;
        }
        let id = &entry.incarnation.id;
        let removed = self.removed.get(id);
        let removed = removed.filter(|removed| removed.revision.era < era);
        let mut known = match (self.servers.get(id), removed) {
            (Some(row), _) if row.revision.era == era => return EntryVerdict::Accepted,
            (Some(row), Some(_)) => KnownServer {
                standing: KnownStanding::Gone,
                ..row.known_server()
            },
            (Some(row), None) => row.known_server(),
            (None, Some(removed)) => removed.server,
            (None, None) => return EntryVerdict::Accepted,
        };
        if let Some((held, _)) = self.held.get(id)
            && held.incarnation.born == known.born
        {
            known.sequence = known.sequence.max(held.sequence);
        }
        known.judge(entry, self.period.is_copied(revision))
    }

    fn hold_entry(&mut self, entry: ServerEntry, revision: StoreRevision, now: MonoTime) {
        let id = entry.incarnation.id.clone();
        if let Some(row) = self.servers.get_mut(&id) {
            if row.entry.incarnation.born > entry.incarnation.born {
                let return_left = self.period.return_left(now);
                row.expires_at.get_or_insert(now.after(return_left));
            } else if row.expires_at.is_some() {
                // It expired around an outage, so it may well be alive.
                row.expires_at = Some(now.after(self.period.settle_left(now)));
            }
        }
        self.held.insert(id, (entry, revision));
    }

    fn accept_entry(&mut self, entry: ServerEntry, revision: StoreRevision) -> bool {
        let id = entry.incarnation.id.clone();
        let known = self.servers.get(&id);
        let has_changed = known.is_none_or(|row| {
            row.entry.state != entry.state
                || row.entry.incarnation != entry.incarnation
                || row.entry.address != entry.address
        });
        let expires_at = match revision.era < self.period.era() {
            true => known.and_then(|row| row.expires_at),
            false => None,
        };
        self.held.shift_remove(&id);
        self.removed.shift_remove(&id);
        let row = RosterRow {
            entry,
            revision,
            expires_at,
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
        if self
            .held
            .get(id)
            .is_some_and(|(_, held_at)| *held_at <= revision)
        {
            self.held.shift_remove(id);
        }
        let Some(row) = self.servers.get_mut(id) else {
            if let Some(removed) = self.removed.get_mut(id) {
                removed.revision = removed.revision.max(revision);
            }
            return false;
        };
        if row.revision > revision {
            return false;
        }
        let removed = row.removed_at(revision);
        let is_missing = row.revision.era < revision.era && self.period.is_running(now);
        let grace_period = match is_missing {
            true => grace_period.max(self.period.return_left(now)),
            false => grace_period,
        };
        if grace_period.is_zero() || row.entry.state == ServerState::Draining {
            self.servers.shift_remove(id);
        } else if row.expires_at.is_none() {
            row.expires_at = Some(now.after(grace_period));
        }
        self.record_removal(id, removed);
        true
    }

    /// Remembers the removal of a server, unless a later one is known.
    fn record_removal(&mut self, id: &str, removed: RemovedServer) {
        let known = self.removed.get(id);
        if known.is_some_and(|known| known.revision >= removed.revision) {
            return;
        }
        self.removed.insert(id.into(), removed);
        if self.removed.len() > Self::MAX_REMOVED {
            self.removed.shift_remove_index(0);
        }
    }
}
