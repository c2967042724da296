//! Takes in the ends of an instance's processes, judges them, and starts the next.

use crate::prelude::*;

/// Time between two looks.
const INTERVAL: Duration = Duration::from_millis(20);
/// Time between an end and the next start: callers have seen by then what the end cut.
const DOWN_TIME: Duration = Duration::from_millis(150);

/// Keeps one instance running until the world stops calling.
pub(crate) async fn keep(world: Arc<SoakWorld>, number: usize) {
    let instance = world.instances[number].clone();
    while world.is_calling.load(Ordering::SeqCst) {
        Timer::after(INTERVAL).await;
        let Some(end) = instance.take_end() else {
            continue;
        };
        judge(&world.ledger, number, &end);
        Timer::after(DOWN_TIME).await;
        // A start is no calm time of the instance.
        let what = DisturbanceTarget::Instance(number);
        world.ledger.disturbed(what, Duration::ZERO);
        if !world.is_calling.load(Ordering::SeqCst) {
            return;
        }
        if let Err(error) = world.start_instance(number) {
            let what = format!("instance {number} not started again: {error}");
            world.ledger.broke("SOAK", &what);
        }
    }
}

/// Notes what an end breaks.
pub(crate) fn judge(ledger: &SoakLedger, number: usize, end: &ProcessExit) {
    let now = SteadyClock.now();
    let since = now.before(end.stop_took.unwrap_or_default());
    let is_calm = !ledger.was_disturbed(DisturbanceTarget::Instance(number), since, now);
    if let Some((rule, what)) = end.broken(is_calm) {
        ledger.broke(rule, &format!("instance {number} {what}"));
    }
}
