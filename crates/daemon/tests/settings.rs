//! Tests of reading the daemon's settings from flags and environment variables.

use {
    geraniummast_daemon::{DaemonSettings, read_settings},
    geraniummast_settings::SettingsOutcome,
    std::ffi::OsString,
};

/// All required settings, valid.
const REQUIRED_SETTINGS: [(&str, &str); 8] = [
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

/// Reads the required settings with `extra_flags`, and one optional setting from a variable.
fn read_with_required(extra_flags: &[&str]) -> SettingsOutcome<DaemonSettings> {
    let required_flags: Vec<String> = REQUIRED_SETTINGS
        .iter()
        .map(|(name, value)| format!("--{name}={value}"))
        .collect();
    let flags: Vec<&str> = required_flags
        .iter()
        .map(String::as_str)
        .chain(extra_flags.iter().copied())
        .collect();
    read(&flags, &[("GERANIUMMAST_WORKER_THREADS", "3")])
}

#[test]
fn invalid_settings_are_all_reported_with_their_source() {
    let outcome = read_with_required(&[
        "--max-headers=0",
        "--log-format",
        "xml",
        "--colour",
        "--head-timeout-ms=1",
    ]);
    let SettingsOutcome::Invalid(errors) = outcome else {
        panic!("{outcome:?}");
    };
    let sources: Vec<_> = errors.iter().map(|error| error.source.as_str()).collect();
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
        errors[2].to_string(),
        "--head-timeout-ms: value '1', expected milliseconds, 10 to 600000"
    );
}

#[test]
fn missing_setting_is_reported_with_its_flag_and_variable() {
    let SettingsOutcome::Invalid(errors) = read(&[], &[("GERANIUMMAST_DRIFT_PPM", "many")]) else {
        panic!("missing settings must be rejected");
    };
    assert_eq!(errors.len(), REQUIRED_SETTINGS.len() + 1);
    assert_eq!(errors[0].source, "--name or GERANIUMMAST_NAME");
    assert_eq!(errors[8].source, "GERANIUMMAST_DRIFT_PPM");
}

#[test]
fn printed_settings_show_sources_and_hide_secrets() {
    let SettingsOutcome::Print(text) =
        read_with_required(&["--print-settings", "--log-level", "debug"])
    else {
        panic!("valid settings must be printed");
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
fn contradictory_settings_are_rejected() {
    let SettingsOutcome::Invalid(errors) = read_with_required(&["--max-frame-bytes=65536"]) else {
        panic!("a frame that is too small for the largest body must be rejected");
    };
    assert_eq!(errors.len(), 1);
    assert_eq!(errors[0].source, "--max-frame-bytes");
    let SettingsOutcome::Invalid(errors) =
        read_with_required(&["--heartbeat-ms=150", "--grant-ms=100"])
    else {
        panic!("a lease or grant shorter than three of its intervals must be rejected");
    };
    let errors: Vec<_> = errors.iter().map(ToString::to_string).collect();
    assert_eq!(
        errors,
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
