//! Scenarios run over real sockets; only what must be 0 is held against them here.

use geraniummast_lab::{MeasuredFigures, measured};

fn assert_zeros(scenario: &str) {
    let figures = futures_lite::future::block_on(measured(scenario, 1)).unwrap();
    let faults = |figures: &MeasuredFigures| {
        let zeros = figures.zeros().into_iter();
        zeros.filter(|(_, value)| *value != 0).collect::<Vec<_>>()
    };
    assert!(figures.requests > 0);
    assert_eq!(faults(&figures), [], "{scenario} with seed 1");
}

#[test]
fn an_outage_of_the_store_breaks_no_promise() {
    assert_zeros("store-outage");
}

#[test]
fn operators_that_race_break_no_promise() {
    assert_zeros("preset-race");
}
