//! Takes in the ends of an instance's processes, judges them, and starts the next.

use crate::prelude::*;

/// Time between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between an end and the next start: callers have seen by then what the end cut.
const RESTART_DELAY: Duration = Duration::from_millis(150);

/// Keeps one instance running until the world stops calling.
pub(crate) async fn supervise(world: Arc<SoakWorld>, number: usize) {
    let instance = world.instances[number].clone();
    while world.is_sending.load(Ordering::SeqCst) {
        Timer::after(POLL_INTERVAL).await;
        let Some(exit) = instance.take_exit() else {
            continue;
        };
        check_exit(&world.ledger, number, &exit);
        Timer::after(RESTART_DELAY).await;
        // A start is no calm time of the instance.
        let what = DisturbanceTarget::Instance(number);
        world.ledger.record_disturbance(what, Duration::ZERO);
        if !world.is_sending.load(Ordering::SeqCst) {
            return;
        }
        if let Err(error) = world.start_instance(number) {
            let what = format!("instance {number} not started again: {error}");
            world.ledger.add_violation("SOAK", &what);
        }
    }
}

/// Notes what an end breaks.
pub(crate) fn check_exit(ledger: &SoakLedger, number: usize, exit: &ProcessExit) {
    let now = SteadyClock.now();
    let since = now.before(exit.stop_duration.unwrap_or_default());
    let is_undisturbed = !ledger.was_disturbed(DisturbanceTarget::Instance(number), since, now);
    if let Some((rule, what)) = exit.violation(is_undisturbed) {
        ledger.add_violation(rule, &format!("instance {number} {what}"));
    }
}
