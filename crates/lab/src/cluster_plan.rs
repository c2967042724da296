//! What a bench starts.

use crate::prelude::*;

/// What a bench starts.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// Number of instances.
    pub instances: usize,
    /// Number of servers of the service `reports`, when no services are listed.
    pub servers: usize,
    /// Behaviour of the servers of `reports`.
    pub behaviour: ServerBehaviour,
    /// Services; empty for `reports` alone.
    pub services: Vec<BenchService>,
    /// Whether instances dial through links that can be cut.
    pub links: bool,
    /// Longest time of an instance's graceful stop.
    pub stop_timeout: Duration,
    /// Worker threads of each instance.
    pub workers: usize,
    /// Addresses of the store and of the instances' callers and operators, none for free ports.
    pub first_port: Option<u16>,
}

impl Default for ClusterPlan {
    fn default() -> Self {
        Self {
            instances: 2,
            servers: 3,
            behaviour: ServerBehaviour::default(),
            services: Vec::new(),
            links: false,
            stop_timeout: Duration::from_secs(30),
            workers: 2,
            first_port: None,
        }
    }
}
