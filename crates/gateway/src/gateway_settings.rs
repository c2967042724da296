//! Settings of a gateway instance.

use crate::{
    memory_settings::MemorySettings, prelude::*, setting_readers::UNSPECIFIED,
    setting_specs::SETTINGS,
};
use geraniummast_settings::{SettingError, SettingTable, SettingsOutcome};

/// Settings of a gateway instance, as read from arguments and environment.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of this instance, unique among all instances.
    pub name: String,
    /// Data centre that this instance runs in.
    pub data_centre: String,
    /// Address on which callers are served.
    pub caller_address: SocketAddr,
    /// Address on which the load balancer probes readiness.
    pub readiness_address: SocketAddr,
    /// Address on which metrics and the state dump are served.
    pub operator_address: SocketAddr,
    /// Address to which other instances send heartbeats.
    pub peer_address: SocketAddr,
    /// Address on which other instances fetch the store's objects.
    pub feed_address: SocketAddr,
    /// Address on which requests of other instances are accepted, if any.
    pub relay_address: Option<SocketAddr>,
    /// Feed addresses of instances to ask until the store has answered.
    pub seed_addresses: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Maximum duration of a graceful stop.
    pub stop_timeout: Duration,
    /// Time after which a draining server is sent no new requests.
    pub drain_time: Duration,
    /// Time after which an evacuated data centre is sent no new requests; `None` if there are no
    /// evacuations.
    pub evacuate_time: Option<Duration>,
    /// Maximum time for which keys may be granted to a server.
    pub max_hold: Duration,
    /// Retries that each request of a service adds to the retry budget.
    pub retry_ratio: f64,
    /// Additional retries allowed per window, over all instances.
    pub retry_slack: f64,
    /// Length of the retry budget's window.
    pub retry_window: Duration,
    /// Factor on the requests per second that cold servers should get, in the bound that is kept.
    pub warmup_overage: Option<f64>,
    /// Additional requests to a cold server in one second; without both settings there is no bound.
    pub warmup_slack: Option<f64>,
    /// Maximum number of open connections from callers.
    pub max_connections: usize,
    /// Maximum number of descriptors that the process may have open, if it is limited.
    pub max_descriptors: Option<usize>,
    /// Maximum time for which a caller may read nothing of its answer.
    pub answer_stall_limit: Duration,
    /// Share of a core that the process may use.
    pub processor_share: f64,
    /// Memory for requests and answers, and the time that bodies may take.
    pub(crate) memory: MemorySettings,
    /// Minimum severity that is logged.
    pub log_level: log::LevelFilter,
}

const TABLE: SettingTable<GatewaySettings> = SettingTable {
    usage: "\
geraniummastd gateway: one gateway instance on the users' platform

usage: geraniummastd gateway [--SETTING VALUE]... [--print-settings]",
    specs: SETTINGS,
    initial: GatewaySettings::initial,
    conflicts: GatewaySettings::conflicts,
};

impl GatewaySettings {
    /// Whether seeds are configured and this instance is not one of them.
    pub(crate) fn asks_seeds(&self) -> bool {
        !self.seed_addresses.is_empty() && !self.seed_addresses.contains(&self.feed_address)
    }

    /// Bound on the requests to cold servers, if the settings name one.
    pub(crate) fn warmup_bound(&self) -> Option<WarmupBound> {
        Some(WarmupBound {
            overage: self.warmup_overage?,
            slack: self.warmup_slack?,
        })
    }

    /// Reads the settings from `arguments` and from the environment, which `variable` looks up.
    pub fn read(
        arguments: impl IntoIterator<Item = std::ffi::OsString>,
        variable: impl Fn(&str) -> Option<std::ffi::OsString>,
    ) -> SettingsOutcome<Self> {
        SettingsOutcome::read(&TABLE, arguments, variable)
    }

    fn initial() -> Self {
        Self {
            name: String::new(),
            data_centre: String::new(),
            caller_address: UNSPECIFIED,
            readiness_address: UNSPECIFIED,
            operator_address: UNSPECIFIED,
            peer_address: UNSPECIFIED,
            feed_address: UNSPECIFIED,
            relay_address: None,
            seed_addresses: Vec::new(),
            store_address: UNSPECIFIED,
            stop_timeout: Duration::ZERO,
            drain_time: Duration::ZERO,
            evacuate_time: None,
            max_hold: Duration::ZERO,
            retry_ratio: 0.0,
            retry_slack: 0.0,
            retry_window: Duration::ZERO,
            warmup_overage: None,
            warmup_slack: None,
            max_connections: 0,
            max_descriptors: None,
            answer_stall_limit: Duration::ZERO,
            processor_share: 0.0,
            memory: MemorySettings::default(),
            log_level: log::LevelFilter::Info,
        }
    }

    fn conflicts(&self) -> Vec<SettingError> {
        let addresses = [
            self.caller_address,
            self.readiness_address,
            self.operator_address,
        ];
        let has_duplicate = (0..addresses.len()).any(|index| {
            addresses[..index].contains(&addresses[index]) && addresses[index] != UNSPECIFIED
        });
        let error = || SettingError {
            source: "--caller-address, --readiness-address, --operator-address".into(),
            value: Some("the same address twice".into()),
            expected: "three different addresses".into(),
        };
        let duplicate = has_duplicate.then(error);
        duplicate
            .into_iter()
            .chain(self.memory.conflict())
            .collect()
    }
}
