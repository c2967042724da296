//! A single, non-blocking attempt to select a server for a request.

use crate::{
    attempt_history::AttemptHistory,
    lookup_outcome::{GroupOutcome, LookupOutcome},
    prelude::*,
    quota_worker::{self, TokenOutcome},
    server_reservation::ServerReservation,
    warmup_worker,
};

/// A lookup of a server for a request, with the state that the decision is based on.
pub(crate) struct ServerLookup<'a> {
    node: &'a Arc<GatewayNode>,
    call: &'a CallerCall,
    state: &'a Arc<ServiceState>,
    history: &'a AttemptHistory,
    ticket: Option<QueueTicket>,
    /// Servers that accept requests and are reached.
    servers: ServerList,
    /// Whether there are others, which are not reached.
    has_unreached: bool,
    assumptions: LoadAssumptions,
    pub(crate) rank: QueueRank,
    pub(crate) now: MonoTime,
}

impl<'a> ServerLookup<'a> {
    pub(crate) fn new(
        node: &'a Arc<GatewayNode>,
        call: &'a CallerCall,
        state: &'a Arc<ServiceState>,
        history: &'a AttemptHistory,
        ticket: Option<QueueTicket>,
    ) -> Self {
        let now = node.now();
        let usable = node.usable_servers(&call.service);
        let servers = match history.ignores_reach {
            true => usable.clone(),
            false => node.reached_servers(&usable),
        };
        let has_unreached = servers.len() < usable.len();
        let assumptions = state.load_assumptions(&call.route.name);
        let min_expected = servers
            .iter()
            .map(|server| {
                server
                    .load
                    .lock()
                    .expected_completion(now, assumptions.reported_only())
            })
            .fold(f64::INFINITY, f64::min);
        let rank = QueueRank {
            is_late: min_expected > call.target_time_left(now).as_secs_f64(),
            priority: call.route.priority,
        };
        Self {
            node,
            call,
            state,
            history,
            ticket,
            servers,
            has_unreached,
            assumptions,
            rank,
            now,
        }
    }

    pub(crate) fn run(&self) -> LookupOutcome {
        match self.node.is_keyed(&self.call.service) {
            true => self.select_owner(),
            false => self.select_any(),
        }
    }

    fn select_any(&self) -> LookupOutcome {
        if self.servers.is_empty() {
            return LookupOutcome::Refuse(match self.has_unreached {
                true => RefusalReason::Unreachable,
                false => RefusalReason::NoServer,
            });
        }
        let is_next = |queue: &mut WaitingQueue| queue.is_next(self.ticket, self.rank);
        if !self.state.with_queue(is_next) {
            return LookupOutcome::Wait(RefusalReason::NoRoom);
        }
        let subset = self.subset();
        let is_partial = subset.len() < self.servers.len();
        match self.select_among(subset) {
            GroupOutcome::Exhausted(_) if is_partial => {
                let all = self.servers.iter().collect();
                self.select_among(all).into()
            }
            outcome => outcome.into(),
        }
    }

    /// Selects one of the servers. Those whose limit is used up are passed over.
    fn select_among(&self, mut servers: Vec<&Arc<ServerRuntime>>) -> GroupOutcome {
        let mut limited = None;
        loop {
            let position = match self.select(&servers) {
                SelectionOutcome::Send(position) => position,
                SelectionOutcome::Wait => {
                    return GroupOutcome::Exhausted(LookupOutcome::Wait(RefusalReason::NoRoom));
                }
                SelectionOutcome::Refuse => {
                    let none = || self.wait_for_rest(&servers);
                    return GroupOutcome::Exhausted(limited.unwrap_or_else(none));
                }
            };
            let outcome = self.reserve(servers[position], None);
            match outcome {
                // The answer to an ask for tokens is worth waiting for.
                LookupOutcome::Wait(RefusalReason::Limited(_)) => limited = Some(outcome),
                LookupOutcome::Refuse(RefusalReason::Limited(_)) => {
                    limited.get_or_insert(outcome);
                }
                _ => return GroupOutcome::Decided(outcome),
            }
            servers.remove(position);
        }
    }

    /// Outcome when no server takes the request: the first one that ends its rest may do so.
    fn wait_for_rest(&self, servers: &[&Arc<ServerRuntime>]) -> LookupOutcome {
        let untried = servers
            .iter()
            .filter(|server| !self.history.tried.contains(server.incarnation()));
        let rests = untried.map(|server| server.load.lock().rest_left(self.now));
        match rests.filter(|rest| !rest.is_zero()).min() {
            Some(rest) => Self::wait_or_refuse(rest),
            None => LookupOutcome::Refuse(RefusalReason::NoServer),
        }
    }

    /// Waits for the end of a short rest, and refuses the request because of a longer one.
    fn wait_or_refuse(rest: Duration) -> LookupOutcome {
        /// Longest rest that is worth waiting for.
        const MAX_WAIT: Duration = Duration::from_millis(150);
        match rest <= MAX_WAIT {
            true => LookupOutcome::Wait(RefusalReason::Resting(rest)),
            false => LookupOutcome::Refuse(RefusalReason::Resting(rest)),
        }
    }

    /// The servers that this instance prefers: a part of its own data centre's and a part of the
    /// others.
    fn subset(&self) -> Vec<&Arc<ServerRuntime>> {
        let centre = &self.node.settings.data_centre;
        let is_local = |server: &&Arc<ServerRuntime>| server.entry.data_centre == *centre;
        let (local, remote): (Vec<_>, Vec<_>) = self.servers.iter().partition(is_local);
        let positions = self.node.peers.lock().positions();
        let local_positions =
            ServerSubset::positions(local.len(), ServerSubset::LOCAL_SERVERS, positions.local);
        let remote_positions =
            ServerSubset::positions(remote.len(), ServerSubset::REMOTE_SERVERS, positions.all);
        let mut subset: Vec<_> = local_positions.map(|position| local[position]).collect();
        subset.extend(remote_positions.map(|position| remote[position]));
        subset
    }

    fn select(&self, servers: &[&Arc<ServerRuntime>]) -> SelectionOutcome {
        let is_bounded = warmup_worker::cold_rate(self.node, &self.call.service).is_some();
        let loads: Vec<_> = servers.iter().map(|server| server.load.lock()).collect();
        let candidates: Vec<ServerCandidate<'_>> = servers
            .iter()
            .zip(&loads)
            .map(|(server, load)| ServerCandidate {
                load,
                is_local: server.entry.data_centre == self.node.settings.data_centre,
                was_tried: self.history.tried.contains(server.incarnation()),
                is_warming_up: server.is_warming_up(is_bounded, self.now),
            })
            .collect();
        let selector = ServerSelector {
            assumptions: self.assumptions,
            target_left: self.call.target_time_left(self.now).as_secs_f64(),
            time_left: self.call.time_left(self.now).as_secs_f64(),
            ..self.node.selector
        };
        selector.choose(&candidates, self.now, rand::random::<f64>)
    }

    fn select_owner(&self) -> LookupOutcome {
        let Some(key) = self.call.headers.key else {
            return LookupOutcome::Refuse(RefusalReason::NoKey);
        };
        let Some((server, revision)) = self.owner_of(key) else {
            return match self.node.is_fully_evacuated(&self.call.service) {
                true => LookupOutcome::Refuse(RefusalReason::NoServer),
                false => LookupOutcome::Wait(RefusalReason::NoOwner),
            };
        };
        let centre = &server.entry.data_centre;
        if !self.history.ignores_reach && self.node.reach.lock().is_lost(centre) {
            return LookupOutcome::Refuse(RefusalReason::Unreachable);
        }
        let rest = server.load.lock().rest_left(self.now);
        if !rest.is_zero() {
            return Self::wait_or_refuse(rest);
        }
        let (is_ejected, has_room) = {
            let load = server.load.lock();
            let selector = ServerSelector {
                assumptions: self.assumptions,
                ..self.node.owner_selector
            };
            let has_room = selector.has_room(&load, self.now);
            (load.is_ejected(self.now), has_room)
        };
        match (is_ejected, has_room) {
            (true, _) => LookupOutcome::Wait(RefusalReason::NoOwner),
            (false, false) => LookupOutcome::Wait(RefusalReason::NoRoom),
            (false, true) => self.reserve(&server, Some(revision)),
        }
    }

    /// The server that currently serves a key, and the revision of the record that names it.
    fn owner_of(&self, key: u16) -> Option<(Arc<ServerRuntime>, StoreRevision)> {
        let (range, revision, is_served) = self.node.key_range(&self.call.service, key)?;
        let is_stale = self
            .history
            .stale_record
            .is_some_and(|stale| revision <= stale.revision && self.now < stale.ignored_until);
        if !is_served || is_stale {
            return None;
        }
        let server = self.node.server(&range.owner)?;
        server
            .accepts_requests(self.now, self.node.leaving_bounds())
            .then_some((server, revision))
    }

    /// Reserves a server for the request, unless the server is not expected to finish it in time.
    fn reserve(
        &self,
        server: &Arc<ServerRuntime>,
        key_revision: Option<StoreRevision>,
    ) -> LookupOutcome {
        let now = self.now;
        let load = server.load.lock();
        let expected = load.expected_completion(now, self.assumptions.reported_only());
        let was_full = load.estimated_requests(now, self.assumptions.reported_only())
            >= f64::from(load.slots());
        if expected > self.call.time_left(now).as_secs_f64() {
            return LookupOutcome::Refuse(RefusalReason::DeadlineUnreachable);
        }
        if was_full && expected > self.call.target_time_left(now).as_secs_f64() {
            return LookupOutcome::Wait(RefusalReason::NoRoom);
        }
        drop(load);
        let (has_token, is_cold) =
            match quota_worker::take_token(self.node, server, self.ticket.is_none()) {
                TokenOutcome::NotNeeded => (false, false),
                TokenOutcome::Taken { is_cold } => (true, is_cold),
                TokenOutcome::Wait => {
                    return LookupOutcome::Wait(RefusalReason::Limited(Duration::ZERO));
                }
                TokenOutcome::Refused(pause) => {
                    return LookupOutcome::Refuse(RefusalReason::Limited(pause));
                }
            };
        server.load.lock().request_started(now);
        LookupOutcome::Reserved(ServerReservation {
            server: server.clone(),
            reserved_at: now,
            was_full,
            has_token,
            is_cold,
            key_revision,
            service_state: self.state.clone(),
            clock: self.node.clock,
        })
    }
}
