//! All routes of one revision of the configuration.

use crate::prelude::*;

/// Routes by host, services and bounds of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTable {
    revision: u64,
    hosts: IndexMap<String, Vec<RouteRule>>,
    services: IndexMap<String, ServiceConfig>,
    limits: RequestLimits,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLimits {
    /// Largest head, in bytes.
    pub max_head_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time until a head has arrived.
    pub head_timeout: Duration,
    /// Time after which an idle connection may be closed.
    pub idle_timeout: Duration,
}

impl RouteTable {
    /// Table of `revision`.
    pub fn new(
        revision: u64,
        mut hosts: IndexMap<String, Vec<RouteRule>>,
        services: IndexMap<String, ServiceConfig>,
        limits: RequestLimits,
    ) -> Self {
        for rules in hosts.values_mut() {
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.prefix.len()));
        }
        Self {
            revision,
            hosts,
            services,
            limits,
        }
    }

    /// Revision of the configuration.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Bounds of requests.
    pub fn limits(&self) -> RequestLimits {
        self.limits
    }

    /// Services by name.
    pub fn services(&self) -> &IndexMap<String, ServiceConfig> {
        &self.services
    }

    /// Routes by host, those with the longest prefix first.
    pub fn hosts(&self) -> &IndexMap<String, Vec<RouteRule>> {
        &self.hosts
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Route of the host with the longest prefix of the path; the host's port is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        self.hosts
            .get(host)?
            .iter()
            .find(|rule| path.starts_with(&rule.prefix))
    }
}
