//! Servers that leave for good, each with a new one in its place.

use crate::{prelude::*, soak_routes};

/// Time for which a draining server, or one whose entry is gone, continues to serve.
const DRAIN_DURATION: Duration = Duration::from_millis(3_500);
/// Time for which a server says that it leaves before it ends.
const LEAVING_DURATION: Duration = Duration::from_secs(6);

/// How a server leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Departure {
    /// Its entry says that it drains; it serves on for some time.
    Drained,
    /// Its answers say that it leaves, and it ends some time later.
    Announced,
    /// It crashes; its entry is removed some time later.
    Crashed,
    /// Its entry is removed without having said that it drains; it serves on for some time.
    Removed,
}

impl Departure {
    const ALL: [Self; 4] = [Self::Drained, Self::Announced, Self::Crashed, Self::Removed];

    /// Draws one of all ways to leave.
    pub(crate) fn random(rng: &mut StdRng) -> Self {
        Self::ALL[rng.random_range(0..Self::ALL.len())]
    }
}

/// Has a server leave and adds a new one; returns when the server has ended.
pub(crate) async fn depart(
    world: &SoakWorld,
    server: Arc<SimulatedBackend>,
    departure: Departure,
) -> eyre::Result<()> {
    if departure == Departure::Crashed {
        let ledger = &world.ledger;
        ledger.record_disturbance(DisturbanceTarget::Servers, Duration::ZERO);
        server.crash();
    }
    exclude_from_faults(world, &server);
    world.add_server(server.service).await?;
    match departure {
        Departure::Drained => {
            server.start_drain();
            Timer::after(DRAIN_DURATION).await;
            server.deregister();
        }
        Departure::Announced => {
            if let Some(process) = server.process() {
                process.is_leaving.store(true, Ordering::SeqCst);
            }
            Timer::after(LEAVING_DURATION).await;
            server.deregister();
        }
        Departure::Crashed => {
            // The platform removes the entry of a crashed server only after some time.
            Timer::after(DRAIN_DURATION / 2).await;
            server.deregister();
        }
        Departure::Removed => {
            server.deregister();
            Timer::after(DRAIN_DURATION).await;
        }
    }
    if departure != Departure::Crashed {
        server.crash();
    }
    Ok(())
}

/// Removes a server from the servers that later faults may target or start again.
fn exclude_from_faults(world: &SoakWorld, server: &SimulatedBackend) {
    server.is_departing.store(true, Ordering::SeqCst);
    let mut servers = world.servers.lock().unwrap();
    servers.retain(|known| known.id != server.id);
}

impl SoakWorld {
    /// Returns a server of the two main services, by a number modulo the number of these servers.
    pub(crate) fn main_server(&self, number: usize) -> Arc<SimulatedBackend> {
        self.server_where(number, |server| !server.is_probed())
    }

    /// Returns a server of the probed services, by a number modulo the number of these servers.
    pub(crate) fn probed_server(&self, number: usize) -> Arc<SimulatedBackend> {
        self.server_where(number, SimulatedBackend::is_probed)
    }

    fn server_where(
        &self,
        number: usize,
        is_meant: impl Fn(&SimulatedBackend) -> bool,
    ) -> Arc<SimulatedBackend> {
        let servers = self.servers.lock().unwrap();
        let meant: Vec<_> = servers.iter().filter(|server| is_meant(server)).collect();
        meant[number % meant.len()].clone()
    }
}

impl SimulatedBackend {
    fn is_probed(&self) -> bool {
        soak_routes::PROBED_SERVICES.contains(&self.service)
    }
}
