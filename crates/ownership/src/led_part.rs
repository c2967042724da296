//! A part that this instance leads.

use crate::prelude::*;

/// Record, lease and grants of a part under this instance's lead.
#[derive(Clone, Debug)]
pub struct LedPart {
    /// Record as last committed.
    pub record: PartRecord,
    /// Our reading until which this instance may give orders.
    pub lease_until: MonoTime,
    /// Grants given.
    pub grants: GrantTable,
}

impl LedPart {
    /// A part led from `record` on, without a lease yet.
    pub fn new(record: PartRecord) -> Self {
        Self {
            record,
            lease_until: MonoTime::default(),
            grants: GrantTable::default(),
        }
    }

    /// Where a request for `hash` goes.
    pub fn route(&self, hash: KeyHash, now: MonoTime) -> RouteDecision {
        let Some(entry) = self.record.slice_of(hash) else {
            return RouteDecision::Unowned;
        };
        let Some(owner) = &entry.owner else {
            return RouteDecision::Unowned;
        };
        match self.grants.stands_until(owner, self.record.edition) {
            Some(until) if until.min(self.lease_until) > now => RouteDecision::Send {
                server: owner.clone(),
                fence: self.record.fence(),
                not_after: until.min(self.lease_until),
            },
            _ => RouteDecision::Wait,
        }
    }

    /// Where a request goes that any of `servers` may answer: to the one with the least running.
    pub fn route_any<'a>(
        &self,
        servers: impl IntoIterator<Item = &'a ServerName>,
        running: impl Fn(&ServerName) -> u32,
        now: MonoTime,
    ) -> RouteDecision {
        let granted = |server: &&ServerName| {
            self.grants
                .stands_until(server, self.record.edition)
                .is_some_and(|until| until > now)
        };
        let Some(server) = servers
            .into_iter()
            .filter(granted)
            .min_by_key(|name| running(name))
        else {
            return RouteDecision::Wait;
        };
        let until = self.grants.stands_until(server, self.record.edition);
        RouteDecision::Send {
            server: server.clone(),
            fence: self.record.fence(),
            not_after: until.unwrap_or_default().min(self.lease_until),
        }
    }
}
