//! Carrying out of a scenario's events.

use crate::prelude::*;

/// A bench under faults.
pub(crate) struct FaultInjector {
    pub(crate) bench: TestCluster,
    pub(crate) notes: FaultNotes,
    last: usize,
}

/// What the events asked for.
#[derive(Default)]
pub(crate) struct FaultNotes {
    /// Slices that had to move.
    pub(crate) needed_moves: usize,
    /// Servers that are gone.
    pub(crate) gone: Vec<ServerName>,
    /// Servers that are leaving, with the time at which they said so.
    pub(crate) leaving: Vec<(ServerName, MonoTime)>,
    /// Requests cut at servers by planned stops.
    pub(crate) cut: u64,
    /// Races that did not have one winner.
    pub(crate) lost_races: u64,
}

impl FaultInjector {
    /// Time after which the balancer takes a lost instance out.
    const BALANCER_LAG: Duration = Duration::from_millis(200);

    /// Injector without faults so far.
    pub(crate) fn new(bench: TestCluster) -> Self {
        Self {
            bench,
            notes: FaultNotes::default(),
            last: 0,
        }
    }

    /// Carries out one event.
    pub(crate) async fn apply(&mut self, event: FaultEvent) -> eyre::Result<()> {
        log::info!("{event:?}");
        match event {
            FaultEvent::KillServer(name) => {
                self.notes.needed_moves += self.slices_of(name);
                self.notes.gone.push(ServerName::new(name));
                self.bench.server(name).kill();
            }
            FaultEvent::ReturnServer(name) => {
                self.notes.gone.retain(|gone| gone.as_str() != name);
                self.notes.leaving.retain(|(gone, _)| gone.as_str() != name);
                self.bench.return_server(name).await?;
                self.notes.needed_moves += self.fair_share(name);
            }
            FaultEvent::FreezeServer(name) => self.bench.server(name).pause(),
            FaultEvent::ThawServer(name) => self.bench.server(name).resume(),
            FaultEvent::ServerLeaves(name) => {
                self.notes.needed_moves += self.slices_of(name);
                let leaving = (ServerName::new(name), SteadyClock.now());
                self.notes.leaving.push(leaving);
                let server = self.bench.server(name);
                server.set_behaviour(|behaviour| behaviour.leaving = true);
            }
            FaultEvent::StopServer(name) => {
                self.notes.gone.push(ServerName::new(name));
                let server = self.bench.server(name);
                self.notes.cut += u64::from(server.busy());
                server.kill();
            }
            FaultEvent::AddServer(service) => {
                self.bench.add_server(service).await?;
                let server = format!("{service}-");
                self.notes.needed_moves += self.fair_share(&server);
            }
            FaultEvent::ChangeServer(name, change) => {
                self.bench.server(name).set_behaviour(change);
            }
            FaultEvent::Store(fault) => self.bench.store.set_fault(fault),
            FaultEvent::WatchLag(lag) => {
                self.bench.store.set_watch_lag(Duration::from_millis(lag));
            }
            FaultEvent::SilenceServers => {
                for links in &self.bench.links {
                    for server in &self.bench.servers {
                        links.link(server.address()).silence();
                    }
                }
            }
            FaultEvent::Heal => self.bench.links.iter().for_each(|links| links.heal()),
            FaultEvent::UsePreset(preset) => {
                let operator = self.bench.operator.clone();
                self.bench.pool.spawn(async move {
                    let change = |head: &mut ConfigurationHead| head.preset = preset.into();
                    let _ = operator.change(change).await;
                });
            }
            FaultEvent::RacePresets(presets) => {
                let winners = self.bench.operator.race(presets).await?;
                self.notes.lost_races += u64::from(winners != 1);
            }
            FaultEvent::KillInstance(choice)
            | FaultEvent::PauseInstance(choice)
            | FaultEvent::ResumeInstance(choice)
            | FaultEvent::StopInstance(choice)
            | FaultEvent::StartInstance(choice)
            | FaultEvent::CutPeers(choice)
            | FaultEvent::CutStore(choice)
            | FaultEvent::CutServer(choice, _) => {
                self.last = self.instance(choice);
                self.apply_to_instance(event, self.last).await?;
            }
        }
        Ok(())
    }

    async fn apply_to_instance(&mut self, event: FaultEvent, index: usize) -> eyre::Result<()> {
        let bench = &mut self.bench;
        let name = format!("entry-{index}");
        let links = bench.links[index].clone();
        match event {
            FaultEvent::KillInstance(_) => {
                bench.instances[index].kill();
                bench.store.instance_ended(&name);
                let directory = bench.directory.clone();
                bench.pool.spawn(async move {
                    Timer::after(Self::BALANCER_LAG).await;
                    directory.change(index, |entry| entry.listed = false);
                });
            }
            FaultEvent::PauseInstance(_) => bench.instances[index].pause(),
            FaultEvent::ResumeInstance(_) => bench.instances[index].resume(),
            FaultEvent::StartInstance(_) => bench.start_instance(index).await?,
            FaultEvent::StopInstance(_) => bench.stop_instance(index),
            FaultEvent::CutStore(_) => links.link(bench.store.address()).set_cut(true),
            FaultEvent::CutServer(_, server) => {
                links.link(bench.server(server).address()).set_cut(true);
            }
            FaultEvent::CutPeers(_) => {
                let own = bench.instances[index].peer_address();
                for (peer, peer_links) in bench.links.iter().enumerate() {
                    if peer != index {
                        let address = bench.instances[peer].peer_address();
                        links.link(address).set_cut(true);
                        peer_links.link(own).set_cut(true);
                    }
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn instance(&self, choice: InstanceChoice) -> usize {
        let leader = |service: &str| {
            let parts = self.bench.store.parts();
            let part = parts
                .values()
                .find(|part| part.id.service.as_str() == service);
            part.and_then(|part| part.leader.name.rsplit('-').next()?.parse().ok())
        };
        match choice {
            InstanceChoice::Number(number) => number,
            InstanceChoice::LeaderOf(service) => leader(service).unwrap_or(0),
            InstanceChoice::Last => self.last,
        }
    }

    /// Slices that the server owns.
    fn slices_of(&self, name: &str) -> usize {
        let name = ServerName::new(name);
        let parts = self.bench.store.parts();
        parts.values().map(|part| part.ranges_of(&name).len()).sum()
    }

    /// Slices that a server of the service of `name` owns when all own the same.
    fn fair_share(&self, name: &str) -> usize {
        let service = name.rsplit_once('-').map_or(name, |(service, _)| service);
        let parts = self.bench.store.parts();
        let own = parts
            .values()
            .filter(|part| part.id.service.as_str() == service);
        let slices = own
            .flat_map(|part| &part.slices)
            .filter(|slice| slice.owner.is_some());
        let servers = self.bench.servers.iter();
        let prefix = format!("{service}-");
        let servers = servers.filter(|server| server.name().as_str().starts_with(&prefix));
        slices.count() / servers.count().max(1)
    }
}
