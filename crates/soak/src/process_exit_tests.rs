//! Each end of a process that breaks a promise is found, and no sound one.

use crate::{instance_supervisor, prelude::*};
use std::{os::unix::process::ExitStatusExt, process::ExitStatus};

const SECOND: Duration = Duration::from_secs(1);

/// Rules that a process's end breaks, as the keeper notes them.
fn rules_of(exit: &ProcessExit) -> Vec<String> {
    let ledger = SoakLedger::default();
    instance_supervisor::check_exit(&ledger, 0, exit);
    let faults = ledger.violations.lock().unwrap();
    let rule = |fault: &String| fault.split(':').next().unwrap_or_default().to_string();
    faults.iter().map(rule).collect()
}

/// A sound end: a stop that was asked for, with code 0.
fn stopped() -> ProcessExit {
    ProcessExit {
        status: Some(ExitStatus::from_raw(0)),
        uptime: SECOND * 20,
        has_started: true,
        stop_duration: Some(SECOND * 4),
        stop_timeout: SECOND * 6,
    }
}

#[test]
fn a_stop_that_is_late_or_early_or_fails_is_found() {
    assert!(rules_of(&stopped()).is_empty());
    let early = ProcessExit {
        stop_duration: Some(SECOND),
        ..stopped()
    };
    assert_eq!(rules_of(&early), ["DRAIN"]);
    let failed = ProcessExit {
        status: Some(ExitStatus::from_raw(1 << 8)),
        ..stopped()
    };
    assert_eq!(rules_of(&failed), ["DRAIN"]);
    let late = ProcessExit {
        status: None,
        stop_duration: Some(SECOND * 8),
        ..stopped()
    };
    assert_eq!(rules_of(&late), ["DRAIN"]);
    let paused = SoakLedger::default();
    paused.record_disturbance(DisturbanceTarget::Instance(0), SECOND);
    instance_supervisor::check_exit(&paused, 0, &late);
    assert!(paused.violations.lock().unwrap().is_empty());
}

#[test]
fn an_end_that_nobody_asked_for_is_found() {
    let unasked = ProcessExit {
        stop_duration: None,
        ..stopped()
    };
    assert_eq!(rules_of(&unasked), ["FAULT"]);
}

#[test]
fn an_end_by_a_signal_is_found_unless_the_process_had_no_time_to_start() {
    let by_signal = ProcessExit {
        status: Some(ExitStatus::from_raw(10)),
        ..stopped()
    };
    assert_eq!(rules_of(&by_signal), ["FAULT"]);
    let at_once = ProcessExit {
        uptime: SECOND,
        has_started: false,
        ..by_signal.clone()
    };
    assert!(rules_of(&at_once).is_empty());
    let after_word = ProcessExit {
        has_started: true,
        ..at_once.clone()
    };
    assert_eq!(rules_of(&after_word), ["FAULT"]);
    let without_word = ProcessExit {
        uptime: SECOND * 6,
        ..at_once
    };
    assert_eq!(rules_of(&without_word), ["FAULT"]);
}
