//! Names, defaults and descriptions of the settings of a gateway instance, in the order of the help.

use crate::{
    prelude::*,
    setting_readers::{
        read_optional_address, read_optional_number, read_optional_seconds, read_seconds,
    },
};
use geraniummast_settings::{SettingSpec, read_address, read_addresses, read_name, read_number};

const ADDRESS: &str = "IP:PORT, no wildcard address";
const NAME: &str = "a name of 1 to 64 letters, digits, '-', '_', '.'";

/// All settings.
pub(crate) const SETTINGS: &[SettingSpec<GatewaySettings>] = &[
    SettingSpec::required(
        "name",
        NAME,
        "Name of this instance, unique among all instances",
        |to, text| read_name(&mut to.name, text),
    ),
    SettingSpec::required(
        "data-centre",
        NAME,
        "Data centre that this instance runs in",
        |to, text| read_name(&mut to.data_centre, text),
    ),
    SettingSpec::required(
        "caller-address",
        ADDRESS,
        "Address on which callers are served",
        |to, text| read_address(&mut to.caller_address, text),
    ),
    SettingSpec::required(
        "readiness-address",
        ADDRESS,
        "Address on which the load balancer probes readiness",
        |to, text| read_address(&mut to.readiness_address, text),
    ),
    SettingSpec::required(
        "operator-address",
        ADDRESS,
        "Address for metrics and the state dump",
        |to, text| read_address(&mut to.operator_address, text),
    ),
    SettingSpec::required(
        "peer-address",
        ADDRESS,
        "Address to which other instances send heartbeats",
        |to, text| read_address(&mut to.peer_address, text),
    ),
    SettingSpec::required(
        "feed-address",
        ADDRESS,
        "Address on which other instances fetch the store's objects",
        |to, text| read_address(&mut to.feed_address, text),
    ),
    SettingSpec::optional(
        "relay-address",
        "",
        "IP:PORT, no wildcard address, or nothing",
        "Address on which requests of instances that do not reach the servers are accepted",
        |to, text| read_optional_address(&mut to.relay_address, text),
    ),
    SettingSpec::optional(
        "seed-addresses",
        "",
        "IP:PORT,IP:PORT,... or nothing",
        "Feed addresses of instances to ask until the store has answered",
        |to, text| read_addresses(&mut to.seed_addresses, text),
    ),
    SettingSpec::required(
        "store-address",
        ADDRESS,
        "Address of the platform's store",
        |to, text| read_address(&mut to.store_address, text),
    ),
    SettingSpec::optional(
        "stop-timeout-s",
        "6",
        "seconds, 0.1 to 3600",
        "Maximum duration of a graceful stop",
        |to, text| read_seconds(&mut to.stop_timeout, text, 0.1..=3_600.0),
    ),
    SettingSpec::optional(
        "drain-s",
        "2",
        "seconds, 0.1 to 600",
        "Time after which a draining server is sent no new requests",
        |to, text| read_seconds(&mut to.drain_time, text, 0.1..=600.0),
    ),
    SettingSpec::optional(
        "evacuate-s",
        "",
        "seconds, 0.5 to 600, or nothing",
        "Time after which an evacuated data centre is sent no new requests, if there are evacuations",
        |to, text| read_optional_seconds(&mut to.evacuate_time, text, 0.5..=600.0),
    ),
    SettingSpec::optional(
        "max-hold-s",
        "10",
        "seconds, 0.5 to 600",
        "Maximum time for which keys may be granted to a server",
        |to, text| read_seconds(&mut to.max_hold, text, 0.5..=600.0),
    ),
    SettingSpec::optional(
        "retry-ratio",
        "0.2",
        "a share, 0 to 1",
        "Retries that each request of a service adds to the retry budget",
        |to, text| read_number(&mut to.retry_ratio, text, 0.0..=1.0),
    ),
    SettingSpec::optional(
        "retry-slack",
        "10",
        "a number of attempts, 0 to 100000",
        "Additional retries allowed per window, over all instances",
        |to, text| read_number(&mut to.retry_slack, text, 0.0..=100_000.0),
    ),
    SettingSpec::optional(
        "retry-window-s",
        "10",
        "seconds, 0.1 to 600",
        "Length of the retry budget's window",
        |to, text| read_seconds(&mut to.retry_window, text, 0.1..=600.0),
    ),
    SettingSpec::optional(
        "warmup-overage",
        "",
        "a factor, 0 to 1000, or nothing",
        "Factor on the request rate of a service's cold servers, in the bound that is kept",
        |to, text| read_optional_number(&mut to.warmup_overage, text, 0.0..=1_000.0),
    ),
    SettingSpec::optional(
        "warmup-slack",
        "",
        "a number of requests, 0 to 100000, or nothing",
        "Additional requests to a cold server in one second; no bound without both settings",
        |to, text| read_optional_number(&mut to.warmup_slack, text, 0.0..=100_000.0),
    ),
    SettingSpec::optional(
        "max-connections",
        "2000",
        "a number of connections, 1 to 100000",
        "Maximum number of open connections from callers",
        |to, text| read_number(&mut to.max_connections, text, 1..=100_000),
    ),
    SettingSpec::optional(
        "max-descriptors",
        "",
        "a number of descriptors, 256 to 10000000, or nothing",
        "Maximum number of descriptors of the process; bounds the connections of all listeners",
        |to, text| read_optional_number(&mut to.max_descriptors, text, 256..=10_000_000),
    ),
    SettingSpec::optional(
        "answer-stall-s",
        "30",
        "seconds, 0.1 to 3600",
        "Time after which a connection is closed whose caller reads nothing of its answer",
        |to, text| read_seconds(&mut to.answer_stall_limit, text, 0.1..=3_600.0),
    ),
    SettingSpec::optional(
        "processor-share",
        "1",
        "a number of cores, 0.01 to 1024",
        "Share of a core that the process may use; instances with the largest share lead the keys",
        |to, text| read_number(&mut to.processor_share, text, 0.01..=1_024.0),
    ),
    SettingSpec::optional(
        "memory-mb",
        "",
        "MiB, 1 to 1048576, or nothing",
        "Memory of the machine, of which requests and answers get three fifths",
        |to, text| to.memory.read_machine(text),
    ),
    SettingSpec::optional(
        "request-memory-mb",
        "",
        "MiB, 1 to 1048576, or nothing",
        "Memory for requests and answers; 1024 if neither this nor memory-mb is given",
        |to, text| to.memory.read_requests(text),
    ),
    SettingSpec::optional(
        "body-stall-s",
        "10",
        "seconds, 0.1 to 3600",
        "Maximum time without progress of a request body, and before its least rate applies",
        |to, text| read_seconds(&mut to.memory.stall_timeout, text, 0.1..=3_600.0),
    ),
    SettingSpec::optional(
        "body-min-rate",
        "1024",
        "bytes per second, 0 to 1000000000",
        "Least mean rate over a whole request body",
        |to, text| read_number(&mut to.memory.min_bytes_per_s, text, 0..=1_000_000_000),
    ),
    SettingSpec::optional(
        "log-level",
        "info",
        "one of off, error, warn, info, debug, trace",
        "Minimum severity that is logged",
        |to, text| text.parse().map(|level| to.log_level = level).is_ok(),
    ),
];
