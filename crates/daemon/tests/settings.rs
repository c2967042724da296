//! Reading of settings from flags and variables.

use {
    geraniummast_daemon::{DaemonSettings, read_settings},
    geraniummast_settings::SettingsOutcome,
    std::ffi::OsString,
};

const WHOLE: [(&str, &str); 8] = [
    ("name", "a1"),
    ("data-centre", "dc1"),
    ("caller-address", "127.0.0.1:1"),
    ("peer-address", "127.0.0.1:2"),
    ("operator-address", "127.0.0.1:3"),
    ("store-address", "127.0.0.1:4"),
    ("peer-secret", "0123456789abcdef"),
    ("operator-token", "fedcba9876543210"),
];

fn read(flags: &[&str], variables: &[(&str, &str)]) -> SettingsOutcome<DaemonSettings> {
    let flags = flags.iter().map(OsString::from);
    read_settings(flags, |name| {
        let found = variables.iter().find(|(known, _)| *known == name);
        found.map(|(_, value)| OsString::from(value))
    })
}

fn with_whole(changes: &[&str]) -> SettingsOutcome<DaemonSettings> {
    let whole: Vec<String> = WHOLE
        .iter()
        .map(|(name, value)| format!("--{name}={value}"))
        .collect();
    let flags: Vec<&str> = whole
        .iter()
        .map(String::as_str)
        .chain(changes.iter().copied())
        .collect();
    read(&flags, &[("GERANIUMMAST_WORKER_THREADS", "3")])
}

#[test]
fn every_faulty_setting_is_reported_in_one_pass_with_its_place() {
    let request = with_whole(&[
        "--max-headers=0",
        "--log-format",
        "xml",
        "--colour",
        "--head-timeout-ms=1",
    ]);
    let SettingsOutcome::Invalid(faults) = request else {
        panic!("{request:?}");
    };
    let sources: Vec<_> = faults.iter().map(|fault| fault.source.as_str()).collect();
    assert_eq!(
        sources,
        [
            "command line",
            "--max-headers",
            "--head-timeout-ms",
            "--log-format"
        ]
    );
    assert_eq!(
        faults[2].to_string(),
        "--head-timeout-ms: value '1', expected milliseconds, 10 to 600000"
    );
}

#[test]
fn a_missing_setting_names_its_flag_and_its_variable() {
    let SettingsOutcome::Invalid(faults) = read(&[], &[("GERANIUMMAST_DRIFT_PPM", "many")]) else {
        panic!("nothing may start");
    };
    assert_eq!(faults.len(), WHOLE.len() + 1);
    assert_eq!(faults[0].source, "--name or GERANIUMMAST_NAME");
    assert_eq!(faults[8].source, "GERANIUMMAST_DRIFT_PPM");
}

#[test]
fn a_flag_goes_before_its_variable_and_secrets_are_hidden() {
    let SettingsOutcome::Print(text) = with_whole(&["--print-settings", "--log-level", "debug"])
    else {
        panic!("settings are whole");
    };
    let line = |name: &str| {
        let line = text.lines().find(|line| line.starts_with(name)).unwrap();
        line.split_whitespace()
            .skip(1)
            .collect::<Vec<_>>()
            .join(" ")
    };
    assert_eq!(line("worker-threads"), "3 GERANIUMMAST_WORKER_THREADS");
    assert_eq!(line("log-level"), "debug --log-level");
    assert_eq!(line("lease-ms"), "300 default");
    assert!(!text.contains("0123456789abcdef") && !text.contains("fedcba9876543210"));
}

#[test]
fn settings_that_contradict_each_other_are_refused() {
    let SettingsOutcome::Invalid(faults) = with_whole(&["--max-frame-bytes=65536"]) else {
        panic!("a body must fit into a frame");
    };
    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].source, "--max-frame-bytes");
    let SettingsOutcome::Invalid(faults) = with_whole(&["--heartbeat-ms=150", "--grant-ms=100"])
    else {
        panic!("two calls must fit into a span");
    };
    let faults: Vec<_> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(
        faults,
        [
            "--lease-ms: value '300', expected milliseconds, at least 3 times heartbeat-ms (150), \
             and that more than 0",
            "--suspicion-ms: value '250', expected milliseconds, at least 2 times heartbeat-ms \
             (150), and that more than 0",
            "--grant-ms: value '100', expected milliseconds, at least 3 times grant-renewal-ms \
             (80), and that more than 0",
        ]
    );
}
