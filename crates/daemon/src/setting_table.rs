//! All settings of the daemon; parsing, help and printing follow this table.

use crate::prelude::*;
use geraniummast_settings::{
    read_address, read_addresses, read_millis, read_name, read_number, read_secret,
};

/// Program that the settings belong to.
const TABLE: SettingTable<DaemonSettings> = SettingTable {
    usage: "\
geraniummastd: one entry instance of geraniummast

usage: geraniummastd [--SETTING VALUE]... [--print-settings]
       geraniummastd gateway [--SETTING VALUE]... [--print-settings]",
    specs: SETTINGS,
    initial: || DaemonSettings::builder("").build(),
    conflicts: DaemonSettings::conflicts,
};

/// Reads `arguments` (without the program's name), with `variable` as the environment.
pub fn read_settings(
    arguments: impl IntoIterator<Item = std::ffi::OsString>,
    variable: impl Fn(&str) -> Option<std::ffi::OsString>,
) -> SettingsOutcome<DaemonSettings> {
    SettingsOutcome::read(&TABLE, arguments, variable)
}

/// Settings in the order in which they are printed.
const SETTINGS: &[SettingSpec<DaemonSettings>] = &[
    SettingSpec::required(
        "name",
        "a name of 1 to 64 letters, digits, '-', '_', '.'",
        "Name of this instance, unique among all",
        |to, text| read_name(&mut to.name, text),
    ),
    SettingSpec::required(
        "data-centre",
        "a name of 1 to 64 letters, digits, '-', '_', '.'",
        "Data centre that this instance runs in",
        |to, text| read_name(&mut to.data_centre, text),
    ),
    SettingSpec::required(
        "caller-address",
        "IP:PORT, no wildcard address",
        "Address on which callers are served",
        |to, text| read_address(&mut to.caller_address, text),
    ),
    SettingSpec::required(
        "peer-address",
        "IP:PORT, no wildcard address",
        "Address on which other instances are served, as they dial it",
        |to, text| read_address(&mut to.peer_address, text),
    ),
    SettingSpec::required(
        "operator-address",
        "IP:PORT, no wildcard address",
        "Address for health, metrics, dumps and operators",
        |to, text| read_address(&mut to.operator_address, text),
    ),
    SettingSpec::required(
        "store-address",
        "IP:PORT, no wildcard address",
        "Address of the platform's object API",
        |to, text| read_address(&mut to.store_address, text),
    ),
    SettingSpec::optional(
        "seed-peers",
        "",
        "IP:PORT,IP:PORT,... or nothing",
        "Peers that a fresh instance asks while the store is down",
        |to, text| read_addresses(&mut to.seed_peers, text),
    ),
    SettingSpec::required_secret(
        "peer-secret",
        "Secret that instances prove to each other",
        |to, text| read_secret(&mut to.peer_secret, text),
    ),
    SettingSpec::required_secret(
        "operator-token",
        "Bearer token of calls that change state",
        |to, text| read_secret(&mut to.operator_token, text),
    ),
    SettingSpec::optional(
        "worker-threads",
        "2",
        "a number of threads, 1 to 64",
        "Threads that do all work",
        |to, text| read_number(&mut to.workers, text, 1..=64),
    ),
    SettingSpec::optional(
        "max-connections",
        "1024",
        "a number of connections, 1 to 100000",
        "Connections open at once, for callers and operators each",
        |to, text| read_number(&mut to.limits.max_connections, text, 1..=100_000),
    ),
    SettingSpec::optional(
        "max-peer-connections",
        "1024",
        "a number of connections, 1 to 100000",
        "Connections open at once from other instances",
        |to, text| read_number(&mut to.peer_limits.max_connections, text, 1..=100_000),
    ),
    SettingSpec::optional(
        "max-head-bytes",
        "16384",
        "bytes, 8192 to 1048576",
        "Largest head of a request",
        |to, text| read_number(&mut to.limits.max_head_bytes, text, 8_192..=1 << 20),
    ),
    SettingSpec::optional(
        "max-headers",
        "64",
        "a number of headers, 8 to 1000",
        "Most headers of a request",
        |to, text| read_number(&mut to.limits.max_headers, text, 8..=1_000),
    ),
    SettingSpec::optional(
        "max-body-bytes",
        "4194304",
        "bytes, 1 to 16777216",
        "Largest body of a request; a class may declare less",
        |to, text| read_number(&mut to.max_body_bytes, text, 1..=16 << 20),
    ),
    SettingSpec::optional(
        "max-frame-bytes",
        "8388608",
        "bytes, 65536 to 67108864",
        "Largest frame between instances",
        |to, text| read_number(&mut to.peer_limits.max_frame_bytes, text, 65_536..=64 << 20),
    ),
    SettingSpec::optional(
        "head-timeout-ms",
        "10000",
        "milliseconds, 10 to 600000",
        "Longest time until a request's head has arrived",
        |to, text| read_millis(&mut to.limits.head_timeout, text, 10..=600_000),
    ),
    SettingSpec::optional(
        "body-timeout-ms",
        "10000",
        "milliseconds, 10 to 600000",
        "Longest time until a request's body has arrived",
        |to, text| read_millis(&mut to.body_timeout, text, 10..=600_000),
    ),
    SettingSpec::optional(
        "proof-timeout-ms",
        "1000",
        "milliseconds, 10 to 60000",
        "Longest time until a peer has proved the secret",
        |to, text| read_millis(&mut to.peer_limits.proof_timeout, text, 10..=60_000),
    ),
    SettingSpec::optional(
        "stop-timeout-ms",
        "30000",
        "milliseconds, 0 to 3600000",
        "Longest time that a graceful stop waits for requests in flight",
        |to, text| read_millis(&mut to.stop_timeout, text, 0..=3_600_000),
    ),
    SettingSpec::optional(
        "cut-off-timeout-ms",
        "3000",
        "milliseconds, 100 to 60000",
        "Silence of store and peers after which new requests are refused",
        |to, text| read_millis(&mut to.cut_off_timeout, text, 100..=60_000),
    ),
    SettingSpec::optional(
        "heartbeat-ms",
        "50",
        "milliseconds, 5 to 10000",
        "Interval of heartbeats between a leader and its standbys",
        |to, text| read_millis(&mut to.timing.heartbeat, text, 5..=10_000),
    ),
    SettingSpec::optional(
        "lease-ms",
        "300",
        "milliseconds, 10 to 60000",
        "Time that a standby lends a leader with each heartbeat",
        |to, text| read_millis(&mut to.timing.lease, text, 10..=60_000),
    ),
    SettingSpec::optional(
        "suspicion-ms",
        "250",
        "milliseconds, 10 to 60000",
        "Silence after which a standby suspects a leader",
        |to, text| read_millis(&mut to.timing.suspicion, text, 10..=60_000),
    ),
    SettingSpec::optional(
        "grant-renewal-ms",
        "80",
        "milliseconds, 5 to 10000",
        "Interval of a grant's renewals",
        |to, text| read_millis(&mut to.timing.grant_renewal, text, 5..=10_000),
    ),
    SettingSpec::optional(
        "grant-ms",
        "300",
        "milliseconds, 10 to 60000",
        "Time that a grant stands",
        |to, text| read_millis(&mut to.timing.grant, text, 10..=60_000),
    ),
    SettingSpec::optional(
        "server-suspicion-ms",
        "250",
        "milliseconds, 10 to 60000",
        "Silence after which a leader counts a server as lost",
        |to, text| read_millis(&mut to.timing.server_suspicion, text, 10..=60_000),
    ),
    SettingSpec::optional(
        "drift-ppm",
        "500",
        "parts per million, 0 to 100000",
        "Share by which two clocks may drift apart",
        |to, text| read_number(&mut to.timing.drift_ppm, text, 0..=100_000),
    ),
    SettingSpec::optional(
        "log-level",
        "info",
        "one of off, error, warn, info, debug, trace",
        "Least severe level that is logged",
        |to, text| match text.parse() {
            Ok(level) => {
                to.log_level = level;
                true
            }
            Err(_) => false,
        },
    ),
    SettingSpec::optional(
        "log-format",
        "text",
        "one of text, json",
        "Format of log lines on standard error",
        |to, text| match text {
            "text" | "json" => {
                to.log_json = text == "json";
                true
            }
            _ => false,
        },
    ),
];
