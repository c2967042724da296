//! Settings of an entry instance on the platform.

use crate::prelude::*;
use geraniummast_settings::{
    SettingFault, SettingRequest, SettingSpec, SettingTable, address, addresses, name, number,
};

/// Settings as read.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of this instance, unique among all.
    pub name: String,
    /// Data centre that it runs in.
    pub data_centre: String,
    /// Where callers are served.
    pub caller_address: SocketAddr,
    /// Where the balancer asks for readiness.
    pub readiness_address: SocketAddr,
    /// Where metrics and the state dump are served.
    pub operator_address: SocketAddr,
    /// Where other instances send heartbeats.
    pub peer_address: SocketAddr,
    /// Where the store's objects are handed on to other instances.
    pub feed_address: SocketAddr,
    /// Feed addresses of instances that are asked while the store has told nothing.
    pub seed_addresses: Vec<SocketAddr>,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// Time that a graceful stop may take.
    pub stop_timeout: Duration,
    /// Time after which a leaving server gets nothing new.
    pub drain_time: Duration,
    /// Longest time for which keys may be granted.
    pub max_hold: Duration,
    /// Second attempts that each request allows.
    pub retry_ratio: f64,
    /// Second attempts allowed beyond that, of all instances in one window.
    pub retry_slack: f64,
    /// Window of the retry budget.
    pub retry_window: Duration,
    /// Connections open at once from callers.
    pub max_connections: usize,
    /// Share of a core that the process may use.
    pub processor_share: f64,
    /// Least severe level that is logged.
    pub log_level: log::LevelFilter,
}

const UNSPECIFIED: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

const ADDRESS: &str = "IP:PORT, no wildcard address";
const NAME: &str = "a name of 1 to 64 letters, digits, '-', '_', '.'";

const TABLE: SettingTable<GatewaySettings> = SettingTable {
    usage: "\
geraniummastd gateway: one entry instance on the users' platform

usage: geraniummastd gateway [--SETTING VALUE]... [--print-settings]",
    specs: SETTINGS,
    blank: GatewaySettings::blank,
    conflicts: GatewaySettings::conflicts,
};

const SETTINGS: &[SettingSpec<GatewaySettings>] = &[
    SettingSpec::required(
        "name",
        NAME,
        "Name of this instance, unique among all",
        |to, text| name(&mut to.name, text),
    ),
    SettingSpec::required(
        "data-centre",
        NAME,
        "Data centre that this instance runs in",
        |to, text| name(&mut to.data_centre, text),
    ),
    SettingSpec::required(
        "caller-address",
        ADDRESS,
        "Address on which callers are served",
        |to, text| address(&mut to.caller_address, text),
    ),
    SettingSpec::required(
        "readiness-address",
        ADDRESS,
        "Address on which the balancer asks for readiness",
        |to, text| address(&mut to.readiness_address, text),
    ),
    SettingSpec::required(
        "operator-address",
        ADDRESS,
        "Address for metrics and the state dump",
        |to, text| address(&mut to.operator_address, text),
    ),
    SettingSpec::required(
        "peer-address",
        ADDRESS,
        "Address on which heartbeats of other instances arrive, as they send to it",
        |to, text| address(&mut to.peer_address, text),
    ),
    SettingSpec::required(
        "feed-address",
        ADDRESS,
        "Address on which the store's objects are handed on to other instances",
        |to, text| address(&mut to.feed_address, text),
    ),
    SettingSpec::optional(
        "seed-addresses",
        "",
        "IP:PORT,IP:PORT,... or nothing",
        "Feed addresses of instances that are asked while the store has told nothing",
        |to, text| addresses(&mut to.seed_addresses, text),
    ),
    SettingSpec::required(
        "store-address",
        ADDRESS,
        "Address of the platform's store",
        |to, text| address(&mut to.store_address, text),
    ),
    SettingSpec::optional(
        "stop-timeout-s",
        "6",
        "seconds, 0.1 to 3600",
        "Longest time that a graceful stop takes",
        |to, text| seconds(&mut to.stop_timeout, text, 0.1..=3_600.0),
    ),
    SettingSpec::optional(
        "drain-s",
        "2",
        "seconds, 0.1 to 600",
        "Time after which a leaving server gets nothing new",
        |to, text| seconds(&mut to.drain_time, text, 0.1..=600.0),
    ),
    SettingSpec::optional(
        "max-hold-s",
        "10",
        "seconds, 0.5 to 600",
        "Longest time for which keys may be granted to a server",
        |to, text| seconds(&mut to.max_hold, text, 0.5..=600.0),
    ),
    SettingSpec::optional(
        "retry-ratio",
        "0.2",
        "a share, 0 to 1",
        "Second attempts that each request of a service allows",
        |to, text| number(&mut to.retry_ratio, text, 0.0..=1.0),
    ),
    SettingSpec::optional(
        "retry-slack",
        "10",
        "a number of attempts, 0 to 100000",
        "Second attempts allowed beyond that, of all instances in one window",
        |to, text| number(&mut to.retry_slack, text, 0.0..=100_000.0),
    ),
    SettingSpec::optional(
        "retry-window-s",
        "10",
        "seconds, 0.1 to 600",
        "Window of the retry budget",
        |to, text| seconds(&mut to.retry_window, text, 0.1..=600.0),
    ),
    SettingSpec::optional(
        "max-connections",
        "2000",
        "a number of connections, 1 to 100000",
        "Connections open at once from callers",
        |to, text| number(&mut to.max_connections, text, 1..=100_000),
    ),
    SettingSpec::optional(
        "processor-share",
        "1",
        "a number of cores, 0.01 to 1024",
        "Share of a core that the process may use; the instances with most lead the keys",
        |to, text| number(&mut to.processor_share, text, 0.01..=1_024.0),
    ),
    SettingSpec::optional(
        "log-level",
        "info",
        "one of off, error, warn, info, debug, trace",
        "Least severe level that is logged",
        |to, text| text.parse().map(|level| to.log_level = level).is_ok(),
    ),
];

impl GatewaySettings {
    /// Part of a stop's time that is left for closing sockets.
    const STOP_MARGIN: Duration = Duration::from_millis(400);
    /// Share of a stop's time in which all requests are taken (rule on shutdown: what is sent in
    /// the first half may still be at work in the last sixth).
    const CLOSE_SHARE: f64 = 0.48;

    /// Whether there are seeds and this instance is none of them.
    pub(crate) fn asks_seeds(&self) -> bool {
        !self.seed_addresses.is_empty() && !self.seed_addresses.contains(&self.feed_address)
    }

    /// Spans of a graceful stop.
    pub(crate) fn stop_plan(&self) -> StopPlan {
        /// Least time for which what still comes is taken: the balancer asks each second and needs
        /// two misses.
        const LEAST_TIME: Duration = Duration::from_millis(3_200);
        /// Share of a stop's time before which a server at work is waited for (rule on shutdown:
        /// until the last sixth).
        const WAIT_SHARE: f64 = 5.0 / 6.0;
        let limit = self.stop_timeout.saturating_sub(Self::STOP_MARGIN);
        let last = limit.saturating_sub(LAST_ANSWER_TIME);
        StopPlan {
            min_duration: LEAST_TIME.min(limit),
            close_idle_at: self.stop_timeout.mul_f64(Self::CLOSE_SHARE),
            answer_waiting_at: last.max(self.stop_timeout.mul_f64(WAIT_SHARE)).min(limit),
            limit,
            answer_delivery_time: LAST_ANSWER_TIME.min(self.stop_timeout / 4),
        }
    }

    /// Reads `arguments`, with `variable` as the environment.
    pub fn read(
        arguments: impl IntoIterator<Item = std::ffi::OsString>,
        variable: impl Fn(&str) -> Option<std::ffi::OsString>,
    ) -> SettingRequest<Self> {
        SettingRequest::read(&TABLE, arguments, variable)
    }

    fn blank() -> Self {
        Self {
            name: String::new(),
            data_centre: String::new(),
            caller_address: UNSPECIFIED,
            readiness_address: UNSPECIFIED,
            operator_address: UNSPECIFIED,
            peer_address: UNSPECIFIED,
            feed_address: UNSPECIFIED,
            seed_addresses: Vec::new(),
            store_address: UNSPECIFIED,
            stop_timeout: Duration::ZERO,
            drain_time: Duration::ZERO,
            max_hold: Duration::ZERO,
            retry_ratio: 0.0,
            retry_slack: 0.0,
            retry_window: Duration::ZERO,
            max_connections: 0,
            processor_share: 0.0,
            log_level: log::LevelFilter::Info,
        }
    }

    fn conflicts(&self) -> Vec<SettingFault> {
        let addresses = [
            self.caller_address,
            self.readiness_address,
            self.operator_address,
        ];
        let is_double = (0..addresses.len())
            .any(|one| addresses[..one].contains(&addresses[one]) && addresses[one] != UNSPECIFIED);
        let fault = || SettingFault {
            place: "--caller-address, --readiness-address, --operator-address".into(),
            value: Some("the same address twice".into()),
            expected: "three addresses".into(),
        };
        is_double.then(fault).into_iter().collect()
    }
}

/// Reads seconds with fractions within bounds into `target`.
fn seconds(target: &mut Duration, text: &str, bounds: std::ops::RangeInclusive<f64>) -> bool {
    let mut value = 0.0;
    let accepted = number(&mut value, text, bounds);
    if accepted {
        *target = Duration::from_secs_f64(value);
    }
    accepted
}
