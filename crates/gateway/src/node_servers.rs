//! Servers of an instance: taken into use and out of it as discovery tells.

use crate::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// Servers of one service.
pub(crate) type ServerList = Arc<[Arc<ServerRuntime>]>;

impl GatewayNode {
    /// Servers that have gone are remembered so long, since orders may still concern them.
    const GONE_TIME: Duration = Duration::from_secs(60);

    /// Takes the roster's servers into use, and those out of it that left.
    pub(crate) fn refresh_servers(&self) {
        let now = self.now();
        let entries: Vec<ServerEntry> = {
            let roster = self.roster.lock().unwrap();
            roster.entries().cloned().collect()
        };
        let mut servers = self.servers.lock().unwrap();
        for entry in &entries {
            let known = servers.get(&entry.incarnation).filter(|server| {
                server.entry.address == entry.address && server.entry.service == entry.service
            });
            match known {
                Some(server) if entry.state == ServerState::Draining => server.leaves(now),
                Some(server) => server.returns(),
                None => {
                    let pace = self.service(&entry.service).mean_response_time();
                    let server = ServerRuntime::new(&self.workers, entry.clone(), pace, now);
                    if entry.state == ServerState::Draining {
                        server.leaves(now);
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
        }
        for (mark, server) in servers.iter() {
            let is_listed = entries.iter().any(|entry| entry.incarnation == *mark);
            if !is_listed && server.leaving_at().is_none() {
                log::info!(server = mark.to_string().as_str(); "server gone");
                server.leaves(now);
            }
        }
        servers.retain(|_, server| {
            server
                .leaving_at()
                .is_none_or(|at| now.since(at) < Self::GONE_TIME)
        });
        *self.usable.lock().unwrap() = usable_lists(servers.values());
    }

    /// One life of one server, in use or gone.
    pub(crate) fn server(&self, mark: &ServerIncarnation) -> Option<Arc<ServerRuntime>> {
        self.servers.lock().unwrap().get(mark).cloned()
    }

    /// Servers of a service that take new work, in the order of their ring.
    pub(crate) fn usable_servers(&self, service: &str) -> ServerList {
        let lists = self.usable.lock().unwrap();
        lists.get(service).cloned().unwrap_or_default()
    }

    /// Idle connections kept to a server, so that all instances together leave it room.
    pub(crate) fn idle_limit(&self, server: &ServerRuntime) -> usize {
        let service = &server.entry.service;
        let Some(table) = self.route_table() else {
            return 1;
        };
        let Some(rule) = table.services().get(service) else {
            return 1;
        };
        let instances = self.instance_count();
        let servers = self.usable_servers(service).len().max(1);
        let subset = ServerSubset::LOCAL_SERVERS + ServerSubset::REMOTE_SERVERS;
        let users = match rule.keyed {
            true => instances,
            false => instances * subset.min(servers) / servers,
        };
        ServerSubset::max_idle_connections(rule.max_connections, users)
    }

    /// All servers, in use or gone.
    pub(crate) fn all_servers(&self) -> Vec<Arc<ServerRuntime>> {
        self.servers.lock().unwrap().values().cloned().collect()
    }
}

/// Servers that take new work, by service and in the order of their ring.
fn usable_lists<'a>(
    servers: impl Iterator<Item = &'a Arc<ServerRuntime>>,
) -> IndexMap<String, ServerList> {
    let mut lists: IndexMap<String, Vec<Arc<ServerRuntime>>> = IndexMap::new();
    for server in servers.filter(|server| server.leaving_at().is_none()) {
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
