//! The servers that an instance knows, kept up to date with service discovery.

use crate::{prelude::*, warmup_worker};
use xxhash_rust::xxh3::xxh3_64;

/// Usable servers of one service, in ring order: by the hash of their identifiers.
pub(crate) type ServerList = Arc<[Arc<ServerRuntime>]>;

impl GatewayNode {
    /// How long servers that are gone are remembered, because orders may still concern them.
    const GONE_RETENTION: Duration = Duration::from_secs(60);

    /// Updates the servers from the roster.
    pub(crate) fn refresh_servers(&self) {
        self.refresh_servers_changed_at(self.now());
    }

    /// Updates the servers from the roster: adds new ones, and marks those as leaving since
    /// `changed_at` that are draining or gone, and since the evacuation of their data centre those in
    /// evacuated ones.
    pub(crate) fn refresh_servers_changed_at(&self, changed_at: MonoTime) {
        let now = self.now();
        let entries: Vec<(ServerEntry, StoreRevision)> = {
            let roster = self.roster.lock();
            let entries = roster.dated_entries();
            entries
                .map(|(entry, revision)| (entry.clone(), revision))
                .collect()
        };
        let mut cold = Vec::new();
        let evacuations = self.evacuations.lock();
        let mut servers = self.servers.lock();
        for (entry, revision) in &entries {
            let known = servers.get(&entry.incarnation).filter(|server| {
                server.entry.address == entry.address && server.entry.service == entry.service
            });
            match known {
                Some(server) if entry.state == ServerState::Draining => {
                    server.mark_leaving(changed_at);
                }
                Some(server) => server.mark_active(),
                None => {
                    let mean_response_time = self.service(&entry.service).mean_response_time();
                    let server =
                        ServerRuntime::new(&self.workers, entry.clone(), mean_response_time, now);
                    if entry.state == ServerState::Draining {
                        server.mark_leaving(changed_at);
                    }
                    log::info!(
                        server = entry.incarnation.to_string().as_str(),
                        service = entry.service.as_str(),
                        address = entry.address.to_string().as_str(),
                        slots = entry.slots,
                        draining = entry.state == ServerState::Draining;
                        "server found"
                    );
                    servers.insert(entry.incarnation.clone(), Arc::new(server));
                }
            }
            let server = &servers[&entry.incarnation];
            let (left, sequence) = (entry.warmup_left, entry.sequence);
            let change = (server.quota.lock().warmup).apply_entry(left, *revision, sequence, now);
            if let WarmupChange::Cold(left) = change {
                cold.push((server.clone(), left));
            }
        }
        let is_listed = |incarnation: &ServerIncarnation| {
            let mut listed = entries.iter();
            listed.any(|(entry, _)| entry.incarnation == *incarnation)
        };
        for (incarnation, server) in servers.iter() {
            if !is_listed(incarnation) && server.mark_gone(changed_at) {
                log::info!(server = incarnation.to_string().as_str(); "server gone");
            }
        }
        for server in servers.values() {
            let data_centre = server.entry.data_centre.as_str();
            server.set_evacuated(match self.takes_evacuations() {
                true => evacuations.since(data_centre),
                false => None,
            });
        }
        // A listed server stays: as a new one it would forget that it leaves.
        servers.retain(|incarnation, server| {
            is_listed(incarnation)
                || server
                    .draining_since()
                    .is_none_or(|at| now.since(at) < Self::GONE_RETENTION)
        });
        *self.usable.lock() = group_by_service(servers.values());
        drop(servers);
        drop(evacuations);
        for (server, left) in cold {
            warmup_worker::record_cold(self, &server, left, "entry");
        }
    }

    /// Finds a server incarnation, in use or recently gone.
    pub(crate) fn server(&self, incarnation: &ServerIncarnation) -> Option<Arc<ServerRuntime>> {
        self.servers.lock().get(incarnation).cloned()
    }

    /// Finds who answers for a server incarnation: itself, or a later one of the same server if this
    /// instance has never known it.
    pub(crate) fn server_in_place_of(
        &self,
        service: &str,
        incarnation: &ServerIncarnation,
    ) -> Option<Arc<ServerRuntime>> {
        let servers = self.servers.lock();
        let later = || {
            let servers = servers.values().filter(|server| {
                let (entry, found) = (&server.entry, &server.entry.incarnation);
                entry.service == service
                    && found.id == incarnation.id
                    && found.born > incarnation.born
            });
            servers.max_by_key(|server| server.entry.incarnation.born)
        };
        servers.get(incarnation).or_else(later).cloned()
    }

    /// Servers of a service that accept new requests, in ring order.
    pub(crate) fn usable_servers(&self, service: &str) -> ServerList {
        let lists = self.usable.lock();
        lists.get(service).cloned().unwrap_or_default()
    }

    /// The servers of a list that this instance reaches.
    pub(crate) fn reached_servers(&self, servers: &ServerList) -> ServerList {
        let reach = self.reach.lock();
        if !reach.is_any_lost() {
            return servers.clone();
        }
        let is_reached = |server: &&Arc<ServerRuntime>| !reach.is_lost(&server.entry.data_centre);
        servers.iter().filter(is_reached).cloned().collect()
    }

    /// Maximum number of idle connections to a server, such that the idle connections of all
    /// instances together leave room for busy ones.
    pub(crate) fn max_idle_connections(&self, server: &ServerRuntime) -> usize {
        let service = &server.entry.service;
        let Some(table) = self.route_table() else {
            return 1;
        };
        let Some(config) = table.services().get(service) else {
            return 1;
        };
        let instances = self.instance_count();
        let servers = self.usable_servers(service).len().max(1);
        let subset = ServerSubset::LOCAL_SERVERS + ServerSubset::REMOTE_SERVERS;
        let users = match config.keyed {
            true => instances,
            false => instances * subset.min(servers) / servers,
        };
        ServerSubset::max_idle_connections(config.max_connections, users)
    }

    /// All servers, in use or recently gone.
    pub(crate) fn all_servers(&self) -> Vec<Arc<ServerRuntime>> {
        self.servers.lock().values().cloned().collect()
    }
}

/// Groups the servers that accept new requests by service, each group in ring order.
fn group_by_service<'a>(
    servers: impl Iterator<Item = &'a Arc<ServerRuntime>>,
) -> IndexMap<String, ServerList> {
    let mut lists: IndexMap<String, Vec<Arc<ServerRuntime>>> = IndexMap::new();
    for server in servers.filter(|server| server.leaving_since().is_none()) {
        let list = lists.entry(server.entry.service.clone()).or_default();
        list.push(server.clone());
    }
    lists
        .into_iter()
        .map(|(service, mut list)| {
            list.sort_by_key(|server| xxh3_64(server.incarnation().id.as_bytes()));
            (service, list.into())
        })
        .collect()
}
