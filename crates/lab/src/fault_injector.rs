//! Application of a scenario's events to a cluster.

use crate::prelude::*;

/// Applies events to a cluster and records their expected effects.
pub(crate) struct FaultInjector {
    pub(crate) cluster: TestCluster,
    pub(crate) effects: FaultEffects,
    last_instance: usize,
}

/// Effects of the applied events that figures take into account.
#[derive(Default)]
pub(crate) struct FaultEffects {
    /// Number of slices that had to move.
    pub(crate) required_moves: usize,
    /// Servers that were killed or stopped and are not restarted.
    pub(crate) stopped_servers: Vec<ServerName>,
    /// Leaving servers with the times of their announcements.
    pub(crate) leaving_servers: Vec<(ServerName, MonoTime)>,
    /// Number of requests cut at servers by planned stops.
    pub(crate) cut_requests: u64,
    /// Concurrent preset switches of which not exactly one was accepted.
    pub(crate) failed_races: u64,
}

impl FaultInjector {
    /// Time until the balancer removes a killed instance.
    const BALANCER_LAG: Duration = Duration::from_millis(200);

    /// Creates an injector that has applied no event.
    pub(crate) fn new(cluster: TestCluster) -> Self {
        Self {
            cluster,
            effects: FaultEffects::default(),
            last_instance: 0,
        }
    }

    /// Applies one event.
    pub(crate) async fn apply(&mut self, event: FaultEvent) -> eyre::Result<()> {
        log::info!("{event:?}");
        match event {
            FaultEvent::KillServer(name) => {
                self.effects.required_moves += self.count_slices(name);
                self.effects.stopped_servers.push(ServerName::new(name));
                self.cluster.server(name).kill();
            }
            FaultEvent::RestartServer(name) => {
                self.effects
                    .stopped_servers
                    .retain(|stopped| stopped.as_str() != name);
                self.effects
                    .leaving_servers
                    .retain(|(server, _)| server.as_str() != name);
                self.cluster.restart_server(name).await?;
                self.effects.required_moves += self.fair_share(name);
            }
            FaultEvent::FreezeServer(name) => self.cluster.server(name).pause(),
            FaultEvent::UnfreezeServer(name) => self.cluster.server(name).resume(),
            FaultEvent::AnnounceLeaving(name) => {
                self.effects.required_moves += self.count_slices(name);
                let leaving = (ServerName::new(name), SteadyClock.now());
                self.effects.leaving_servers.push(leaving);
                let server = self.cluster.server(name);
                server.set_behaviour(|behaviour| behaviour.leaving = true);
            }
            FaultEvent::StopServer(name) => {
                self.effects.stopped_servers.push(ServerName::new(name));
                let server = self.cluster.server(name);
                self.effects.cut_requests += u64::from(server.busy());
                server.kill();
            }
            FaultEvent::AddServer(service) => {
                self.cluster.add_server(service).await?;
                let server = format!("{service}-");
                self.effects.required_moves += self.fair_share(&server);
            }
            FaultEvent::ChangeServer(name, change) => {
                self.cluster.server(name).set_behaviour(change);
            }
            FaultEvent::SetStoreFault(fault) => self.cluster.store.set_fault(fault),
            FaultEvent::SetWatchLag(lag) => {
                self.cluster.store.set_watch_lag(Duration::from_millis(lag));
            }
            FaultEvent::SilenceConnections => {
                for links in &self.cluster.links {
                    for server in &self.cluster.servers {
                        links.link(server.address()).silence();
                    }
                }
            }
            FaultEvent::RestoreLinks => self
                .cluster
                .links
                .iter()
                .for_each(|links| links.restore_all()),
            FaultEvent::SwitchPreset(preset) => {
                let operator = self.cluster.operator.clone();
                self.cluster.pool.spawn(async move {
                    let change = |head: &mut ConfigurationHead| head.preset = preset.into();
                    let _ = operator.change(change).await;
                });
            }
            FaultEvent::RacePresets(presets) => {
                let winners = self.cluster.operator.race_presets(presets).await?;
                self.effects.failed_races += u64::from(winners != 1);
            }
            FaultEvent::KillInstance(choice)
            | FaultEvent::PauseInstance(choice)
            | FaultEvent::ResumeInstance(choice)
            | FaultEvent::StopInstance(choice)
            | FaultEvent::StartInstance(choice)
            | FaultEvent::CutPeers(choice)
            | FaultEvent::CutStore(choice)
            | FaultEvent::CutServer(choice, _) => {
                self.last_instance = self.find_instance(choice);
                self.apply_to_instance(event, self.last_instance).await?;
            }
        }
        Ok(())
    }

    async fn apply_to_instance(&mut self, event: FaultEvent, index: usize) -> eyre::Result<()> {
        let cluster = &mut self.cluster;
        let name = format!("entry-{index}");
        let links = cluster.links[index].clone();
        match event {
            FaultEvent::KillInstance(_) => {
                cluster.instances[index].kill();
                cluster.store.instance_ended(&name);
                let balancer = cluster.balancer.clone();
                cluster.pool.spawn(async move {
                    Timer::after(Self::BALANCER_LAG).await;
                    balancer.change(index, |target| target.listed = false);
                });
            }
            FaultEvent::PauseInstance(_) => cluster.instances[index].pause(),
            FaultEvent::ResumeInstance(_) => cluster.instances[index].resume(),
            FaultEvent::StartInstance(_) => cluster.start_instance(index).await?,
            FaultEvent::StopInstance(_) => cluster.stop_instance(index),
            FaultEvent::CutStore(_) => links.link(cluster.store.address()).set_cut(true),
            FaultEvent::CutServer(_, server) => {
                links.link(cluster.server(server).address()).set_cut(true);
            }
            FaultEvent::CutPeers(_) => {
                let own = cluster.instances[index].peer_address();
                for (peer, peer_links) in cluster.links.iter().enumerate() {
                    if peer != index {
                        let address = cluster.instances[peer].peer_address();
                        links.link(address).set_cut(true);
                        peer_links.link(own).set_cut(true);
                    }
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn find_instance(&self, choice: InstanceChoice) -> usize {
        let leader = |service: &str| {
            let parts = self.cluster.store.parts();
            let part = parts
                .values()
                .find(|part| part.id.service.as_str() == service);
            part.and_then(|part| part.leader.name.rsplit('-').next()?.parse().ok())
        };
        match choice {
            InstanceChoice::Number(number) => number,
            InstanceChoice::LeaderOf(service) => leader(service).unwrap_or(0),
            InstanceChoice::Last => self.last_instance,
        }
    }

    /// Number of slices that a server owns.
    fn count_slices(&self, name: &str) -> usize {
        let name = ServerName::new(name);
        let parts = self.cluster.store.parts();
        parts.values().map(|part| part.ranges_of(&name).len()).sum()
    }

    /// Number of slices that each server of the service of server `name` owns if all own the same.
    fn fair_share(&self, name: &str) -> usize {
        let service = name.rsplit_once('-').map_or(name, |(service, _)| service);
        let parts = self.cluster.store.parts();
        let own = parts
            .values()
            .filter(|part| part.id.service.as_str() == service);
        let slices = own
            .flat_map(|part| &part.slices)
            .filter(|slice| slice.owner.is_some());
        let servers = self.cluster.servers.iter();
        let prefix = format!("{service}-");
        let servers = servers.filter(|server| server.name().as_str().starts_with(&prefix));
        slices.count() / servers.count().max(1)
    }
}
