//! The state that the leader of a part keeps in memory.

use crate::prelude::*;

/// Authority, grants, servers and running requests of a part that this instance leads.
#[derive(Clone, Debug)]
pub struct LedPart {
    /// Record that the leader acts on.
    pub record: PartRecord,
    /// Fencing token of the leader's orders.
    pub fence: FenceToken,
    /// Time on this instance's clock until which its orders may be valid.
    pub lease_until: MonoTime,
    /// Whether ranges on the move may not be granted or changed.
    pub frozen: bool,
    /// Grants sent to the servers.
    pub grants: GrantTable,
    /// Health of the servers.
    pub servers: IndexMap<ServerName, ServerHealth>,
    /// Running requests by the hash of their key.
    in_flight: IndexMap<KeyHash, u32>,
}

impl LedPart {
    /// Part that this instance leads from `now` on. Grants of an earlier leader may be valid for
    /// one more lease.
    pub fn new(authority: &LeaderAuthority, now: MonoTime, timing: &TimingSettings) -> Self {
        let mut grants = GrantTable::default();
        grants.inherit_until(now.after(timing.lengthened_by_drift(timing.lease)));
        Self {
            record: authority.record.clone(),
            fence: authority.fence(),
            lease_until: authority.valid_until,
            frozen: authority.frozen,
            grants,
            servers: IndexMap::new(),
            in_flight: IndexMap::new(),
        }
    }

    /// Updates the part to a renewed or changed authority.
    pub fn renew(&mut self, authority: &LeaderAuthority, now: MonoTime, timing: &TimingSettings) {
        if self.frozen && !authority.frozen {
            self.grants
                .inherit_until(now.after(timing.lengthened_by_drift(timing.lease)));
        }
        if self.record.edition != authority.record.edition {
            self.record = authority.record.clone();
        }
        self.fence = authority.fence();
        self.lease_until = authority.valid_until;
        self.frozen = authority.frozen;
    }

    /// Ranges that `server` may be granted at `now`.
    ///
    /// A range on the move stays with its former owner while requests for it run there, and goes to
    /// the new one once no other server can hold it.
    pub fn grantable_ranges(&self, server: &ServerName, now: MonoTime) -> Vec<SliceRange> {
        let allowed = |range: &SliceRange, owner: Option<&ServerName>| {
            let is_moving = self.record.is_moving(range);
            match owner == Some(server) {
                true if is_moving && self.frozen => false,
                true => !is_moving || self.grants.is_free_for(server, range, is_moving, now),
                false => {
                    is_moving
                        && !self.frozen
                        && self.running_requests(range) > 0
                        && self.grants.may_hold(server, range, now)
                }
            }
        };
        self.record
            .ranges()
            .filter(|(range, entry)| allowed(range, entry.owner.as_ref()))
            .map(|(range, _)| range)
            .collect()
    }

    /// Returns the next grant message to `server`; a suspected server gets no new grant.
    pub fn next_grant_step(
        &mut self,
        server: &ServerName,
        now: MonoTime,
        timing: &TimingSettings,
    ) -> GrantStep {
        self.servers
            .entry(server.clone())
            .or_insert_with(|| ServerHealth::new(now));
        let deadline = match self.server_state(server, now, timing) {
            ServerState::Suspected => now,
            ServerState::Joining | ServerState::Serving | ServerState::Draining => {
                now.after(timing.grant).min(self.lease_until)
            }
        };
        let ranges = self.grantable_ranges(server, now);
        self.grants.next_step(server, ranges, now, deadline, timing)
    }

    /// Requests that `server` reports beyond `ours`, so those of other instances.
    pub fn running_elsewhere(&self, server: &ServerName, ours: u32) -> u32 {
        let health = self.servers.get(server);
        health.map_or(0, |health| health.running_requests.saturating_sub(ours))
    }

    /// Ranges on the move for which only the new owner can still hold a grant.
    pub fn completed_moves(&self, now: MonoTime) -> Vec<SliceRange> {
        let is_done = |moving: &SliceRange| {
            self.record
                .ranges()
                .filter(|(range, _)| range.overlaps(moving))
                .all(|(range, entry)| {
                    entry
                        .owner
                        .as_ref()
                        .is_some_and(|owner| self.grants.is_free_for(owner, &range, true, now))
                })
        };
        let moving = self.record.moving.iter();
        moving.filter(|range| is_done(range)).copied().collect()
    }

    /// State of `server` at `now`.
    pub fn server_state(
        &self,
        server: &ServerName,
        now: MonoTime,
        timing: &TimingSettings,
    ) -> ServerState {
        let health = self.servers.get(server);
        health.map_or(ServerState::Joining, |health| health.state(now, timing))
    }

    /// Counts a request for `hash` that is about to be sent.
    pub fn request_started(&mut self, hash: KeyHash) {
        *self.in_flight.entry(hash).or_default() += 1;
    }

    /// Removes a request for `hash` that has ended from the count.
    pub fn request_finished(&mut self, hash: KeyHash) {
        if let Some(count) = self.in_flight.get_mut(&hash) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.swap_remove(&hash);
            }
        }
    }

    /// Number of running requests for keys in `range`.
    pub fn running_requests(&self, range: &SliceRange) -> u32 {
        self.in_flight
            .iter()
            .filter(|(hash, _)| range.contains(**hash))
            .map(|(_, count)| count)
            .sum()
    }

    /// Chooses the server for a request for `hash`.
    pub fn route(&self, hash: KeyHash, now: MonoTime) -> RouteDecision {
        let owner = self
            .record
            .slice_of(hash)
            .and_then(|entry| entry.owner.as_ref());
        let Some(owner) = owner else {
            return RouteDecision::Unowned;
        };
        self.decide(owner, self.grants.granted_until(owner, hash), now)
    }

    /// Chooses the server for a request to a shared service: of those of `servers` with a valid
    /// grant that are not leaving, the one with the lowest `running`.
    pub fn route_shared<'a>(
        &self,
        servers: impl IntoIterator<Item = &'a ServerName>,
        running: impl Fn(&ServerName) -> u32,
        now: MonoTime,
    ) -> RouteDecision {
        let has_grant = |server: &&ServerName| {
            let health = self.servers.get(*server);
            if health.is_some_and(|health| health.leaving) {
                return false;
            }
            let until = self.grants.any_granted_until(server);
            until.is_some_and(|until| until > now)
        };
        let servers = servers.into_iter().filter(has_grant);
        match servers.min_by_key(|name| running(name)) {
            Some(server) => self.decide(server, self.grants.any_granted_until(server), now),
            None => RouteDecision::Wait,
        }
    }

    /// Sends to `server` if its grant and this instance's lease last beyond `now`.
    fn decide(&self, server: &ServerName, until: Option<MonoTime>, now: MonoTime) -> RouteDecision {
        match until.map(|until| until.min(self.lease_until)) {
            Some(until) if until > now => RouteDecision::Send {
                server: server.clone(),
                fence: self.fence,
                not_after: until,
            },
            _ => RouteDecision::Wait,
        }
    }
}
