//! Playing of faults: signals, and what proxies and stand-ins do.

use crate::{instance_faults, prelude::*, soak_routes};
use rustix::process::Signal;

/// Time for which a server that leaves serves on.
const LEAVING_TIME: Duration = Duration::from_millis(3_500);

/// Plays all events at their times, and waits until each has ended.
pub(crate) async fn play(world: &Arc<SoakWorld>, events: &[(Duration, FaultEvent)]) {
    let began = SteadyClock.now();
    let mut running = Vec::new();
    for (at, event) in events {
        Timer::after(at.saturating_sub(SteadyClock.now().since(began))).await;
        let (shared, event) = (world.clone(), event.clone());
        running.push(world.pool.spawn_cancellable(async move {
            if let Err(error) = carry_out(&shared, event.clone()).await {
                shared.ledger.broke("SOAK", &format!("{event:?}: {error}"));
            }
        }));
    }
    for event in running {
        event.await;
    }
}

async fn carry_out(world: &Arc<SoakWorld>, event: FaultEvent) -> eyre::Result<()> {
    let ledger = &world.ledger;
    let instance = |number: usize| &world.instances[number % world.instances.len()];
    match event {
        FaultEvent::Kill(number, down) => {
            instance_faults::kill(world, instance(number), down).await?;
        }
        FaultEvent::KillAll(down) => instance_faults::kill_all(world, down).await?,
        FaultEvent::Pause(number, time) => {
            instance_faults::pause(world, instance(number), time).await;
        }
        FaultEvent::Terminate(number) => {
            instance_faults::terminate(world, instance(number)).await;
        }
        FaultEvent::TerminateInTurn => instance_faults::terminate_in_turn(world).await,
        FaultEvent::SignalInTurn => instance_faults::signal_in_turn(world).await,
        FaultEvent::Signals(Some(number), series) => {
            let instances = std::slice::from_ref(instance(number));
            instance_faults::send_series(world, instances, &series).await;
        }
        FaultEvent::Signals(None, series) => {
            instance_faults::send_series(world, &world.instances, &series).await;
        }
        FaultEvent::StartUnderSignals(number, down, series) => {
            let instances = std::slice::from_ref(instance(number));
            instance_faults::kill(world, &instances[0], down).await?;
            instance_faults::send_series(world, instances, &series).await;
        }
        FaultEvent::Store(fault, time) => {
            ledger.disturbed(DisturbanceTarget::Store, time);
            world.store.set_fault(fault);
            Timer::after(time).await;
            world.store.set_fault(StoreFault::None);
            ledger.disturbed(DisturbanceTarget::Store, Duration::ZERO);
        }
        FaultEvent::Compact => {
            ledger.disturbed(DisturbanceTarget::Store, Duration::ZERO);
            world.store.change(StoreObjects::compact);
        }
        FaultEvent::StoreLink(number, mode, time) => {
            let instance = instance(number);
            let what = DisturbanceTarget::Instance(instance.number);
            break_link(world, &instance.link, what, mode, time).await;
        }
        FaultEvent::ServerLink(number, mode, time) => {
            let link = &world.server(number).link;
            break_link(world, link, DisturbanceTarget::Servers, mode, time).await;
        }
        FaultEvent::Restart(number, down) => {
            let server = world.server(number);
            ledger.disturbed(DisturbanceTarget::Servers, down);
            server.crash().await;
            Timer::after(down).await;
            server.begin().await?;
        }
        FaultEvent::Replace(number) => {
            let server = world.server(number);
            ledger.disturbed(DisturbanceTarget::Servers, Duration::ZERO);
            server.crash().await;
            part(world, &server);
            world.join(server.service).await?;
            // The platform takes the entry out after some silence.
            Timer::after(LEAVING_TIME / 2).await;
            server.vanish();
        }
        FaultEvent::Drain(number) => {
            let server = world.server(number);
            part(world, &server);
            world.join(server.service).await?;
            server.leave();
            Timer::after(LEAVING_TIME).await;
            server.vanish();
            server.crash().await;
        }
        FaultEvent::Server(number, fault, time) => {
            ledger.disturbed(DisturbanceTarget::Servers, time);
            let life = world.server(number).life();
            if let Some(life) = &life {
                *life.fault.lock().unwrap() = fault;
            }
            Timer::after(time).await;
            if let Some(life) = &life {
                *life.fault.lock().unwrap() = BackendFault::None;
            }
        }
        FaultEvent::Configure => world.configure(),
    }
    Ok(())
}

/// Takes a server out of those that faults choose from.
fn part(world: &SoakWorld, server: &SimulatedBackend) {
    let mut servers = world.servers.lock().unwrap();
    servers.retain(|known| known.id != server.id);
}

async fn break_link(
    world: &SoakWorld,
    link: &LinkProxy,
    what: DisturbanceTarget,
    mode: ProxyMode,
    time: Duration,
) {
    world.ledger.disturbed(what, time);
    link.set_mode(mode);
    Timer::after(time).await;
    link.set_mode(ProxyMode::Open);
    world.ledger.disturbed(what, Duration::ZERO);
}

/// Ends all that the events left behind, and starts what does not run.
pub(crate) async fn heal(world: &SoakWorld) -> eyre::Result<()> {
    world.store.set_fault(StoreFault::None);
    for instance in &world.instances {
        instance.link.set_mode(ProxyMode::Open);
        world.start_instance(instance.number)?;
        instance.signal(SentSignal::Named(Signal::CONT));
    }
    let servers = world.servers.lock().unwrap().clone();
    for server in servers {
        server.link.set_mode(ProxyMode::Open);
        if server.life().is_none() {
            server.begin().await?;
        }
    }
    for service in [soak_routes::PLAIN, soak_routes::KEYED] {
        if !world.is_provided(service) {
            world.join(service).await?;
        }
    }
    Ok(())
}
