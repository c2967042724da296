//! Tests of the action for a signal.

use crate::prelude::*;

// Guards against a second signal that shortens a running stop: the phase alone decides.
#[test]
fn signal_while_stopping_is_ignored() {
    for signal in ProcessSignal::handled() {
        assert_eq!(ProcessPhase::Stopping.action(signal), SignalAction::Ignore);
    }
}
