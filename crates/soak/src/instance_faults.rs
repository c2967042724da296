//! Faults that come to instances as signals.

use crate::{instance_supervisor, prelude::*};
use rustix::process::Signal;

/// Time between two steps of restarts in series.
const RESTART_INTERVAL: Duration = Duration::from_millis(400);
/// Most steps of restarts in series; instances of one step stop at the same time.
const MAX_RESTART_STEPS: usize = 8;

/// Kills one instance, and starts it after a while.
pub(crate) async fn kill(
    world: &SoakWorld,
    instance: &InstanceProcess,
    down: Duration,
) -> eyre::Result<()> {
    kill_immediately(world, instance, down);
    Timer::after(down).await;
    world.start_instance(instance.number)
}

/// Kills all instances, and starts them after a while.
pub(crate) async fn kill_all(world: &SoakWorld, down: Duration) -> eyre::Result<()> {
    for instance in &world.instances {
        kill_immediately(world, instance, down);
    }
    Timer::after(down).await;
    (0..world.instances.len()).try_for_each(|number| world.start_instance(number))
}

/// Kills an instance, and judges an end that came before.
fn kill_immediately(world: &SoakWorld, instance: &InstanceProcess, down: Duration) {
    let what = DisturbanceTarget::Instance(instance.number);
    world.ledger.record_disturbance(what, down);
    if let Some(exit) = instance.kill() {
        instance_supervisor::check_exit(&world.ledger, instance.number, &exit);
    }
}

/// Stops an instance for a while without its knowledge.
pub(crate) async fn pause(world: &SoakWorld, instance: &InstanceProcess, time: Duration) {
    let what = DisturbanceTarget::Instance(instance.number);
    world.ledger.record_disturbance(what, time);
    instance.signal(SentSignal::Named(Signal::STOP));
    Timer::after(time).await;
    instance.signal(SentSignal::Named(Signal::CONT));
    world.ledger.record_disturbance(what, Duration::ZERO);
}

/// Asks an instance to stop, and waits until the next process runs in its place.
pub(crate) async fn terminate(world: &SoakWorld, instance: &InstanceProcess) {
    if !instance.is_stoppable() {
        return;
    }
    let start = instance.start_count();
    send(world, instance, SentSignal::Named(Signal::TERM));
    instance.wait_for_restart(start).await;
}

/// Stops all instances in series, one after the other unless there are many.
pub(crate) async fn terminate_in_turn(world: &SoakWorld) {
    let size = world.instances.len().div_ceil(MAX_RESTART_STEPS);
    for step in world.instances.chunks(size) {
        let stops = step.iter().map(|instance| terminate(world, instance));
        futures_util::future::join_all(stops).await;
        Timer::after(RESTART_INTERVAL).await;
    }
}

/// Stops one instance after the other, and sends all kinds of signals to each meanwhile.
pub(crate) async fn signal_in_turn(world: &SoakWorld) {
    for instance in &world.instances {
        let series = SignalSeries::all_kinds(instance.number);
        let start = instance.start_count();
        let signals = async {
            for (pause, signal) in &series.0 {
                Timer::after(*pause).await;
                if instance.start_count() == start {
                    send(world, instance, *signal);
                }
            }
        };
        future::zip(terminate(world, instance), signals).await;
        Timer::after(RESTART_INTERVAL).await;
    }
}

/// Sends a series to some instances, whichever process runs at the time.
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

/// Sends a signal as planned work.
fn send(world: &SoakWorld, instance: &InstanceProcess, signal: SentSignal) {
    let span = match signal.requests_stop() {
        true => world.plan.stop_timeout + ProcessExit::STOP_SLACK,
        false => SoakPlan::APPLY_TIME,
    };
    let what = DisturbanceTarget::Planned(instance.number);
    world.ledger.record_disturbance(what, span);
    instance.signal(signal);
}
