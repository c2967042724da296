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
    pub(crate) peer_secret: String,
    pub(crate) operator_token: String,
    pub(crate) workers: usize,
    pub(crate) limits: HttpLimits,
    pub(crate) timing: TimingPlan,
}

impl DaemonSettings {
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
                peer_secret: String::new(),
                operator_token: String::new(),
                workers: 2,
                limits: HttpLimits::default(),
                timing: TimingPlan::default(),
            },
        }
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

    /// Sets the bounds of the callers' listener.
    pub fn limits(mut self, limits: HttpLimits) -> Self {
        self.settings.limits = limits;
        self
    }

    /// Sets the times of leases and grants.
    pub fn timing(mut self, timing: TimingPlan) -> Self {
        self.settings.timing = timing;
        self
    }

    /// The settings.
    pub fn build(self) -> DaemonSettings {
        self.settings
    }
}
