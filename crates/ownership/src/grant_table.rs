//! The grants that one part's leader has given, per server.

use crate::prelude::*;

/// Grants of one part.
#[derive(Clone, Debug, Default)]
pub struct GrantTable {
    grants: IndexMap<ServerName, ServerGrant>,
}

#[derive(Clone, Debug, Default)]
struct ServerGrant {
    clock: Option<ServerClock>,
    /// Our reading until which an acknowledged grant stands, and its edition.
    acknowledged: Option<(MonoTime, u64)>,
    /// Our reading after which no grant sent can still stand.
    lapsed_after: MonoTime,
    heard: Option<MonoTime>,
}

impl GrantTable {
    /// Order to send to `server` now, none while its clock is unknown.
    pub fn order(
        &mut self,
        record: &PartRecord,
        server: &ServerName,
        deadline: MonoTime,
        timing: &TimingPlan,
    ) -> Option<GrantOrder> {
        let grant = self.grants.entry(server.clone()).or_default();
        let clock = grant.clock?;
        grant.lapsed_after = grant.lapsed_after.max(deadline);
        Some(GrantOrder {
            part: record.id.clone(),
            fence: record.fence(),
            ranges: record.ranges_of(server),
            not_after: clock.no_later_than(deadline, timing),
        })
    }

    /// Notes an answer of `server` that carried a reading of its clock.
    pub fn heard(&mut self, server: &ServerName, clock: ServerClock, now: MonoTime) {
        let grant = self.grants.entry(server.clone()).or_default();
        grant.clock = Some(clock);
        grant.heard = Some(now);
    }

    /// Notes that `server` accepted the grant of `edition` that stands until `deadline`.
    pub fn acknowledged(&mut self, server: &ServerName, deadline: MonoTime, edition: u64) {
        let grant = self.grants.entry(server.clone()).or_default();
        grant.acknowledged = grant.acknowledged.max(Some((deadline, edition)));
    }

    /// Our reading until which `server` may be sent requests under `edition`.
    pub fn stands_until(&self, server: &ServerName, edition: u64) -> Option<MonoTime> {
        let (deadline, granted) = self.grants.get(server)?.acknowledged?;
        (granted == edition).then_some(deadline)
    }

    /// When `server` last answered.
    pub fn last_heard(&self, server: &ServerName) -> Option<MonoTime> {
        self.grants.get(server)?.heard
    }

    /// Our reading after which no grant sent to `server` can still stand.
    pub fn lapsed_after(&self, server: &ServerName) -> MonoTime {
        self.grants
            .get(server)
            .map_or(MonoTime::default(), |grant| grant.lapsed_after)
    }
}
