//! Faults that are injected into instances as signals.

use crate::{instance_supervisor, prelude::*, reach_checker::CutPeriod, server_cuts::CutMode};
use rustix::process::Signal;

/// Pause between two steps of a rolling restart.
const RESTART_INTERVAL: Duration = Duration::from_millis(400);
/// Largest number of steps of a rolling restart; the instances of one step stop together.
const MAX_RESTART_STEPS: usize = 8;

/// Kills one instance and starts it again after `downtime`.
pub(crate) async fn kill(
    world: &SoakWorld,
    instance: &InstanceProcess,
    downtime: Duration,
) -> eyre::Result<()> {
    kill_immediately(world, instance, downtime);
    Timer::after(downtime).await;
    world.start_instance(instance.number)
}

/// Kills all instances and starts them again after `downtime`.
pub(crate) async fn kill_all(world: &SoakWorld, downtime: Duration) -> eyre::Result<()> {
    for instance in &world.instances {
        kill_immediately(world, instance, downtime);
    }
    Timer::after(downtime).await;
    (0..world.instances.len()).try_for_each(|number| world.start_instance(number))
}

/// Kills an instance; if its process had already exited by itself, checks that exit.
fn kill_immediately(world: &SoakWorld, instance: &InstanceProcess, downtime: Duration) {
    let target = DisturbanceTarget::Instance(instance.number);
    world.ledger.record_disturbance(target, downtime);
    if let Some(exit) = instance.kill() {
        instance_supervisor::check_exit(&world.ledger, instance.number, &exit);
    }
}

/// Suspends an instance for some time with SIGSTOP, which it cannot notice.
pub(crate) async fn pause(world: &SoakWorld, instance: &InstanceProcess, duration: Duration) {
    let target = DisturbanceTarget::Instance(instance.number);
    world.ledger.record_disturbance(target, duration);
    instance.signal(SentSignal::Named(Signal::STOP));
    Timer::after(duration).await;
    instance.signal(SentSignal::Named(Signal::CONT));
    world.ledger.record_disturbance(target, Duration::ZERO);
}

/// Cuts instances off from all servers for some time.
pub(crate) async fn cut_from_servers(
    world: &SoakWorld,
    instances: &[Arc<InstanceProcess>],
    mode: CutMode,
    duration: Duration,
) {
    let from = SteadyClock.now();
    let processes: Vec<u32> = instances
        .iter()
        .filter_map(|instance| instance.process_id())
        .collect();
    for process in &processes {
        world.cuts.start(*process, mode);
    }
    Timer::after(duration).await;
    // Bytes that were held back go on from here.
    let until = SteadyClock.now();
    for process in &processes {
        world.cuts.end(*process);
    }
    // Grants that were held back arrive now.
    world
        .ledger
        .record_disturbance(DisturbanceTarget::Servers, Duration::ZERO);
    world.ledger.cut_periods.lock().unwrap().push(CutPeriod {
        instances: instances.iter().map(|instance| instance.number).collect(),
        from,
        until,
    });
}

/// Stops an instance gracefully and waits until its next process has been started.
pub(crate) async fn terminate(world: &SoakWorld, instance: &InstanceProcess) {
    if !instance.is_stoppable() {
        return;
    }
    let start_count = instance.start_count();
    send(world, instance, SentSignal::Named(Signal::TERM));
    instance.wait_for_restart(start_count).await;
}

/// Performs a rolling restart, one instance at a time unless there are more than
/// `MAX_RESTART_STEPS`.
pub(crate) async fn terminate_in_turn(world: &SoakWorld) {
    let size = world.instances.len().div_ceil(MAX_RESTART_STEPS);
    for step in world.instances.chunks(size) {
        let stops = step.iter().map(|instance| terminate(world, instance));
        futures_util::future::join_all(stops).await;
        Timer::after(RESTART_INTERVAL).await;
    }
}

/// Stops the instances one at a time and sends all kinds of signals to each during its stop.
pub(crate) async fn signal_in_turn(world: &SoakWorld) {
    for instance in &world.instances {
        let series = SignalSeries::all_kinds(instance.number);
        let start_count = instance.start_count();
        let signals = async {
            for (pause, signal) in &series.0 {
                Timer::after(*pause).await;
                if instance.start_count() == start_count {
                    send(world, instance, *signal);
                }
            }
        };
        future::zip(terminate(world, instance), signals).await;
        Timer::after(RESTART_INTERVAL).await;
    }
}

/// Sends a series of signals to each of the instances, also to processes started meanwhile.
pub(crate) async fn send_series(
    world: &SoakWorld,
    instances: &[Arc<InstanceProcess>],
    series: &SignalSeries,
) {
    for (pause, signal) in &series.0 {
        Timer::after(*pause).await;
        for instance in instances {
            send(world, instance, *signal);
        }
    }
}

/// Sends a signal and records it as planned work.
fn send(world: &SoakWorld, instance: &InstanceProcess, signal: SentSignal) {
    let duration = match signal.requests_stop() {
        true => world.plan.stop_timeout + ProcessExit::STOP_SLACK,
        false => SoakPlan::APPLY_TIME,
    };
    let target = DisturbanceTarget::PlannedWork(instance.number);
    world.ledger.record_disturbance(target, duration);
    instance.signal(signal);
}
