//! Settings of one instance.

use crate::prelude::*;

/// Settings of one instance, read when it starts.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    pub(crate) name: String,
    pub(crate) incarnation: u64,
    pub(crate) data_centre: String,
    pub(crate) caller_address: SocketAddr,
    pub(crate) peer_address: SocketAddr,
    pub(crate) operator_address: SocketAddr,
    pub(crate) store_address: SocketAddr,
    pub(crate) seed_peers: Vec<SocketAddr>,
    pub(crate) peer_secret: String,
    pub(crate) operator_token: String,
    pub(crate) workers: usize,
    pub(crate) limits: HttpLimits,
    pub(crate) peer_limits: PeerLimits,
    pub(crate) max_body_bytes: usize,
    pub(crate) body_timeout: Duration,
    pub(crate) stop_timeout: Duration,
    pub(crate) cut_off_timeout: Duration,
    pub(crate) timing: TimingSettings,
    pub(crate) log_level: log::LevelFilter,
    pub(crate) log_json: bool,
}

/// Limits of the listener for other instances.
#[derive(Clone, Copy, Debug)]
pub struct PeerLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum size of a frame, in bytes.
    pub max_frame_bytes: usize,
    /// Time within which a new peer must prove that it knows the secret.
    pub proof_timeout: Duration,
}

impl Default for PeerLimits {
    fn default() -> Self {
        Self {
            max_connections: 1_024,
            max_frame_bytes: 8 << 20,
            proof_timeout: Duration::from_secs(1),
        }
    }
}

impl DaemonSettings {
    /// Bytes of a frame in addition to the head and body of the request that it carries.
    const FRAME_OVERHEAD_BYTES: usize = 4_096;

    /// Returns a builder with the default settings of an instance called `name`.
    pub fn builder(name: &str) -> SettingsBuilder {
        let loopback: SocketAddr = ([127, 0, 0, 1], 0).into();
        SettingsBuilder {
            settings: Self {
                name: name.into(),
                incarnation: 1,
                data_centre: "dc1".into(),
                caller_address: loopback,
                peer_address: loopback,
                operator_address: loopback,
                store_address: loopback,
                seed_peers: Vec::new(),
                peer_secret: String::new(),
                operator_token: String::new(),
                workers: 2,
                limits: HttpLimits::default(),
                peer_limits: PeerLimits::default(),
                max_body_bytes: 4 << 20,
                body_timeout: Duration::from_secs(10),
                stop_timeout: Duration::from_secs(30),
                cut_off_timeout: Duration::from_secs(3),
                timing: TimingSettings::default(),
                log_level: log::LevelFilter::Info,
                log_json: false,
            },
        }
    }

    /// Returns an error for each setting that contradicts another one.
    pub(crate) fn conflicts(&self) -> Vec<SettingError> {
        let min_frame_bytes =
            self.max_body_bytes + self.limits.max_head_bytes + Self::FRAME_OVERHEAD_BYTES;
        let timing = self.timing.faults().into_iter().map(timing_error);
        let mut errors: Vec<SettingError> = timing.collect();
        if self.peer_limits.max_frame_bytes < min_frame_bytes {
            errors.push(SettingError {
                source: "--max-frame-bytes".into(),
                value: Some(self.peer_limits.max_frame_bytes.to_string()),
                expected: format!(
                    "at least {min_frame_bytes} bytes: max-body-bytes plus max-head-bytes plus {}",
                    Self::FRAME_OVERHEAD_BYTES
                ),
            });
        }
        errors
    }
}

/// Builds [`DaemonSettings`].
#[derive(Clone, Debug)]
pub struct SettingsBuilder {
    settings: DaemonSettings,
}

impl SettingsBuilder {
    /// Sets the incarnation of the instance, a number that grows with each of its starts.
    pub fn incarnation(mut self, incarnation: u64) -> Self {
        self.settings.incarnation = incarnation;
        self
    }

    /// Sets the data centre that the instance runs in.
    pub fn data_centre(mut self, data_centre: &str) -> Self {
        self.settings.data_centre = data_centre.into();
        self
    }

    /// Sets the address on which callers are served.
    pub fn caller_address(mut self, address: SocketAddr) -> Self {
        self.settings.caller_address = address;
        self
    }

    /// Sets the address on which other instances are served.
    pub fn peer_address(mut self, address: SocketAddr) -> Self {
        self.settings.peer_address = address;
        self
    }

    /// Sets the address on which operators are served.
    pub fn operator_address(mut self, address: SocketAddr) -> Self {
        self.settings.operator_address = address;
        self
    }

    /// Sets the address of the platform's object store.
    pub fn store_address(mut self, address: SocketAddr) -> Self {
        self.settings.store_address = address;
        self
    }

    /// Sets the peers from which a new instance gets the configuration while the store is
    /// unavailable.
    pub fn seed_peers(mut self, peers: &[SocketAddr]) -> Self {
        self.settings.seed_peers = peers.to_vec();
        self
    }

    /// Sets the shared secret by which instances authenticate to each other.
    pub fn peer_secret(mut self, secret: &str) -> Self {
        self.settings.peer_secret = secret.into();
        self
    }

    /// Sets the bearer token that operators' changes require.
    pub fn operator_token(mut self, token: &str) -> Self {
        self.settings.operator_token = token.into();
        self
    }

    /// Sets the number of worker threads.
    pub fn workers(mut self, workers: usize) -> Self {
        self.settings.workers = workers;
        self
    }

    /// Sets the time limit of a graceful stop.
    pub fn stop_timeout(mut self, timeout: Duration) -> Self {
        self.settings.stop_timeout = timeout;
        self
    }

    /// Sets the limits of the listeners for callers and for operators.
    pub fn limits(mut self, limits: HttpLimits) -> Self {
        self.settings.limits = limits;
        self
    }

    /// Sets the limits of the listener for other instances.
    pub fn peer_limits(mut self, limits: PeerLimits) -> Self {
        self.settings.peer_limits = limits;
        self
    }

    /// Sets the maximum size of a request's body, in bytes.
    pub fn max_body_bytes(mut self, bytes: usize) -> Self {
        self.settings.max_body_bytes = bytes;
        self
    }

    /// Sets the time within which a request's body must arrive.
    pub fn body_timeout(mut self, timeout: Duration) -> Self {
        self.settings.body_timeout = timeout;
        self
    }

    /// Sets the time without an answer of the store or a peer after which new requests are refused.
    pub fn cut_off_timeout(mut self, timeout: Duration) -> Self {
        self.settings.cut_off_timeout = timeout;
        self
    }

    /// Sets the timing of leases and grants.
    pub fn timing(mut self, timing: TimingSettings) -> Self {
        self.settings.timing = timing;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> DaemonSettings {
        self.settings
    }
}

fn timing_error(error: TimingFault) -> SettingError {
    SettingError {
        source: format!("--{}", error.setting),
        value: Some(error.value),
        expected: error.expected,
    }
}
