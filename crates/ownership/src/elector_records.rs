//! The record that a leader, a candidate without a majority or an outside instance writes next.

use crate::{leader_elector::ElectionRole, prelude::*};

impl LeaderElector {
    /// Record to write at `now`, if any.
    ///
    /// A leader changes the members, or replaces a record that names another leader in the same
    /// term. A candidate that has found no majority for some time names itself the leader, and so
    /// does the preferred instance when all members have ended.
    pub(crate) fn next_record(&self, now: MonoTime, fleet: &FleetView) -> Option<PartRecord> {
        let record = &self.record;
        match &self.role {
            ElectionRole::Leader { authority }
                if authority.valid_until > now && !authority.frozen =>
            {
                if authority.record.edition == record.edition {
                    return self.next_members(fleet);
                }
                let overtaken =
                    record.leader != self.own_id && record.term == authority.record.term;
                overtaken.then(|| {
                    RecordBuilder::after_unactivated(record)
                        .superseding(&authority.record)
                        .leader(&self.own_id)
                        .standbys(fleet.choose_standbys(
                            &record.id,
                            &self.own_id,
                            &record.members(),
                        ))
                        .build()
                })
            }
            ElectionRole::Candidate { since }
                if now.since(*since) > Self::TAKEOVER_TIMEOUT + self.campaign_delay() =>
            {
                Some(self.takeover_record(fleet))
            }
            ElectionRole::Follower
                if !self.leaving
                    && record
                        .members()
                        .iter()
                        .all(|member| fleet.has_ended(member))
                    && fleet.preferred_leader(&record.id) == Some(&self.own_id) =>
            {
                Some(self.takeover_record(fleet))
            }
            _ => None,
        }
    }

    /// Record that makes this instance the leader, with standbys chosen from the live instances.
    fn takeover_record(&self, fleet: &FleetView) -> PartRecord {
        let builder = match self.activated_edition >= self.record.edition {
            true => RecordBuilder::after_activated(&self.record),
            false => RecordBuilder::after_unactivated(&self.record),
        };
        builder
            .leader(&self.own_id)
            .standbys(fleet.choose_standbys(&self.record.id, &self.own_id, &self.record.members()))
            .build()
    }

    /// Record that hands the part over, confirms this instance as the leader or replaces standbys.
    fn next_members(&self, fleet: &FleetView) -> Option<PartRecord> {
        let record = &self.record;
        let builder = RecordBuilder::after_activated(record);
        let live_members: Vec<InstanceId> = record
            .members()
            .into_iter()
            .filter(|member| fleet.is_live(member))
            .collect();
        let preferred = fleet.preferred_leader(&record.id);
        let may_hand_over = self.leaving || (fleet.may_hand_over && record.leader == self.own_id);
        if let Some(successor) = preferred.filter(|id| **id != self.own_id && may_hand_over) {
            let standbys = fleet.choose_standbys(&record.id, successor, &live_members);
            return Some(builder.leader(successor).standbys(standbys).build());
        }
        let standbys = fleet.choose_standbys(&record.id, &self.own_id, &live_members);
        if record.leader != self.own_id {
            return Some(builder.leader(&self.own_id).standbys(standbys).build());
        }
        let standby_lost = record
            .standbys
            .iter()
            .any(|standby| !live_members.contains(standby));
        let replacement_found = standbys.len() >= record.standbys.len() && standby_lost;
        (replacement_found || standbys.len() > record.standbys.len())
            .then(|| builder.standbys(standbys).build())
    }
}
