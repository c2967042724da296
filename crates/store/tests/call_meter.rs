//! Budget and health of the store's client.

use {
    geraniummast_model::MonoTime,
    geraniummast_store::{CallKind, CallMeter, RetryBackoff, StoreState},
    std::time::Duration,
};

#[test]
fn calls_never_exceed_the_burst_and_the_rate() {
    let mut meter = CallMeter::new(MonoTime(0));
    let spans_ms = 10_000_u64;
    let made = (0..spans_ms * 10)
        .filter(|step| meter.start(CallKind::Read, MonoTime(step * 100)))
        .count() as f64;
    let bound = CallMeter::BURST + CallMeter::RATE * spans_ms as f64 / 1_000.0;
    assert!(made <= bound && made >= bound - 2.0, "{made} of {bound}");
}

#[test]
fn a_slow_store_and_a_dead_one_show_as_different_states() {
    let mut meter = CallMeter::new(MonoTime(0));
    assert_eq!(meter.state(), StoreState::Unknown);
    meter.answered(Duration::from_millis(3));
    assert_eq!(meter.state(), StoreState::Up);
    meter.answered(Duration::from_millis(400));
    assert_eq!(meter.state(), StoreState::Slow);
    meter.failed();
    meter.failed();
    assert_eq!(meter.state(), StoreState::Down);
    meter.answered(Duration::from_millis(3));
    assert_eq!(meter.state(), StoreState::Up);
}

#[test]
fn pauses_grow_to_their_bound_and_start_over() {
    let (least, most) = (Duration::from_millis(100), Duration::from_secs(2));
    let mut pause = RetryBackoff::new(least, most);
    let longest: Vec<_> = (0..40).map(|_| pause.next_delay(1.0)).collect();
    assert!(longest.is_sorted() && longest[39] == most && longest[0] == least);
    assert_eq!(pause.next_delay(0.0), least);
    pause.reset();
    assert_eq!(pause.next_delay(1.0), least);
}
