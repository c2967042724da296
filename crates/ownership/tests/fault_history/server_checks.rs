//! What servers do in one step, and the invariants that are checked after it.

use crate::prelude::*;

impl World {
    pub(crate) fn check_write(&self, record: &PartRecord) {
        assert!(record.term >= self.store.term, "terms only grow");
        assert_eq!(record.edition, self.store.edition + 1);
        assert!(
            record.term == self.store.term + 1 || record.leader == self.store.leader,
            "a new leader needs a new term"
        );
    }

    pub(crate) fn run_server(&mut self, server: usize) {
        let state = &mut self.servers[server];
        if !state.alive {
            state.inbox.clear();
            return;
        }
        if self.now < state.frozen_until {
            return;
        }
        let clock = self.server_clock(server);
        for message in std::mem::take(&mut self.servers[server].inbox) {
            let (from, number, accepted) = match message {
                Message::Grant {
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
                    (from, number, self.servers[server].take(order, clock))
                }
                Message::ReadClock { from } => (from, 0, true),
                _ => unreachable!("sent to instances"),
            };
            self.send(
                from,
                Message::GrantReply {
                    server,
                    number,
                    accepted,
                    clock,
                },
            );
        }
    }

    /// No hash has two servers with a standing grant, whether or not they check fences.
    pub(crate) fn check(&mut self) {
        let standing: Vec<(usize, HeldGrant)> = (0..SERVERS)
            .filter_map(|server| {
                let grant = self.servers[server].grant.clone()?;
                (grant.not_after > self.server_clock(server)).then_some((server, grant))
            })
            .collect();
        for (position, (left, grant)) in standing.iter().enumerate() {
            for (right, other) in &standing[position + 1..] {
                let shared = grant
                    .ranges
                    .iter()
                    .find(|range| other.ranges.iter().any(|other| other.overlaps(range)));
                assert!(
                    shared.is_none(),
                    "servers {left} ({}) and {right} ({}) both own {shared:?}",
                    grant.fence,
                    other.fence,
                );
            }
        }
        self.check_holders();
        let covered: usize = standing.iter().map(|(_, grant)| grant.ranges.len()).sum();
        self.served_steps += u64::from(covered >= self.store.slices.len());
    }

    /// At most one instance may change ownership, and none goes back behind what was acted on.
    pub(crate) fn check_holders(&mut self) {
        let full: Vec<(&InstanceId, u64)> = (0..INSTANCES)
            .filter_map(|index| {
                let now = self.clock(index);
                let instance = &self.instances[index];
                let authority = instance.elector.as_ref()?.authority(now)?;
                (!authority.frozen).then_some((&instance.id, authority.record.edition))
            })
            .collect();
        assert!(full.len() <= 1, "two full electors: {full:?}");
        if let Some((id, edition)) = full.first() {
            let acted = self.acted;
            assert!(*edition >= acted, "{id} acts on {edition} after {acted}");
            self.acted = *edition;
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
        self.store.ranges().all(|(range, entry)| {
            granted
                .get(&range.start)
                .is_some_and(|server| Some(&self.servers[*server].name) == entry.owner.as_ref())
        })
    }

    pub(crate) fn end_faults(&mut self) {
        self.faults = false;
        self.store_up = true;
        for instance in &mut self.instances {
            instance.island = 0;
            instance.paused_until = MonoTime(0);
        }
        for server in &mut self.servers {
            server.alive = true;
            server.frozen_until = MonoTime(0);
        }
    }
}
