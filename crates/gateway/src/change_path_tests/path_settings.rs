//! Size, duration and faults of one simulated run.

use super::world_fault::{FaultTarget, WorldFault};
use crate::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Parameters of a run.
#[derive(Clone, Debug)]
pub(super) struct PathSettings {
    pub(super) seed: u64,
    pub(super) instances: usize,
    pub(super) duration: Duration,
    /// Number of faults, spread over the run without its last `ChangeWorld::CALM_END`.
    pub(super) faults: usize,
    /// Number of changes of servers or the configuration.
    pub(super) changes: usize,
    /// Faults that are not drawn, with the time after the start of the run.
    pub(super) script: Vec<(Duration, WorldFault)>,
    /// Shortest time that a heartbeat takes.
    pub(super) heartbeat_transit: Duration,
    /// Routes of the configuration.
    pub(super) routes: usize,
    /// Rate of the link of each instance, in bytes per second; without one, only the number of messages
    /// matters.
    pub(super) link_rate: Option<u64>,
    pub(super) guards: PathGuards,
    /// Whether every other instance is of a build that knows of no eras.
    pub(super) has_former_builds: bool,
}

/// Parts of the product that a run can leave out, so that the checker has to miss them.
#[derive(Clone, Copy, Debug)]
pub(super) struct PathGuards {
    /// Whether knowledge has an age, so that instances ask.
    pub(super) ageing: bool,
    /// Whether heartbeats tell when they were sent, so that those that were held up or overtaken are
    /// known.
    pub(super) peer_clock: bool,
    /// Whether reports pass at most `KnowledgeAge::MAX_HOPS` instances.
    pub(super) hops: bool,
    /// Whether the store's revision only counts if all changes up to it are known.
    pub(super) coverage: bool,
    /// Whether the era is a part of each revision. Without it, only a list that goes back shows that
    /// the store was restored.
    pub(super) eras: bool,
    /// Whether no watch goes on across eras.
    pub(super) watch_eras: bool,
    /// Whether instances tell each other the eras of revisions. Without that, those that are told are
    /// taken to be of the receiver's era.
    pub(super) feed_eras: bool,
    /// Whether revisions of an earlier era say nothing about which changes are known.
    pub(super) coverage_eras: bool,
}

impl PathGuards {
    pub(super) const ALL: Self = Self {
        ageing: true,
        peer_clock: true,
        hops: true,
        coverage: true,
        eras: true,
        watch_eras: true,
        feed_eras: true,
        coverage_eras: true,
    };

    /// Whether all parts that take revisions for those of an era are in place.
    pub(super) fn has_eras(self) -> bool {
        self.eras && self.watch_eras && self.feed_eras && self.coverage_eras
    }
}

impl PathSettings {
    /// A run without faults.
    pub(super) fn calm(seed: u64, instances: usize) -> Self {
        Self {
            seed,
            instances,
            duration: Duration::from_secs(14),
            faults: 0,
            changes: 4,
            script: Vec::new(),
            heartbeat_transit: Duration::from_micros(200),
            routes: 0,
            link_rate: None,
            guards: PathGuards::ALL,
            has_former_builds: false,
        }
    }

    /// Parts of the product that an instance has.
    pub(super) fn guards_of(&self, index: usize) -> PathGuards {
        match self.has_former_builds && index % 2 == 1 {
            true => PathGuards {
                eras: false,
                feed_eras: false,
                ..self.guards
            },
            false => self.guards,
        }
    }

    /// A run with overlapping faults of all kinds.
    pub(super) fn disturbed(seed: u64, instances: usize) -> Self {
        Self {
            duration: Duration::from_secs(22),
            faults: 24,
            changes: 24,
            ..Self::calm(seed, instances)
        }
    }

    /// A run in which the store comes back from an older copy, once or twice, beside other faults.
    pub(super) fn restored(seed: u64, instances: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut time = |shortest: u64, longest: u64| {
            Duration::from_millis(rng.random_range(shortest..longest))
        };
        let (first, second) = (time(6_000, 9_000), time(200, 5_000));
        let restore = |age, outage| WorldFault::Restore(age, outage);
        let mut script = vec![(first, restore(time(500, 6_000), time(0, 1_500)))];
        let configured = (0..4).map(|_| first + time(0, 2_000));
        script.extend(configured.map(|at| (at - Duration::from_secs(1), WorldFault::Configure)));
        let moves = WorldFault::MoveKeys(time(1_000, 4_000));
        let lost = WorldFault::Kill(FaultTarget::Leader, time(200, 1_500));
        let beside = [
            (first - Duration::from_secs(3), moves),
            (first + second, restore(time(500, 6_000), time(0, 1_500))),
            (first + time(0, 2_000) - Duration::from_secs(1), lost),
            (
                first + time(0, 500),
                WorldFault::RefuseInstances(0.4, time(500, 4_000)),
            ),
        ];
        script.extend(beside.into_iter().filter(|_| rng.random_bool(0.4)));
        for (_, fault) in &mut script {
            if let WorldFault::Restore(_, outage) = fault
                && rng.random_bool(0.5)
            {
                *outage = Duration::ZERO;
            }
        }
        Self {
            duration: Duration::from_secs(22),
            faults: 4,
            changes: 16,
            script,
            ..Self::calm(seed, instances)
        }
    }
}
