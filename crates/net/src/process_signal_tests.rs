//! What signals lead to in each phase of a process.

use crate::prelude::*;

// Guards against the class of inc1: what a signal leads to depends on the phase alone.
#[test]
fn no_signal_asks_a_stopping_process_for_anything() {
    for signal in ProcessSignal::taken() {
        assert_eq!(ProcessPhase::Stopping.action(signal), SignalAction::Ignore);
    }
}
