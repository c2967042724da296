//! Injects the faults of a run: signals, broken links, and faults of the store and servers.

use crate::{
    evacuation_fault, instance_faults, poison_request, prelude::*, probe_session,
    server_departures, soak_routes,
};
use rustix::process::Signal;

/// Injects all faults at their scheduled times and waits until each of them has ended.
pub(crate) async fn inject_all(world: &Arc<SoakWorld>, events: &[(Duration, FaultEvent)]) {
    let started_at = SteadyClock.now();
    let mut running = Vec::new();
    for (at, event) in events {
        Timer::after(at.saturating_sub(SteadyClock.now().since(started_at))).await;
        let (shared, event) = (world.clone(), event.clone());
        running.push(world.pool.spawn_cancellable(async move {
            if let Err(error) = inject(&shared, event.clone()).await {
                shared
                    .ledger
                    .add_violation("SOAK", &format!("{event:?}: {error}"));
            }
        }));
    }
    for event in running {
        event.await;
    }
}

async fn inject(world: &Arc<SoakWorld>, event: FaultEvent) -> eyre::Result<()> {
    let ledger = &world.ledger;
    let instance = |number: usize| &world.instances[number % world.instances.len()];
    match event {
        FaultEvent::Kill(number, downtime) => {
            instance_faults::kill(world, instance(number), downtime).await?;
        }
        FaultEvent::KillAll(downtime) => instance_faults::kill_all(world, downtime).await?,
        FaultEvent::Pause(number, duration) => {
            instance_faults::pause(world, instance(number), duration).await;
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
        FaultEvent::StartUnderSignals(number, downtime, series) => {
            let instances = std::slice::from_ref(instance(number));
            instance_faults::kill(world, &instances[0], downtime).await?;
            instance_faults::send_series(world, instances, &series).await;
        }
        FaultEvent::Store(fault, duration) => {
            ledger.record_disturbance(DisturbanceTarget::Store, duration);
            world.store.set_fault(fault);
            Timer::after(duration).await;
            world.store.set_fault(StoreFault::None);
            ledger.record_disturbance(DisturbanceTarget::Store, Duration::ZERO);
        }
        FaultEvent::Compact => {
            ledger.record_disturbance(DisturbanceTarget::Store, Duration::ZERO);
            world.store.update(StoreObjects::compact);
        }
        FaultEvent::StoreLink(number, mode, duration) => {
            let instance = instance(number);
            let target = DisturbanceTarget::Instance(instance.number);
            break_link(world, &instance.store_link, target, mode, duration).await;
        }
        FaultEvent::LoseStoreAnswers => {
            for instance in &world.instances {
                let target = DisturbanceTarget::Instance(instance.number);
                ledger.record_disturbance(target, Duration::ZERO);
                instance.store_link.set_mode(ProxyMode::SilencedAwaiting);
                instance.store_link.set_mode(ProxyMode::Open);
            }
        }
        FaultEvent::ServerLink(number, mode, duration) => {
            let link = &world.main_server(number).link;
            break_link(world, link, DisturbanceTarget::Servers, mode, duration).await;
        }
        FaultEvent::Restart(number, downtime) => {
            let server = world.main_server(number);
            ledger.record_disturbance(DisturbanceTarget::Servers, downtime);
            server.crash();
            Timer::after(downtime).await;
            server.start_process().await?;
        }
        FaultEvent::RestartUnlisted(number, downtime, entry_delay) => {
            let server = world.main_server(number);
            ledger.record_disturbance(DisturbanceTarget::Servers, downtime + entry_delay);
            server.crash();
            Timer::after(downtime).await;
            server.start_unlisted_process().await?;
            Timer::after(entry_delay).await;
            server.write_again();
        }
        FaultEvent::ForeignEntry(number, duration) => {
            world
                .main_server(number)
                .write_foreign_entry(duration)
                .await?;
        }
        FaultEvent::KeepForeignEntries(entries, duration) => {
            ForeignEntry::write_repeatedly(&entries, world, duration).await?;
        }
        FaultEvent::Depart(number, departure) => {
            server_departures::depart(world, world.main_server(number), departure).await?;
        }
        FaultEvent::DepartProbed(number, departure) => {
            server_departures::depart(world, world.probed_server(number), departure).await?;
        }
        FaultEvent::Server(number, fault, duration) => {
            // Second copies of answers delay no grant.
            if fault != BackendFault::Repeating {
                ledger.record_disturbance(DisturbanceTarget::Servers, duration);
            }
            let process = world.main_server(number).process();
            if let Some(process) = &process {
                *process.fault.lock().unwrap() = fault;
            }
            Timer::after(duration).await;
            if let Some(process) = &process {
                *process.fault.lock().unwrap() = BackendFault::None;
                if fault == BackendFault::SilentOrders {
                    let mut servers = ledger.silenced_servers.lock().unwrap();
                    servers.insert(process.incarnation.clone());
                }
            }
        }
        FaultEvent::Refuse(number, duration) => {
            world
                .main_server(number)
                .refuse_connections(duration)
                .await?;
        }
        FaultEvent::Limit(number, per_second, duration) => {
            let Some(process) = world.main_server(number).process() else {
                return Ok(());
            };
            if process.start_limit(f64::from(per_second)) {
                let from = SteadyClock.now();
                Timer::after(duration).await;
                ledger.limits.lock().unwrap().push(LimitPeriod {
                    server: process.incarnation.clone(),
                    per_second: f64::from(per_second),
                    from,
                    until: SteadyClock.now(),
                });
                process.end_limit();
            }
        }
        FaultEvent::Poison(number, kind, duration) => {
            poison_request::send_repeatedly(world, number, kind, duration).await;
        }
        FaultEvent::ServerCut(first, count, mode, duration) => {
            let numbers = (first..first + count).map(|number| number % world.instances.len());
            let cut: Vec<_> = numbers
                .map(|number| world.instances[number].clone())
                .collect();
            instance_faults::cut_from_servers(world, &cut, mode, duration).await;
        }
        FaultEvent::Rest(number, duration) => {
            if let Some(process) = world.main_server(number).process() {
                let until = SteadyClock.now().after(duration);
                *process.rests_until.lock().unwrap() = Some(until);
                // Beside other faults, keyed requests are refused for other reasons too.
                if world.plan.scenario == FaultScenario::RestingOwner {
                    let period = (SteadyClock.now(), until);
                    ledger.rest_periods.lock().unwrap().push(period);
                }
            }
            Timer::after(duration).await;
        }
        FaultEvent::Probes(number, count) => {
            probe_session::send_at_once(world, instance(number).number, count).await;
        }
        FaultEvent::Restore(drill) => drill.run(world).await,
        FaultEvent::Evacuate(data_centre, duration) => {
            evacuation_fault::evacuate(world, data_centre, duration).await;
        }
        FaultEvent::Configure => world.publish_configuration(),
    }
    Ok(())
}

async fn break_link(
    world: &SoakWorld,
    link: &LinkProxy,
    target: DisturbanceTarget,
    mode: ProxyMode,
    duration: Duration,
) {
    world.ledger.record_disturbance(target, duration);
    link.set_mode(mode);
    Timer::after(duration).await;
    link.set_mode(ProxyMode::Open);
    world.ledger.record_disturbance(target, Duration::ZERO);
}

/// Ends all remaining faults and starts the instances and servers that do not run.
pub(crate) async fn restore(world: &SoakWorld) -> eyre::Result<()> {
    world.store.set_fault(StoreFault::None);
    for instance in &world.instances {
        instance.store_link.set_mode(ProxyMode::Open);
        world.start_instance(instance.number)?;
        instance.signal(SentSignal::Named(Signal::CONT));
    }
    let servers = world.servers.lock().unwrap().clone();
    for server in servers {
        server.link.set_mode(ProxyMode::Open);
        if server.process().is_none() {
            server.start_process().await?;
        }
    }
    for service in [soak_routes::PLAIN_SERVICE, soak_routes::KEYED_SERVICE] {
        if !world.has_server(service) {
            world.add_server(service).await?;
        }
    }
    Ok(())
}
