//! Seeded histories of servers, a store that is restored, and one roster that follows it.

use super::{at, restored_store::RestoredStore};
use geraniummast_routing::*;
use indexmap::{IndexMap, IndexSet};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::time::Duration;

/// Time of a step.
const STEP_MS: u64 = 100;
/// Time between two writes of a server, and after how many of them its entry lapses.
const HEARTBEAT_MS: u64 = 870;
const LAPSE_MS: u64 = 3 * HEARTBEAT_MS;
/// Time within which live servers write again after a restore.
const RETURN_MS: u64 = 2_000;
/// Time within which the roster learns of changes.
const DELIVERY_MS: u64 = 300;
/// Longest time for which a live server may be missing after a restore or its return.
const LOSS_BOUND_MS: u64 = 4_000;

/// One server. Its present incarnation is the entry's.
struct SimulatedServer {
    entry: ServerEntry,
    is_alive: bool,
    /// When it writes next.
    next_write_ms: u64,
    /// Until when it is cut off from the store.
    cut_until_ms: u64,
    exits_at_ms: Option<u64>,
    /// When its entry lapses unless it writes before.
    lapses_at_ms: u64,
    /// Since when it is alive, ready and heard by the store.
    steady_since_ms: u64,
}

/// The servers, the store and the roster.
pub(crate) struct RosterSimulation {
    pub(crate) restores: usize,
    /// Listed entries that say less than was acknowledged.
    pub(crate) contradictions: usize,
    seed: u64,
    rng: StdRng,
    now_ms: u64,
    store: RestoredStore,
    servers: Vec<SimulatedServer>,
    roster: ServerRoster,
    /// Position in the changes of the present era up to which the roster knows them.
    delivered: usize,
    next_delivery_ms: u64,
    is_list_due: bool,
    restored_at_ms: u64,
    /// Incarnations that the roster was told to be leaving or gone, and that have not written since
    /// that they are ready.
    left: IndexSet<ServerIncarnation>,
    /// Entries that the roster has last been told.
    told: IndexMap<String, ServerIncarnation>,
    /// Servers in use that live and write: they must stay in use.
    kept: IndexSet<ServerIncarnation>,
}

impl RosterSimulation {
    pub(crate) fn new(seed: u64) -> Self {
        let servers = (0..6).map(|number| SimulatedServer {
            entry: super::entry(&format!("s{number}"), 1, ServerState::Ready, 0),
            is_alive: true,
            next_write_ms: number * HEARTBEAT_MS / 6,
            cut_until_ms: 0,
            exits_at_ms: None,
            lapses_at_ms: LAPSE_MS,
            steady_since_ms: 0,
        });
        Self {
            restores: 0,
            contradictions: 0,
            seed,
            rng: StdRng::seed_from_u64(seed),
            now_ms: 0,
            store: RestoredStore::new(),
            servers: servers.collect(),
            roster: ServerRoster::default(),
            delivered: 0,
            next_delivery_ms: 0,
            is_list_due: true,
            restored_at_ms: 0,
            left: IndexSet::new(),
            told: IndexMap::new(),
            kept: IndexSet::new(),
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        while Duration::from_millis(self.now_ms) < time {
            self.now_ms += STEP_MS;
            self.step_servers();
            self.store.copy(self.now_ms);
            if self.now_ms > 6_000 && self.rng.random_bool(0.015) {
                self.restore();
            }
            if self.now_ms >= self.next_delivery_ms {
                self.deliver();
                let pause = self.rng.random_range(0..=DELIVERY_MS - STEP_MS);
                self.next_delivery_ms = self.now_ms + pause;
            }
            self.roster.remove_expired(at(self.now_ms));
            self.check();
        }
    }

    fn step_servers(&mut self) {
        let now = self.now_ms;
        for server in &mut self.servers {
            let is_ready = server.is_alive && server.entry.state == ServerState::Ready;
            let draw: f64 = self.rng.random();
            match server.is_alive {
                true if is_ready && draw < 0.002 => {
                    server.entry.state = ServerState::Draining;
                    server.next_write_ms = now;
                    server.exits_at_ms = Some(now + self.rng.random_range(1_000..5_000));
                }
                // It leaves without draining.
                true if is_ready && draw < 0.003 => {
                    server.is_alive = false;
                    self.store.remove(&server.entry.incarnation.id);
                }
                // It crashes.
                true if is_ready && draw < 0.005 => server.is_alive = false,
                // It is cut off from the store for some time.
                true if is_ready && draw < 0.007 => {
                    let silence = self.rng.random_range(500..6_000);
                    server.cut_until_ms = now + silence;
                }
                false if draw < 0.02 => {
                    server.entry.incarnation.born = now;
                    server.entry.state = ServerState::Ready;
                    server.entry.sequence = Some(0);
                    server.is_alive = true;
                    server.next_write_ms = now;
                    server.steady_since_ms = now;
                }
                _ => {}
            }
            if server.exits_at_ms.is_some_and(|exits_at| now >= exits_at) {
                server.exits_at_ms = None;
                server.is_alive = false;
                self.store.remove(&server.entry.incarnation.id);
            }
            if server.is_alive && now >= server.next_write_ms.max(server.cut_until_ms) {
                if server.next_write_ms < server.cut_until_ms {
                    server.steady_since_ms = now;
                }
                server.entry.sequence = server.entry.sequence.map(|count| count + 1);
                self.store.write(&server.entry);
                if server.entry.state == ServerState::Ready {
                    self.left.shift_remove(&server.entry.incarnation);
                }
                server.next_write_ms = now + HEARTBEAT_MS;
                server.lapses_at_ms = now + LAPSE_MS;
            } else if now >= server.lapses_at_ms {
                self.store.remove(&server.entry.incarnation.id);
            }
        }
    }

    fn restore(&mut self) {
        let age = self.rng.random_range(0..5_000);
        let to = self.now_ms.saturating_sub(age);
        self.store.restore(to);
        self.restores += 1;
        self.restored_at_ms = self.now_ms;
        self.is_list_due = true;
        self.delivered = 0;
        self.next_delivery_ms = self.now_ms + self.rng.random_range(0..DELIVERY_MS);
        for server in &mut self.servers {
            server.next_write_ms = self.now_ms + self.rng.random_range(0..RETURN_MS);
            server.lapses_at_ms = self.now_ms + LAPSE_MS;
        }
    }

    /// Tells the roster all changes, or gives it a list.
    fn deliver(&mut self) {
        let now = at(self.now_ms);
        let is_first = std::mem::take(&mut self.is_list_due);
        let changes = self.store.changes[self.delivered..].to_vec();
        self.delivered = self.store.changes.len();
        if is_first || self.rng.random_bool(0.02) {
            self.note_list(is_first);
            let entries = self.store.entries.values().cloned().collect();
            let revision = self.store.revision();
            self.roster
                .replace_all(entries, revision, now, Duration::ZERO);
            return;
        }
        for (revision, id, entry) in changes {
            self.note(&id, entry.as_ref());
            let change = match entry {
                Some(entry) => RosterChange::Updated(Box::new(entry), revision),
                None => RosterChange::Removed(id, revision),
            };
            self.roster.apply(change, now, Duration::ZERO);
        }
    }

    /// Takes note of a list that the roster is given. That the first one of an era lacks a server
    /// says nothing of it.
    fn note_list(&mut self, is_first: bool) {
        let before = std::mem::take(&mut self.told);
        for (id, (entry, _)) in &self.store.entries {
            let incarnation = entry.incarnation.clone();
            let is_draining = entry.state == ServerState::Draining;
            let has_left = self.left.contains(&incarnation);
            self.contradictions += usize::from(is_first && has_left && !is_draining);
            if is_draining {
                self.left.insert(incarnation.clone());
            }
            self.told.insert(id.clone(), incarnation);
        }
        for (id, incarnation) in before {
            if !is_first && !self.told.contains_key(&id) {
                self.left.insert(incarnation);
            }
        }
    }

    /// Takes note of a change that the roster is told of.
    fn note(&mut self, id: &str, entry: Option<&ServerEntry>) {
        match entry {
            Some(entry) => {
                let incarnation = entry.incarnation.clone();
                match entry.state {
                    ServerState::Ready => self.left.shift_remove(&incarnation),
                    ServerState::Draining => self.left.insert(incarnation.clone()),
                };
                self.told.insert(id.into(), incarnation);
            }
            None => self.left.extend(self.told.shift_remove(id)),
        }
    }

    fn check(&mut self) {
        let (seed, now) = (self.seed, self.now_ms);
        let is_ready = |entry: &&ServerEntry| entry.state == ServerState::Ready;
        let ready = self.roster.entries().filter(is_ready);
        let usable: IndexSet<_> = ready.map(|entry| entry.incarnation.clone()).collect();
        for incarnation in &usable {
            let has_left = self.left.contains(incarnation);
            assert!(
                !has_left,
                "seed {seed} at {now}: {incarnation} is used again"
            );
        }
        let mut kept = IndexSet::new();
        for server in &self.servers {
            let incarnation = &server.entry.incarnation;
            let is_heard = now >= server.cut_until_ms;
            let is_live = server.is_alive && server.entry.state == ServerState::Ready && is_heard;
            if !is_live {
                continue;
            }
            let since = server.steady_since_ms.max(self.restored_at_ms);
            let is_usable = usable.contains(incarnation);
            let must_be = self.kept.contains(incarnation) || now - since > LOSS_BOUND_MS;
            assert!(
                is_usable || !must_be,
                "seed {seed} at {now}: {incarnation} is lost"
            );
            if is_usable {
                kept.insert(incarnation.clone());
            }
        }
        self.kept = kept;
    }
}
