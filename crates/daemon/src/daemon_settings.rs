//! Settings of one instance.

use crate::prelude::*;

/// Everything an instance is told at its start.
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

/// Bounds on what the peers' listener takes.
#[derive(Clone, Copy, Debug)]
pub struct PeerLimits {
    /// Connections open at once.
    pub max_connections: usize,
    /// Largest frame, in bytes.
    pub max_frame_bytes: usize,
    /// Longest time until a peer has proved the secret.
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
    /// Room in a frame besides a request's head and body, in bytes.
    const FRAME_OVERHEAD_BYTES: usize = 4_096;

    /// Builder with defaults for an instance `name`.
    pub fn builder(name: &str) -> SettingsBuilder {
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        SettingsBuilder {
            settings: Self {
                name: name.into(),
                incarnation: 1,
                data_centre: "dc1".into(),
                caller_address: any,
                peer_address: any,
                operator_address: any,
                store_address: any,
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

    /// Faults that only several settings together show.
    pub(crate) fn conflicts(&self) -> Vec<SettingError> {
        let least = self.max_body_bytes + self.limits.max_head_bytes + Self::FRAME_OVERHEAD_BYTES;
        let timing = self.timing.faults().into_iter().map(timing_fault);
        let mut faults: Vec<SettingError> = timing.collect();
        if self.peer_limits.max_frame_bytes < least {
            faults.push(SettingError {
                source: "--max-frame-bytes".into(),
                value: Some(self.peer_limits.max_frame_bytes.to_string()),
                expected: format!(
                    "at least {least} bytes: max-body-bytes, max-head-bytes and {} more",
                    Self::FRAME_OVERHEAD_BYTES
                ),
            });
        }
        faults
    }
}

/// Builds [`DaemonSettings`].
#[derive(Clone, Debug)]
pub struct SettingsBuilder {
    settings: DaemonSettings,
}

impl SettingsBuilder {
    /// Sets the number of this run.
    pub fn incarnation(mut self, incarnation: u64) -> Self {
        self.settings.incarnation = incarnation;
        self
    }

    /// Sets the data centre.
    pub fn data_centre(mut self, data_centre: &str) -> Self {
        self.settings.data_centre = data_centre.into();
        self
    }

    /// Sets the address for callers.
    pub fn caller_address(mut self, address: SocketAddr) -> Self {
        self.settings.caller_address = address;
        self
    }

    /// Sets the address for peers.
    pub fn peer_address(mut self, address: SocketAddr) -> Self {
        self.settings.peer_address = address;
        self
    }

    /// Sets the address for operators.
    pub fn operator_address(mut self, address: SocketAddr) -> Self {
        self.settings.operator_address = address;
        self
    }

    /// Sets the store's address.
    pub fn store_address(mut self, address: SocketAddr) -> Self {
        self.settings.store_address = address;
        self
    }

    /// Sets the peers that a fresh instance asks while the store is down.
    pub fn seed_peers(mut self, peers: &[SocketAddr]) -> Self {
        self.settings.seed_peers = peers.to_vec();
        self
    }

    /// Sets the secret that peers prove to each other.
    pub fn peer_secret(mut self, secret: &str) -> Self {
        self.settings.peer_secret = secret.into();
        self
    }

    /// Sets the token of operators' changes.
    pub fn operator_token(mut self, token: &str) -> Self {
        self.settings.operator_token = token.into();
        self
    }

    /// Sets the number of worker threads.
    pub fn workers(mut self, workers: usize) -> Self {
        self.settings.workers = workers;
        self
    }

    /// Sets the longest time of a graceful stop.
    pub fn stop_timeout(mut self, timeout: Duration) -> Self {
        self.settings.stop_timeout = timeout;
        self
    }

    /// Sets the bounds of the callers' listener.
    pub fn limits(mut self, limits: HttpLimits) -> Self {
        self.settings.limits = limits;
        self
    }

    /// Sets the bounds of the peers' listener.
    pub fn peer_limits(mut self, limits: PeerLimits) -> Self {
        self.settings.peer_limits = limits;
        self
    }

    /// Sets the largest body of a request, in bytes.
    pub fn max_body_bytes(mut self, bytes: usize) -> Self {
        self.settings.max_body_bytes = bytes;
        self
    }

    /// Sets the longest time until a request's body has arrived.
    pub fn body_timeout(mut self, timeout: Duration) -> Self {
        self.settings.body_timeout = timeout;
        self
    }

    /// Sets the silence after which new requests are refused.
    pub fn cut_off_timeout(mut self, timeout: Duration) -> Self {
        self.settings.cut_off_timeout = timeout;
        self
    }

    /// Sets the times of leases and grants.
    pub fn timing(mut self, timing: TimingSettings) -> Self {
        self.settings.timing = timing;
        self
    }

    /// The settings.
    pub fn build(self) -> DaemonSettings {
        self.settings
    }
}

fn timing_fault(fault: TimingFault) -> SettingError {
    SettingError {
        source: format!("--{}", fault.setting),
        value: Some(fault.value),
        expected: fault.expected,
    }
}
