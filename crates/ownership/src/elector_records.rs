//! Which record a elector, a surviving standby or a bystander writes next.

use crate::{leader_elector::ElectionRole, prelude::*};

impl LeaderElector {
    /// Record to write now, if any.
    pub(crate) fn next_record(&self, now: MonoTime, fleet: &FleetView) -> Option<PartRecord> {
        let record = &self.record;
        match &self.role {
            ElectionRole::Leader { authority } if authority.until > now && !authority.frozen => {
                if authority.record.edition == record.edition {
                    return self.next_trio(fleet);
                }
                let overtaken = record.leader != self.me && record.term == authority.record.term;
                overtaken.then(|| {
                    RecordPlan::after_unactivated(record)
                        .differing_from(&authority.record)
                        .led_by(&self.me)
                        .standbys(fleet.choose_standbys(&record.id, &self.me, &record.members()))
                        .record()
                })
            }
            ElectionRole::Candidate { since }
                if now.since(*since) > Self::SLOW_PATH + self.stagger() =>
            {
                Some(self.slow_record(fleet))
            }
            ElectionRole::Follower
                if !self.leaving
                    && record
                        .members()
                        .iter()
                        .all(|member| fleet.has_ended(member))
                    && fleet.preferred_leader(&record.id) == Some(&self.me) =>
            {
                Some(self.slow_record(fleet))
            }
            _ => None,
        }
    }

    fn slow_record(&self, fleet: &FleetView) -> PartRecord {
        let plan = match self.activated_edition >= self.record.edition {
            true => RecordPlan::after(&self.record),
            false => RecordPlan::after_unactivated(&self.record),
        };
        plan.led_by(&self.me)
            .standbys(fleet.choose_standbys(&self.record.id, &self.me, &self.record.members()))
            .record()
    }

    fn next_trio(&self, fleet: &FleetView) -> Option<PartRecord> {
        let record = &self.record;
        let plan = RecordPlan::after(record);
        let kept: Vec<InstanceId> = record
            .members()
            .into_iter()
            .filter(|member| fleet.is_live(member))
            .collect();
        let preferred = fleet.preferred_leader(&record.id);
        let due = self.leaving || (fleet.may_hand_over && record.leader == self.me);
        if let Some(successor) = preferred.filter(|id| **id != self.me && due) {
            let standbys = fleet.choose_standbys(&record.id, successor, &kept);
            return Some(plan.led_by(successor).standbys(standbys).record());
        }
        let standbys = fleet.choose_standbys(&record.id, &self.me, &kept);
        if record.leader != self.me {
            return Some(plan.led_by(&self.me).standbys(standbys).record());
        }
        let lost = record
            .standbys
            .iter()
            .any(|standby| !kept.contains(standby));
        let better = standbys.len() >= record.standbys.len() && lost;
        (better || standbys.len() > record.standbys.len()).then(|| plan.standbys(standbys).record())
    }
}
