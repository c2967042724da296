//! One look for a server: who may take a request, and whether it has to wait.

use crate::{found_server::FoundServer, prelude::*, tried_servers::TriedServers};

/// One look at the servers.
pub(crate) enum LookStep {
    Found(FoundServer),
    Wait(RefusalReason),
    Refuse(RefusalReason),
}

/// One look at the servers for a request, with what it is decided from.
pub(crate) struct SearchLook<'a> {
    node: &'a Arc<GatewayNode>,
    call: &'a CallerCall,
    state: &'a Arc<ServiceState>,
    tried: &'a TriedServers,
    ticket: Option<QueueTicket>,
    servers: ServerList,
    outlook: LoadAssumptions,
    pub(crate) rank: QueueRank,
    pub(crate) now: MonoTime,
}

impl<'a> SearchLook<'a> {
    pub(crate) fn new(
        node: &'a Arc<GatewayNode>,
        call: &'a CallerCall,
        state: &'a Arc<ServiceState>,
        tried: &'a TriedServers,
        ticket: Option<QueueTicket>,
    ) -> Self {
        let now = node.now();
        let servers = node.usable_servers(&call.service);
        let outlook = state.outlook(&call.route.name);
        let least = servers
            .iter()
            .map(|server| {
                server
                    .load
                    .lock()
                    .unwrap()
                    .expected_completion(now, outlook.reported_only())
            })
            .fold(f64::INFINITY, f64::min);
        let rank = QueueRank {
            is_late: least > call.target_time_left(now).as_secs_f64(),
            priority: call.route.priority,
        };
        Self {
            node,
            call,
            state,
            tried,
            ticket,
            servers,
            outlook,
            rank,
            now,
        }
    }

    pub(crate) fn step(&self) -> LookStep {
        match self.node.is_keyed(&self.call.service) {
            true => self.look_for_owner(),
            false => self.look_for_any(),
        }
    }

    fn look_for_any(&self) -> LookStep {
        if self.servers.is_empty() {
            return LookStep::Refuse(RefusalReason::NoServer);
        }
        let is_next = |queue: &mut WaitingQueue| queue.is_next(self.ticket, self.rank);
        if !self.state.queue(is_next) {
            return LookStep::Wait(RefusalReason::NoRoom);
        }
        let subset = self.subset();
        let mut step = self.choose(&subset);
        if subset.len() < self.servers.len() && !matches!(step, SelectionOutcome::Send(_)) {
            let all: Vec<&Arc<ServerRuntime>> = self.servers.iter().collect();
            step = self.choose(&all);
            if let SelectionOutcome::Send(position) = step {
                return self.take(all[position], None);
            }
        }
        match step {
            SelectionOutcome::Send(position) => self.take(subset[position], None),
            SelectionOutcome::Wait => LookStep::Wait(RefusalReason::NoRoom),
            SelectionOutcome::Refuse => LookStep::Refuse(RefusalReason::NoServer),
        }
    }

    /// Servers that this instance uses while they have room.
    fn subset(&self) -> Vec<&Arc<ServerRuntime>> {
        let centre = &self.node.settings.data_centre;
        let is_near = |server: &&Arc<ServerRuntime>| server.entry.data_centre == *centre;
        let (near, far): (Vec<_>, Vec<_>) = self.servers.iter().partition(is_near);
        let places = self.node.peers.lock().unwrap().positions();
        let near_positions =
            ServerSubset::positions(near.len(), ServerSubset::LOCAL_SERVERS, places.local);
        let far_positions =
            ServerSubset::positions(far.len(), ServerSubset::REMOTE_SERVERS, places.all);
        let mut subset: Vec<_> = near_positions.map(|position| near[position]).collect();
        subset.extend(far_positions.map(|position| far[position]));
        subset
    }

    fn choose(&self, servers: &[&Arc<ServerRuntime>]) -> SelectionOutcome {
        let loads: Vec<_> = servers
            .iter()
            .map(|server| server.load.lock().unwrap())
            .collect();
        let inputs: Vec<ServerCandidate<'_>> = servers
            .iter()
            .zip(&loads)
            .map(|(server, load)| ServerCandidate {
                load,
                is_local: server.entry.data_centre == self.node.settings.data_centre,
                was_tried: self.tried.marks.contains(server.incarnation()),
                is_warming_up: self.now < server.warmup_ends_at,
            })
            .collect();
        let choice = ServerSelector {
            assumptions: self.outlook,
            ..self.node.choice
        };
        choice.choose(&inputs, self.now, rand::random::<f64>)
    }

    fn look_for_owner(&self) -> LookStep {
        let Some(key) = self.call.headers.key else {
            return LookStep::Refuse(RefusalReason::NoKey);
        };
        let Some((server, revision)) = self.owner_of(key) else {
            return LookStep::Wait(RefusalReason::NoOwner);
        };
        let (resting, has_room) = {
            let load = server.load.lock().unwrap();
            let choice = ServerSelector {
                assumptions: self.outlook,
                ..self.node.owner_choice
            };
            let has_room = choice.has_room(&load, self.now);
            (load.is_ejected(self.now), has_room)
        };
        match (resting, has_room) {
            (true, _) => LookStep::Wait(RefusalReason::NoOwner),
            (false, false) => LookStep::Wait(RefusalReason::NoRoom),
            (false, true) => self.take(&server, Some(revision)),
        }
    }

    /// Server that serves a key now, and the revision of the record that says so.
    fn owner_of(&self, key: u16) -> Option<(Arc<ServerRuntime>, u64)> {
        let (range, revision, is_served) = self.node.key_range(&self.call.service, key)?;
        let is_wrong = self
            .tried
            .wrong
            .is_some_and(|wrong| revision <= wrong.revision && self.now < wrong.until);
        if !is_served || is_wrong {
            return None;
        }
        let server = self.node.server(&range.owner)?;
        server
            .takes_requests(self.now, self.node.drain_time())
            .then_some((server, revision))
    }

    /// Counts the request in at a server, unless it cannot end there in time.
    fn take(&self, server: &Arc<ServerRuntime>, key_revision: Option<u64>) -> LookStep {
        let now = self.now;
        let mut load = server.load.lock().unwrap();
        let expected = load.expected_completion(now, self.outlook.reported_only());
        let was_full =
            load.estimated_requests(now, self.outlook.reported_only()) >= f64::from(load.slots());
        if expected > self.call.time_left(now).as_secs_f64() {
            return LookStep::Refuse(RefusalReason::DeadlineUnreachable);
        }
        if was_full && expected > self.call.target_time_left(now).as_secs_f64() {
            return LookStep::Wait(RefusalReason::NoRoom);
        }
        load.request_started(now);
        drop(load);
        LookStep::Found(FoundServer {
            server: server.clone(),
            started: now,
            was_full,
            key_revision,
            state: self.state.clone(),
            clock: self.node.clock,
        })
    }
}
