//! Table of the daemon's settings, from which they are parsed, described in the help and printed.

use crate::prelude::*;
use geraniummast_settings::{
    read_address, read_addresses, read_millis, read_name, read_number, read_secret,
};

/// Usage text, settings and checks of the daemon.
const TABLE: SettingTable<DaemonSettings> = SettingTable {
    usage: "\
geraniummastd: one instance of the geraniummast router

usage: geraniummastd [--SETTING VALUE]... [--print-settings]
       geraniummastd gateway [--SETTING VALUE]... [--print-settings]",
    specs: SETTINGS,
    initial: || DaemonSettings::builder("").build(),
    conflicts: DaemonSettings::conflicts,
};

/// Reads the settings from `arguments`, which exclude the program's name, and from the environment
/// variables that `variable` returns.
pub fn read_settings(
    arguments: impl IntoIterator<Item = std::ffi::OsString>,
    variable: impl Fn(&str) -> Option<std::ffi::OsString>,
) -> SettingsOutcome<DaemonSettings> {
    SettingsOutcome::read(&TABLE, arguments, variable)
}

/// All settings, in the order in which they are printed.
const SETTINGS: &[SettingSpec<DaemonSettings>] = &[
    SettingSpec::required(
        "name",
        "a name of 1 to 64 letters, digits, '-', '_', '.'",
        "Name of this instance, unique among all instances",
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
        "Address on which other instances are served and which they connect to",
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
        "Peers that a new instance gets the configuration from while the store is unavailable",
        |to, text| read_addresses(&mut to.seed_peers, text),
    ),
    SettingSpec::required_secret(
        "peer-secret",
        "Shared secret by which instances authenticate to each other",
        |to, text| read_secret(&mut to.peer_secret, text),
    ),
    SettingSpec::required_secret(
        "operator-token",
        "Bearer token that operators' changes require",
        |to, text| read_secret(&mut to.operator_token, text),
    ),
    SettingSpec::optional(
        "worker-threads",
        "2",
        "a number of threads, 1 to 64",
        "Number of worker threads",
        |to, text| read_number(&mut to.workers, text, 1..=64),
    ),
    SettingSpec::optional(
        "max-connections",
        "1024",
        "a number of connections, 1 to 100000",
        "Maximum number of open connections, for callers and for operators each",
        |to, text| read_number(&mut to.limits.max_connections, text, 1..=100_000),
    ),
    SettingSpec::optional(
        "max-peer-connections",
        "1024",
        "a number of connections, 1 to 100000",
        "Maximum number of open connections from other instances",
        |to, text| read_number(&mut to.peer_limits.max_connections, text, 1..=100_000),
    ),
    SettingSpec::optional(
        "max-head-bytes",
        "16384",
        "bytes, 8192 to 1048576",
        "Maximum size of a request's head",
        |to, text| read_number(&mut to.limits.max_head_bytes, text, 8_192..=1 << 20),
    ),
    SettingSpec::optional(
        "max-headers",
        "64",
        "a number of headers, 8 to 1000",
        "Maximum number of headers of a request",
        |to, text| read_number(&mut to.limits.max_headers, text, 8..=1_000),
    ),
    SettingSpec::optional(
        "max-body-bytes",
        "4194304",
        "bytes, 1 to 16777216",
        "Maximum size of a request's body; a class may declare a lower one",
        |to, text| read_number(&mut to.max_body_bytes, text, 1..=16 << 20),
    ),
    SettingSpec::optional(
        "max-frame-bytes",
        "8388608",
        "bytes, 65536 to 67108864",
        "Maximum size of a frame between instances",
        |to, text| read_number(&mut to.peer_limits.max_frame_bytes, text, 65_536..=64 << 20),
    ),
    SettingSpec::optional(
        "head-timeout-ms",
        "10000",
        "milliseconds, 10 to 600000",
        "Time within which a request's head must arrive",
        |to, text| read_millis(&mut to.limits.head_timeout, text, 10..=600_000),
    ),
    SettingSpec::optional(
        "body-timeout-ms",
        "10000",
        "milliseconds, 10 to 600000",
        "Time within which a request's body must arrive",
        |to, text| read_millis(&mut to.body_timeout, text, 10..=600_000),
    ),
    SettingSpec::optional(
        "proof-timeout-ms",
        "1000",
        "milliseconds, 10 to 60000",
        "Time within which a connecting instance must prove the shared secret",
        |to, text| read_millis(&mut to.peer_limits.proof_timeout, text, 10..=60_000),
    ),
    SettingSpec::optional(
        "stop-timeout-ms",
        "30000",
        "milliseconds, 0 to 3600000",
        "Maximum time that a graceful stop waits for requests in flight",
        |to, text| read_millis(&mut to.stop_timeout, text, 0..=3_600_000),
    ),
    SettingSpec::optional(
        "cut-off-timeout-ms",
        "3000",
        "milliseconds, 100 to 60000",
        "Time without an answer of the store or a peer after which new requests are refused",
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
        "Time for which a standby's vote for a leader is valid after each heartbeat",
        |to, text| read_millis(&mut to.timing.lease, text, 10..=60_000),
    ),
    SettingSpec::optional(
        "suspicion-ms",
        "250",
        "milliseconds, 10 to 60000",
        "Time without a heartbeat after which a standby suspects its leader",
        |to, text| read_millis(&mut to.timing.suspicion, text, 10..=60_000),
    ),
    SettingSpec::optional(
        "grant-renewal-ms",
        "80",
        "milliseconds, 5 to 10000",
        "Interval at which a grant is renewed",
        |to, text| read_millis(&mut to.timing.grant_renewal, text, 5..=10_000),
    ),
    SettingSpec::optional(
        "grant-ms",
        "300",
        "milliseconds, 10 to 60000",
        "Time for which a grant is valid",
        |to, text| read_millis(&mut to.timing.grant, text, 10..=60_000),
    ),
    SettingSpec::optional(
        "server-suspicion-ms",
        "250",
        "milliseconds, 10 to 60000",
        "Time without an answer after which a leader suspects a server",
        |to, text| read_millis(&mut to.timing.server_suspicion, text, 10..=60_000),
    ),
    SettingSpec::optional(
        "drift-ppm",
        "500",
        "parts per million, 0 to 100000",
        "Maximum drift between two clocks",
        |to, text| read_number(&mut to.timing.drift_ppm, text, 0..=100_000),
    ),
    SettingSpec::optional(
        "log-level",
        "info",
        "one of off, error, warn, info, debug, trace",
        "Lowest severity that is logged",
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
