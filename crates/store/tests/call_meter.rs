//! Tests of the store client's rate limit, health state and backoff.

use {
    geraniummast_model::MonoTime,
    geraniummast_store::{CallKind, CallMeter, RetryBackoff, StoreState},
    std::time::Duration,
};

#[test]
fn calls_under_constant_demand_stay_within_burst_and_rate() {
    let mut meter = CallMeter::new(MonoTime(0));
    let period_ms = 10_000_u64;
    let call_count = (0..period_ms * 10)
        .filter(|step| meter.try_start(CallKind::Read, MonoTime(step * 100)))
        .count() as f64;
    let max_calls =
        CallMeter::BURST_CALLS + CallMeter::CALLS_PER_SECOND * period_ms as f64 / 1_000.0;
    assert!(
        call_count <= max_calls && call_count >= max_calls - 2.0,
        "{call_count} of {max_calls}"
    );
}

#[test]
fn state_distinguishes_slow_and_unresponsive_store() {
    let mut meter = CallMeter::new(MonoTime(0));
    assert_eq!(meter.state(), StoreState::Unknown);
    meter.record_response(Duration::from_millis(3));
    assert_eq!(meter.state(), StoreState::Up);
    meter.record_response(Duration::from_millis(400));
    assert_eq!(meter.state(), StoreState::Slow);
    meter.record_failure();
    meter.record_failure();
    assert_eq!(meter.state(), StoreState::Down);
    meter.record_response(Duration::from_millis(3));
    assert_eq!(meter.state(), StoreState::Up);
}

#[test]
fn backoff_grows_to_its_maximum_and_restarts_after_reset() {
    let (min_delay, max_delay) = (Duration::from_millis(100), Duration::from_secs(2));
    let mut backoff = RetryBackoff::new(min_delay, max_delay);
    let max_delays: Vec<_> = (0..40).map(|_| backoff.next_delay(1.0)).collect();
    assert!(max_delays.is_sorted() && max_delays[39] == max_delay && max_delays[0] == min_delay);
    assert_eq!(backoff.next_delay(0.0), min_delay);
    backoff.reset();
    assert_eq!(backoff.next_delay(1.0), min_delay);
}
