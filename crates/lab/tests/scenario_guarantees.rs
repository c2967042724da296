//! Scenarios over real sockets; only the figures that must be 0 are checked here.

use geraniummast_lab::{MeasuredFigures, measure_scenario};

fn assert_no_violations(scenario: &str) {
    let figures = futures_lite::future::block_on(measure_scenario(scenario, 1)).unwrap();
    let violations = |figures: &MeasuredFigures| {
        let counts = figures.must_be_zero().into_iter();
        counts.filter(|(_, value)| *value != 0).collect::<Vec<_>>()
    };
    assert!(figures.requests > 0);
    assert_eq!(violations(&figures), [], "{scenario} with seed 1");
}

#[test]
fn store_outage_violates_no_guarantee() {
    assert_no_violations("store-outage");
}

#[test]
fn concurrent_operators_violate_no_guarantee() {
    assert_no_violations("preset-race");
}
