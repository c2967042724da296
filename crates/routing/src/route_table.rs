//! Routes, services and request limits of one revision of the configuration.

use crate::prelude::*;

/// Routes by host, services by name, and limits of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTable {
    revision: u64,
    hosts: IndexMap<String, Vec<RouteRule>>,
    services: IndexMap<String, ServiceConfig>,
    limits: RequestLimits,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLimits {
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time until a request head has arrived completely.
    pub head_timeout: Duration,
    /// Time after which an idle connection may be closed.
    pub idle_timeout: Duration,
}

impl RouteTable {
    /// Creates the table of a configuration `revision`.
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

    /// Limits of requests.
    pub fn limits(&self) -> RequestLimits {
        self.limits
    }

    /// Services by name.
    pub fn services(&self) -> &IndexMap<String, ServiceConfig> {
        &self.services
    }

    /// Routes by host; those with the longest prefix come first.
    pub fn hosts(&self) -> &IndexMap<String, Vec<RouteRule>> {
        &self.hosts
    }

    /// Number of routes of all hosts.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Finds the route of a host with the longest prefix that matches the path. A port in `host` is
    /// ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        self.hosts
            .get(host)?
            .iter()
            .find(|rule| path.starts_with(&rule.prefix))
    }
}
