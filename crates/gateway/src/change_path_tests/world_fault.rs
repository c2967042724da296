//! Changes of the store and faults, drawn from the seed.

use super::{
    change_world::{ChangeWorld, WorldEvent},
    simulated_instance::{SimulatedInstance, WorkerSlot, WorkerState},
};
use crate::{object_watcher, prelude::*};
use rand::{RngExt, rngs::StdRng};

/// Instance that a fault meets, chosen when it begins.
#[derive(Clone, Copy, Debug)]
pub(super) enum FaultTarget {
    Leader,
    Instance(usize),
}

/// A fault that begins at one moment.
#[derive(Clone, Debug)]
pub(super) enum WorldFault {
    /// Open watches of this share of the instances are never answered.
    LoseWatches(f64),
    /// All connections of an instance to the store go silent, idle ones among them.
    SilenceConnections(FaultTarget),
    SilenceAllConnections,
    LoseHeartbeats(Duration),
    DelayHeartbeats(Duration),
    /// Heartbeats carry full lists.
    CrowdHeartbeats(Duration),
    /// The leader moves keys.
    MoveKeys(Duration),
    CutStore(FaultTarget, Duration),
    /// The store refuses all calls of all instances.
    RefuseCalls(Duration),
    CutPeers(FaultTarget, Vec<usize>, Duration),
    Suspend(FaultTarget, Duration),
    Kill(FaultTarget, Duration),
    Compact,
    /// The store comes back from its copy of this time ago, after refusing calls for the second time.
    Restore(Duration, Duration),
    /// The store refuses the calls of this share of the instances.
    RefuseInstances(f64, Duration),
    /// A change of the configuration, at a time that is not drawn.
    Configure,
    /// Adds routes to the configuration by one change.
    AddRoutes(usize),
}

impl WorldFault {
    pub(super) fn draw(rng: &mut StdRng, instances: usize) -> Self {
        let target = match rng.random_bool(0.4) {
            true => FaultTarget::Leader,
            false => FaultTarget::Instance(rng.random_range(0..instances)),
        };
        let short = Duration::from_millis(rng.random_range(200..4_000));
        let share = rng.random_range(0.1..1.5_f64).min(1.0);
        match rng.random_range(0..14) {
            0..3 => Self::LoseWatches(share),
            3 => Self::SilenceConnections(target),
            4 => Self::LoseHeartbeats(short),
            5 => Self::DelayHeartbeats(short),
            6 => Self::CrowdHeartbeats(short),
            7 => Self::MoveKeys(short),
            8 => Self::CutStore(target, short),
            9 => {
                let count = rng.random_range(1..=instances.div_ceil(2));
                let peers = (0..count).map(|_| rng.random_range(0..instances));
                let peers = peers.collect();
                Self::CutPeers(target, peers, short)
            }
            10 => Self::Suspend(target, short),
            11 => Self::Kill(target, short / 4),
            12 => Self::Compact,
            _ => Self::SilenceAllConnections,
        }
    }
}

impl ChangeWorld {
    fn target(&mut self, target: FaultTarget) -> usize {
        match target {
            FaultTarget::Instance(index) => index,
            FaultTarget::Leader => {
                let mut instances = self.instances.iter();
                let leader = instances.position(SimulatedInstance::is_leading);
                leader.unwrap_or_default()
            }
        }
    }

    pub(super) fn cause(&mut self, fault: WorldFault) {
        let now = self.now;
        match fault {
            WorldFault::LoseWatches(share) => {
                for index in 0..self.instances.len() {
                    if self.rng.random_bool(share) {
                        self.instances[index].watches_lost_at = now;
                    }
                }
            }
            WorldFault::SilenceConnections(target) => {
                let index = self.target(target);
                self.silence(index);
            }
            WorldFault::SilenceAllConnections => {
                (0..self.instances.len()).for_each(|index| self.silence(index));
            }
            WorldFault::LoseHeartbeats(span) => self.heartbeat_loss_until = now.after(span),
            WorldFault::DelayHeartbeats(span) => self.heartbeat_delay_until = now.after(span),
            WorldFault::CrowdHeartbeats(span) => self.crowded_until = now.after(span),
            WorldFault::MoveKeys(span) => self.busy_until = now.after(span),
            WorldFault::CutStore(target, span) => {
                let index = self.target(target);
                self.instances[index].cut_until = now.after(span);
                self.instances[index].calls_lost_at = now;
                self.disturb(index, now.after(span));
            }
            WorldFault::RefuseCalls(span) => {
                self.refuse_calls(span);
                (0..self.instances.len()).for_each(|index| self.disturb(index, now.after(span)));
            }
            WorldFault::CutPeers(target, peers, span) => {
                let index = self.target(target);
                let cuts = peers.into_iter().map(|peer| (index, peer, now.after(span)));
                self.peer_cuts.extend(cuts);
            }
            WorldFault::Suspend(target, span) => {
                let index = self.target(target);
                self.instances[index].suspended_until = now.after(span);
                self.disturb(index, now.after(span));
            }
            WorldFault::Kill(target, span) => {
                let index = self.target(target);
                let incarnation = self.instances[index].record.incarnation + 1;
                let (record, at) = (Self::record(index, incarnation), now.after(span));
                let cut_until = self.instances[index].cut_until;
                let guards = self.settings.guards_of(index);
                self.instances[index] = SimulatedInstance::start(record, guards, at);
                self.instances[index].cut_until = cut_until;
                self.disturb(index, at);
                self.schedule(at, WorldEvent::Restart(index));
            }
            WorldFault::Compact => self.store.compact(),
            WorldFault::Restore(age, outage) => self.restore_store(age, outage),
            WorldFault::RefuseInstances(share, span) => {
                for index in 0..self.instances.len() {
                    if self.rng.random_bool(share) {
                        self.instances[index].refused_until = now.after(span);
                        self.disturb(index, now.after(span));
                    }
                }
            }
            WorldFault::Configure => self.configure(),
            WorldFault::AddRoutes(count) => {
                self.settings.routes += count;
                self.configure();
            }
        }
    }

    fn silence(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.calls_lost_at = self.now;
        instance
            .idle
            .iter_mut()
            .for_each(|(_, is_silent)| *is_silent = true);
    }

    pub(super) fn restart(&mut self, index: usize) {
        if self.instances[index].started_at == self.now {
            self.pause(index, WorkerSlot::Announce, Duration::ZERO);
            self.start_workers(index);
        }
    }

    /// Starts the workers of a process, at times that differ a little.
    pub(super) fn start_workers(&mut self, index: usize) {
        let is_new = self.instances[index].started_at == self.now;
        let asks_seeds = is_new && Self::asks_seeds(index);
        let grace = match asks_seeds {
            true => object_watcher::seed_patience(self.rng.random()),
            false => Duration::ZERO,
        };
        for slot in [
            WorkerSlot::WatchServers,
            WorkerSlot::WatchConfiguration,
            WorkerSlot::WatchRecords,
        ] {
            let delay = grace + self.transit();
            self.pause(index, slot, delay);
        }
        for slot in [WorkerSlot::Heartbeat, WorkerSlot::Check, WorkerSlot::Leader] {
            let delay = self.transit() * 50;
            self.pause(index, slot, delay);
        }
        if asks_seeds {
            self.pause(index, WorkerSlot::Seeds, Duration::ZERO);
        }
        self.next_turn(index, WorkerSlot::Poll, WorkerState::Listening);
    }

    /// Makes one change of the configuration or of a server.
    pub(super) fn change_store(&mut self) {
        let name = format!("server-{}", self.rng.random_range(0..24));
        let write = self.last_write + 1;
        let spec = |draining: bool| serde_json::json!({ "draining": draining, "write": write });
        match self.rng.random_range(0..8) {
            0..4 => self.configure(),
            4 | 5 => self.write_new(ObjectKind::Servers, &name, Some(&spec(true))),
            6 => self.write_new(ObjectKind::Servers, &name, Some(&spec(false))),
            _ if self.store.object(ObjectKind::Servers, &name).is_none() => {}
            _ => self.write_new(ObjectKind::Servers, &name, None),
        }
    }

    fn configure(&mut self) {
        let spec = self.configuration_spec(self.last_write + 1);
        let name = ObjectKind::CONFIGURATION_NAME;
        self.write_new(ObjectKind::Configuration, name, Some(&spec));
    }

    /// Makes a change that its content names by the next number.
    fn write_new(&mut self, kind: ObjectKind, name: &str, spec: Option<&serde_json::Value>) {
        self.last_write += 1;
        self.writes.insert(name.into(), self.last_write);
        self.write(kind, name, spec, self.last_write);
    }

    pub(super) fn write(
        &mut self,
        kind: ObjectKind,
        name: &str,
        spec: Option<&serde_json::Value>,
        write: u64,
    ) {
        self.store.change(kind, name, spec, write, self.now);
        self.answer_watches();
        self.record_change(kind, name, write, spec.is_none());
    }
}
