//! Servers of an instance: taken into use and out of it as discovery tells.

use crate::prelude::*;

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
            let known = servers.get(&entry.mark).filter(|server| {
                server.entry.address == entry.address && server.entry.service == entry.service
            });
            match known {
                Some(server) if entry.state == ServerState::Draining => server.leaves(now),
                Some(server) => server.returns(),
                None => {
                    let pace = self.service(&entry.service).pace();
                    let server = ServerRuntime::new(&self.workers, entry.clone(), pace, now);
                    if entry.state == ServerState::Draining {
                        server.leaves(now);
                    }
                    log::info!(
                        server = entry.mark.to_string().as_str(),
                        service = entry.service.as_str(),
                        address = entry.address.to_string().as_str(),
                        slots = entry.slots,
                        draining = entry.state == ServerState::Draining;
                        "server found"
                    );
                    servers.insert(entry.mark.clone(), Arc::new(server));
                }
            }
        }
        for (mark, server) in servers.iter() {
            let is_listed = entries.iter().any(|entry| entry.mark == *mark);
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
    }

    /// One life of one server, in use or gone.
    pub(crate) fn server(&self, mark: &ServerMark) -> Option<Arc<ServerRuntime>> {
        self.servers.lock().unwrap().get(mark).cloned()
    }

    /// Servers of a service that take new work.
    pub(crate) fn usable_servers(&self, service: &str) -> Vec<Arc<ServerRuntime>> {
        let servers = self.servers.lock().unwrap();
        servers
            .values()
            .filter(|server| server.entry.service == service && server.leaving_at().is_none())
            .cloned()
            .collect()
    }

    /// All servers, in use or gone.
    pub(crate) fn all_servers(&self) -> Vec<Arc<ServerRuntime>> {
        self.servers.lock().unwrap().values().cloned().collect()
    }
}
