//! Supervises an instance: checks each exit of its process and starts the next process.

use crate::prelude::*;

/// Time between two checks whether the process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between an exit and the next start, so that callers notice cut connections before the new
/// process listens.
const RESTART_DELAY: Duration = Duration::from_millis(150);

/// Keeps one instance running until the callers stop.
pub(crate) async fn supervise(world: Arc<SoakWorld>, number: usize) {
    let instance = world.instances[number].clone();
    while world.is_sending.load(Ordering::SeqCst) {
        Timer::after(POLL_INTERVAL).await;
        let Some(exit) = instance.take_exit() else {
            continue;
        };
        check_exit(&world.ledger, number, &exit);
        Timer::after(RESTART_DELAY).await;
        // The instance counts as disturbed while it starts.
        let target = DisturbanceTarget::Instance(number);
        world.ledger.record_disturbance(target, Duration::ZERO);
        if !world.is_sending.load(Ordering::SeqCst) {
            return;
        }
        if let Err(error) = world.start_instance(number) {
            let detail = format!("instance {number} could not be restarted: {error}");
            world.ledger.add_violation("SOAK", &detail);
        }
    }
}

/// Records the guarantee that an exit violates, if any.
pub(crate) fn check_exit(ledger: &SoakLedger, number: usize, exit: &ProcessExit) {
    let now = SteadyClock.now();
    let since = now.before(exit.stop_duration.unwrap_or_default());
    let is_undisturbed = !ledger.was_disturbed(DisturbanceTarget::Instance(number), since, now);
    if let Some((rule, detail)) = exit.violation(is_undisturbed) {
        ledger.add_violation(rule, &format!("instance {number} {detail}"));
    }
}
