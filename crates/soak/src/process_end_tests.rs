//! Each end of a process that breaks a promise is found, and no sound one.

use crate::{instance_keeper, prelude::*};
use std::{os::unix::process::ExitStatusExt, process::ExitStatus};

const SECOND: Duration = Duration::from_secs(1);

/// Rules that a process's end breaks, as the keeper notes them.
fn rules_of(end: &ProcessEnd) -> Vec<String> {
    let ledger = SoakLedger::default();
    instance_keeper::judge(&ledger, 0, end);
    let faults = ledger.faults.lock().unwrap();
    let rule = |fault: &String| fault.split(':').next().unwrap_or_default().to_string();
    faults.iter().map(rule).collect()
}

/// A sound end: a stop that was asked for, with code 0.
fn stopped() -> ProcessEnd {
    ProcessEnd {
        status: Some(ExitStatus::from_raw(0)),
        lived: SECOND * 20,
        has_started: true,
        stop_took: Some(SECOND * 4),
        stop_timeout: SECOND * 6,
    }
}

#[test]
fn a_stop_that_is_late_or_early_or_fails_is_found() {
    assert!(rules_of(&stopped()).is_empty());
    let early = ProcessEnd {
        stop_took: Some(SECOND),
        ..stopped()
    };
    assert_eq!(rules_of(&early), ["DRAIN"]);
    let failed = ProcessEnd {
        status: Some(ExitStatus::from_raw(1 << 8)),
        ..stopped()
    };
    assert_eq!(rules_of(&failed), ["DRAIN"]);
    let late = ProcessEnd {
        status: None,
        stop_took: Some(SECOND * 8),
        ..stopped()
    };
    assert_eq!(rules_of(&late), ["DRAIN"]);
    let paused = SoakLedger::default();
    paused.disturbed(Disturbed::Instance(0), SECOND);
    instance_keeper::judge(&paused, 0, &late);
    assert!(paused.faults.lock().unwrap().is_empty());
}

#[test]
fn an_end_that_nobody_asked_for_is_found() {
    let unasked = ProcessEnd {
        stop_took: None,
        ..stopped()
    };
    assert_eq!(rules_of(&unasked), ["FAULT"]);
}

#[test]
fn an_end_by_a_signal_is_found_unless_the_process_had_no_time_to_start() {
    let by_signal = ProcessEnd {
        status: Some(ExitStatus::from_raw(10)),
        ..stopped()
    };
    assert_eq!(rules_of(&by_signal), ["FAULT"]);
    let at_once = ProcessEnd {
        lived: SECOND,
        has_started: false,
        ..by_signal.clone()
    };
    assert!(rules_of(&at_once).is_empty());
    let after_word = ProcessEnd {
        has_started: true,
        ..at_once.clone()
    };
    assert_eq!(rules_of(&after_word), ["FAULT"]);
    let without_word = ProcessEnd {
        lived: SECOND * 6,
        ..at_once
    };
    assert_eq!(rules_of(&without_word), ["FAULT"]);
}
