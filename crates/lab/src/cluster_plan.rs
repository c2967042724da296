//! Sizes and options of a test cluster.

use crate::prelude::*;

/// Number and behaviour of the instances and servers that a test cluster starts.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// Number of instances.
    pub instances: usize,
    /// Number of servers of the default service `reports`; used only if `services` is empty.
    pub servers: usize,
    /// Behaviour of the servers of the default service `reports`.
    pub behaviour: ServerBehaviour,
    /// Services of the cluster; if empty, it has the exclusive service `reports` only.
    pub services: Vec<ClusterService>,
    /// Whether instances connect through proxies that can be cut.
    pub links: bool,
    /// Time limit of an instance's graceful stop.
    pub stop_timeout: Duration,
    /// Worker threads of each instance.
    pub workers: usize,
    /// Port of the store, from which the ports of the instances are derived; `None` for free ports.
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
