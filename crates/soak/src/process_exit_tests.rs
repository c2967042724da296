//! Tests that exits that violate a guarantee are reported, and expected exits are not.

use crate::{instance_supervisor, prelude::*};
use std::{os::unix::process::ExitStatusExt, process::ExitStatus};

const SECOND: Duration = Duration::from_secs(1);

/// Returns the guarantees that an exit violates, as the supervisor records them.
fn violations_of(exit: &ProcessExit) -> Vec<String> {
    let ledger = SoakLedger::default();
    instance_supervisor::check_exit(&ledger, 0, exit);
    let violations = ledger.violations.lock().unwrap();
    let rule = |violation: &String| violation.split(':').next().unwrap_or_default().to_string();
    violations.iter().map(rule).collect()
}

/// Returns an expected exit: after a stop request, in time and with code 0.
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
fn late_early_or_failed_stop_reports_drain() {
    assert!(violations_of(&stopped()).is_empty());
    let early = ProcessExit {
        stop_duration: Some(SECOND),
        ..stopped()
    };
    assert_eq!(violations_of(&early), ["DRAIN"]);
    let failed = ProcessExit {
        status: Some(ExitStatus::from_raw(1 << 8)),
        ..stopped()
    };
    assert_eq!(violations_of(&failed), ["DRAIN"]);
    let late = ProcessExit {
        status: None,
        stop_duration: Some(SECOND * 8),
        ..stopped()
    };
    assert_eq!(violations_of(&late), ["DRAIN"]);
    let disturbed = SoakLedger::default();
    disturbed.record_disturbance(DisturbanceTarget::Instance(0), SECOND);
    instance_supervisor::check_exit(&disturbed, 0, &late);
    assert!(disturbed.violations.lock().unwrap().is_empty());
}

#[test]
fn exit_without_stop_request_reports_fault() {
    let unrequested = ProcessExit {
        stop_duration: None,
        ..stopped()
    };
    assert_eq!(violations_of(&unrequested), ["FAULT"]);
}

#[test]
fn exit_by_signal_after_startup_reports_fault() {
    let killed_by_signal = ProcessExit {
        status: Some(ExitStatus::from_raw(10)),
        ..stopped()
    };
    assert_eq!(violations_of(&killed_by_signal), ["FAULT"]);
    let before_startup = ProcessExit {
        uptime: SECOND,
        has_started: false,
        ..killed_by_signal.clone()
    };
    assert!(violations_of(&before_startup).is_empty());
    let after_startup_log = ProcessExit {
        has_started: true,
        ..before_startup.clone()
    };
    assert_eq!(violations_of(&after_startup_log), ["FAULT"]);
    let after_startup_time = ProcessExit {
        uptime: SECOND * 6,
        ..before_startup
    };
    assert_eq!(violations_of(&after_startup_time), ["FAULT"]);
}
