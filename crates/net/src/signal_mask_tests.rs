//! Tests of parsing the mask of handled signals.

use crate::{prelude::*, signal_mask::SignalMask};

#[test]
fn parse_status_text_yields_handled_signals() {
    let status = "Name:\tdaemon\nSigIgn:\t0000000000001000\nSigCgt:\t0200000000004000\n";
    let mask = SignalMask::parse(status).unwrap();
    let names: Vec<String> = ProcessSignal::handled()
        .filter(|signal| mask.contains(*signal))
        .map(|signal| signal.to_string())
        .collect();
    assert_eq!(names, ["SIGTERM", "SIG58"]);
    assert!(SignalMask::parse("Name:\tdaemon\n").is_none());
}
