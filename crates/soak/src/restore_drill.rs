//! Drills in which the store comes back from an older copy of itself.
//!
//! What the instances wrote since the copy is lost. The operator writes the lost configurations
//! again at once and in order. Servers write their entries again within two seconds, and those that
//! have left since remove theirs again. Servers that have ended write nothing: their entries of the
//! copy lapse. Writes of the instances that had no answer may be executed after the restore.

use crate::{key_recovery, prelude::*};

/// Restores of the store from one copy, and what becomes of the watches that are open meanwhile.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RestoreDrill {
    /// Time from the copy until the store falls silent.
    copy_age: Duration,
    /// Duration of each silence, at the end of which the store is restored.
    silence: Duration,
    /// Times from a restore to the next silence, if the store is restored again.
    pauses: Vec<Duration>,
    open_watches: OpenWatches,
    /// Whether the restored store has the history of its copy.
    keeps_history: bool,
    /// Seed of the times at which the operator and the servers write again.
    seed: u64,
}

/// What a restored store does about watches that are open.
#[derive(Clone, Copy, Debug, PartialEq)]
enum OpenWatches {
    /// It has closed their connections.
    Closed,
    /// It rejects those from a revision that it does not have.
    Checked,
    /// It answers them once its revision has passed theirs.
    Held,
}

impl RestoreDrill {
    const COPY_AGE_MS: std::ops::Range<u64> = 2_000..4_000;
    const SILENCE_MS: std::ops::Range<u64> = 300..1_000;
    /// Share of the drills in which the store is restored again shortly after.
    const REPEATED_SHARE: f64 = 0.25;
    /// Largest number of further restores of a drill.
    const MAX_REPEATS: usize = 3;
    const PAUSE_MS: std::ops::Range<u64> = 0..1_500;
    /// Time after a restore within which the operator writes again.
    const OPERATOR_DELAY_MS: std::ops::Range<u64> = 0..100;
    /// The same for each server.
    const SERVER_DELAY_MS: std::ops::Range<u64> = 100..2_000;
    /// Time after a restore at which the entries of servers lapse that have not written again.
    const LAPSE_TIME: Duration = Duration::from_millis(2_600);

    /// Draws a drill.
    pub(crate) fn random(rng: &mut StdRng) -> Self {
        let repeats = match rng.random_bool(Self::REPEATED_SHARE) {
            true => rng.random_range(1..=Self::MAX_REPEATS),
            false => 0,
        };
        Self {
            copy_age: random_time(rng, Self::COPY_AGE_MS),
            silence: random_time(rng, Self::SILENCE_MS),
            pauses: (0..repeats)
                .map(|_| random_time(rng, Self::PAUSE_MS))
                .collect(),
            open_watches: match rng.random_range(0..3) {
                0 => OpenWatches::Closed,
                1 => OpenWatches::Checked,
                _ => OpenWatches::Held,
            },
            keeps_history: rng.random_bool(0.5),
            seed: rng.random(),
        }
    }

    /// Time from the copy to the last restore.
    pub(crate) fn duration(&self) -> Duration {
        let silences = self.silence * (self.pauses.len() as u32 + 1);
        self.copy_age + silences + self.pauses.iter().sum::<Duration>()
    }

    /// The silences of a drill whose copy is taken at a time.
    pub(crate) fn silences(&self, copied_at: Duration) -> Vec<(Duration, FaultEvent)> {
        let mut at = copied_at + self.copy_age;
        let mut events = Vec::new();
        for pause in self.pauses.iter().copied().chain([Duration::ZERO]) {
            let event = FaultEvent::Store(StoreFault::Silent, self.silence);
            events.push((at, event));
            at += self.silence + pause;
        }
        events
    }

    /// Whether writes that arrive during a silence are executed after it, as far as their
    /// conditions then hold.
    fn executes_late(&self) -> bool {
        self.seed.is_multiple_of(2)
    }

    /// Copies the store and restores it; returns when all have written again.
    pub(crate) async fn run(&self, world: &Arc<SoakWorld>) {
        let copy = world.copy_store();
        Timer::after(self.copy_age).await;
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut rewrites = Vec::new();
        for pause in self.pauses.iter().copied().chain([Duration::ZERO]) {
            self.restore(world, &copy).await;
            if world.plan.scenario == FaultScenario::StoreRestores {
                let measured = key_recovery::watch_restore(world.clone());
                rewrites.push(world.pool.spawn_cancellable(measured));
            }
            let seed = rng.random();
            rewrites.push(world.pool.spawn_cancellable(rewrite(world.clone(), seed)));
            Timer::after(pause).await;
        }
        for rewrite in rewrites {
            rewrite.await;
        }
    }

    async fn restore(&self, world: &SoakWorld, copy: &(StoreObjects, u64)) {
        let target = DisturbanceTarget::Store;
        world.ledger.record_disturbance(target, self.silence);
        world.store.execute_late(self.executes_late());
        world.store.set_fault(StoreFault::Silent);
        Timer::after(self.silence).await;
        world
            .store
            .hold_watches(self.open_watches == OpenWatches::Held);
        world.restore_store(copy);
        if !self.keeps_history {
            world.store.update(StoreObjects::compact);
        }
        if self.open_watches == OpenWatches::Closed {
            for instance in &world.instances {
                instance.store_link.set_mode(ProxyMode::Reset);
                instance.store_link.set_mode(ProxyMode::Open);
            }
        }
        world.store.set_fault(StoreFault::None);
        world.store.execute_late(false);
        world.ledger.record_disturbance(target, Duration::ZERO);
    }
}

/// Has the operator and all servers write again what the store has lost.
async fn rewrite(world: Arc<SoakWorld>, seed: u64) {
    let restored_at = SteadyClock.now();
    let mut rng = StdRng::seed_from_u64(seed);
    let operator_delay = random_time(&mut rng, RestoreDrill::OPERATOR_DELAY_MS);
    let registered = world.registered.lock().unwrap().clone();
    let mut servers: Vec<_> = registered
        .iter()
        .map(|server| (random_time(&mut rng, RestoreDrill::SERVER_DELAY_MS), server))
        .collect();
    servers.sort_by_key(|(delay, _)| *delay);
    let wait_until = async |delay: Duration| {
        Timer::after(delay.saturating_sub(SteadyClock.now().since(restored_at))).await;
    };
    wait_until(operator_delay).await;
    world.write_configuration_again();
    for (delay, server) in servers {
        wait_until(delay).await;
        server.write_again();
    }
    wait_until(RestoreDrill::LAPSE_TIME).await;
    for server in &registered {
        server.lapse();
    }
}

fn random_time(rng: &mut StdRng, millis: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(millis))
}
