//! The actions of servers in one step of the simulation, and the invariants checked after it.

use crate::prelude::*;

impl FleetSimulation {
    pub(crate) fn check_write(&self, record: &PartRecord) {
        assert!(
            record.term >= self.stored_record.term,
            "the term must not decrease"
        );
        assert_eq!(record.edition, self.stored_record.edition + 1);
        assert!(
            record.term == self.stored_record.term + 1
                || record.leader == self.stored_record.leader,
            "a new leader needs a new term"
        );
    }

    pub(crate) fn run_server(&mut self, server: usize) {
        let state = &mut self.servers[server];
        if !state.alive {
            state.inbox.clear();
            return;
        }
        if self.now < state.paused_until {
            return;
        }
        let clock = self.server_clock(server);
        for message in std::mem::take(&mut self.servers[server].inbox) {
            let (from, number, accepted) = match message {
                FleetMessage::Grant {
                    from,
                    number,
                    fence,
                    ranges,
                    not_after,
                } => {
                    let order = HeldGrant {
                        fence,
                        ranges,
                        not_after,
                    };
                    (from, number, self.servers[server].accept(order, clock))
                }
                FleetMessage::ReadClock { from } => (from, 0, true),
                _ => unreachable!("message for an instance"),
            };
            self.send(
                from,
                FleetMessage::GrantReply {
                    server,
                    number,
                    accepted,
                    clock,
                },
            );
        }
    }

    /// Checks that no two servers have a valid grant for the same hash, even without checking
    /// fences.
    pub(crate) fn check_invariants(&mut self) {
        let valid_grants: Vec<(usize, HeldGrant)> = (0..SERVERS)
            .filter_map(|server| {
                let grant = self.servers[server].grant.clone()?;
                (grant.not_after > self.server_clock(server)).then_some((server, grant))
            })
            .collect();
        for (position, (left, grant)) in valid_grants.iter().enumerate() {
            for (right, other) in &valid_grants[position + 1..] {
                let overlap = grant
                    .ranges
                    .iter()
                    .find(|range| other.ranges.iter().any(|other| other.overlaps(range)));
                assert!(
                    overlap.is_none(),
                    "servers {left} ({}) and {right} ({}) both own {overlap:?}",
                    grant.fence,
                    other.fence,
                );
            }
        }
        self.check_leaders();
        let granted_ranges: usize = valid_grants
            .iter()
            .map(|(_, grant)| grant.ranges.len())
            .sum();
        self.served_steps += u64::from(granted_ranges >= self.stored_record.slices.len());
    }

    /// Checks that at most one instance may change ownership, and that it acts on an edition no
    /// older than the latest one acted on before.
    pub(crate) fn check_leaders(&mut self) {
        let full_leaders: Vec<(&InstanceId, u64)> = (0..INSTANCES)
            .filter_map(|index| {
                let now = self.instance_clock(index);
                let instance = &self.instances[index];
                let authority = instance.elector.as_ref()?.authority(now)?;
                (!authority.frozen).then_some((&instance.id, authority.record.edition))
            })
            .collect();
        assert!(
            full_leaders.len() <= 1,
            "two leaders may change ownership: {full_leaders:?}"
        );
        if let Some((id, edition)) = full_leaders.first() {
            let latest_activated = self.latest_activated;
            assert!(
                *edition >= latest_activated,
                "{id} acts on {edition} after {latest_activated}"
            );
            self.latest_activated = *edition;
        }
    }

    pub(crate) fn all_served(&self) -> bool {
        let granted: IndexMap<u64, usize> = (0..SERVERS)
            .filter_map(|server| {
                let grant = self.servers[server].grant.as_ref()?;
                (grant.not_after > self.server_clock(server)).then_some((server, grant))
            })
            .flat_map(|(server, grant)| grant.ranges.iter().map(move |range| (range.start, server)))
            .collect();
        self.stored_record.ranges().all(|(range, entry)| {
            granted
                .get(&range.start)
                .is_some_and(|server| Some(&self.servers[*server].name) == entry.owner.as_ref())
        })
    }

    pub(crate) fn end_faults(&mut self) {
        self.faults_enabled = false;
        self.store_available = true;
        for instance in &mut self.instances {
            instance.partition = 0;
            instance.paused_until = MonoTime(0);
        }
        for server in &mut self.servers {
            server.alive = true;
            server.paused_until = MonoTime(0);
        }
    }
}
