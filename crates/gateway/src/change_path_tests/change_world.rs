//! The simulated deployment: virtual time, the queue of events, and which worker an event wakes.

use super::{
    change_checker::ChangeChecker,
    heartbeat_path::ReceivedHeartbeat,
    link_model::LinkModel,
    path_settings::PathSettings,
    simulated_instance::{SimulatedInstance, WorkerSlot, WorkerState},
    simulated_store::{SimulatedStore, StoreAnswer, StoreQuestion, StoredChange},
    world_fault::WorldFault,
};
use crate::{feed_request::FeedRequest, prelude::*};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{collections::BTreeMap, rc::Rc};

/// Step of one worker of one process.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerTurn {
    pub(super) instance: usize,
    pub(super) incarnation: u64,
    pub(super) slot: WorkerSlot,
    pub(super) turn: u64,
}

/// Call to the store on its way.
#[derive(Clone, Debug)]
pub(super) struct StoreCall {
    pub(super) from: WorkerTurn,
    pub(super) question: Rc<StoreQuestion>,
    pub(super) began_at: MonoTime,
    /// Whether its connection has gone silent before.
    pub(super) is_void: bool,
}

/// What happens at one moment.
#[derive(Clone, Debug)]
pub(super) enum WorldEvent {
    /// A pause is over.
    Wake(WorkerTurn),
    /// A watch checks whether it is still needed.
    CheckWatch(WorkerTurn),
    /// The store receives a call.
    Call(StoreCall),
    /// The store answers a watch without changes.
    EndWatch(StoreCall),
    /// An answer, and the era that it states.
    Answer(StoreCall, u64, Rc<StoreAnswer>),
    /// A call gets no answer.
    GiveUp(StoreCall),
    /// An instance receives a request for updates.
    Request(WorkerTurn, MonoTime, usize, Rc<FeedRequest>),
    /// A reply of another instance, as a frame; `None` if there is none.
    Reply(WorkerTurn, MonoTime, usize, Option<Rc<Vec<u8>>>),
    /// An instance sends the next piece of its frames.
    SendPiece(usize),
    /// A piece of the frame for which a worker waits arrives.
    Piece(WorkerTurn, usize),
    /// An instance receives a heartbeat; `None` if it cannot be decoded.
    Heartbeat(usize, Rc<Option<ReceivedHeartbeat>>),
    /// The store is changed.
    Change,
    /// The operator or a server writes again what the store has lost.
    Rewrite(Rc<StoredChange>),
    Fault(WorldFault),
    /// A process starts again with nothing.
    Restart(usize),
    /// The checker looks at one change, or at one instance.
    CheckChange(usize),
    CheckInstance(usize),
}

/// The simulated deployment.
pub(super) struct ChangeWorld {
    pub(super) settings: PathSettings,
    pub(super) rng: StdRng,
    pub(super) now: MonoTime,
    queue: BTreeMap<(MonoTime, u64), WorldEvent>,
    queued: u64,
    pub(super) store: SimulatedStore,
    pub(super) open_watches: Vec<StoreCall>,
    pub(super) instances: Vec<SimulatedInstance>,
    pub(super) checker: ChangeChecker,
    pub(super) links: LinkModel,
    /// Pairs of instances that do not reach each other, and until when.
    pub(super) peer_cuts: Vec<(usize, usize, MonoTime)>,
    pub(super) heartbeat_loss_until: MonoTime,
    pub(super) heartbeat_delay_until: MonoTime,
    pub(super) store_refuses_until: MonoTime,
    pub(super) crowded_until: MonoTime,
    pub(super) busy_until: MonoTime,
    pub(super) largest_heartbeat: usize,
    /// Number of the last write of the operator or a server, which its content names.
    pub(super) last_write: u64,
    /// Number of the last write of each object.
    pub(super) writes: IndexMap<String, u64>,
}

impl ChangeWorld {
    /// Time at which a run begins.
    pub(super) const START: MonoTime = MonoTime(1_000_000_000);
    /// Time before the first change or fault.
    const CALM_START: Duration = Duration::from_secs(3);
    /// Time after the last fault or change begins.
    pub(super) const CALM_END: Duration = Duration::from_secs(7);

    pub(super) fn new(settings: PathSettings) -> Self {
        let mut world = Self {
            rng: StdRng::seed_from_u64(settings.seed),
            settings,
            now: Self::START,
            queue: BTreeMap::new(),
            queued: 0,
            store: SimulatedStore::default(),
            open_watches: Vec::new(),
            instances: Vec::new(),
            checker: ChangeChecker::default(),
            links: LinkModel::default(),
            peer_cuts: Vec::new(),
            heartbeat_loss_until: MonoTime::default(),
            heartbeat_delay_until: MonoTime::default(),
            store_refuses_until: MonoTime::default(),
            crowded_until: MonoTime::default(),
            busy_until: MonoTime::default(),
            largest_heartbeat: 0,
            last_write: 0,
            writes: IndexMap::new(),
        };
        world.fill_store();
        for index in 0..world.settings.instances {
            let mut instance = SimulatedInstance::start(
                Self::record(index, 1),
                world.settings.guards_of(index),
                MonoTime::default(),
            );
            instance.settle(&world.store, world.now);
            if instance.is_leading() {
                instance.confirmed_at = Some(world.now);
            }
            world.instances.push(instance);
            world.start_workers(index);
        }
        world.plan();
        world
    }

    /// Runs to the end and returns what the checker found.
    pub(super) fn run(mut self) -> ChangeChecker {
        let end = self.now.after(self.settings.duration);
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > end || self.checker.violations.len() > 20 {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.checker.largest_heartbeat = self.largest_heartbeat;
        self.checker.sent_bytes = self.links.sent_bytes;
        self.checker
    }

    /// Draws the times of changes and faults.
    fn plan(&mut self) {
        let start = self.now.after(Self::CALM_START);
        let span = self
            .settings
            .duration
            .saturating_sub(Self::CALM_START + Self::CALM_END);
        for _ in 0..self.settings.changes {
            let at = start.after(span.mul_f64(self.rng.random()));
            self.schedule(at, WorldEvent::Change);
        }
        for (after, fault) in std::mem::take(&mut self.settings.script) {
            self.schedule_in(after, WorldEvent::Fault(fault));
        }
        for _ in 0..self.settings.faults {
            let at = start.after(span.mul_f64(self.rng.random()));
            let fault = WorldFault::draw(&mut self.rng, self.settings.instances);
            self.schedule(at, WorldEvent::Fault(fault));
        }
    }

    pub(super) fn schedule(&mut self, at: MonoTime, event: WorldEvent) {
        self.queued += 1;
        self.queue.insert((at.max(self.now), self.queued), event);
    }

    pub(super) fn schedule_in(&mut self, delay: Duration, event: WorldEvent) {
        self.schedule(self.now.after(delay), event);
    }

    /// Delay of one message, 0.2 to 1.2 ms.
    pub(super) fn transit(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(200..1_200))
    }

    /// Begins the next step of a worker, which makes everything earlier void.
    pub(super) fn next_turn(
        &mut self,
        instance: usize,
        slot: WorkerSlot,
        state: WorkerState,
    ) -> WorkerTurn {
        let simulated = &mut self.instances[instance];
        simulated.states[slot as usize] = state;
        simulated.turns[slot as usize] += 1;
        WorkerTurn {
            instance,
            incarnation: simulated.record.incarnation,
            slot,
            turn: simulated.turns[slot as usize],
        }
    }

    pub(super) fn pause(&mut self, instance: usize, slot: WorkerSlot, delay: Duration) {
        let turn = self.next_turn(instance, slot, WorkerState::Paused);
        self.schedule_in(delay, WorldEvent::Wake(turn));
    }

    pub(super) fn is_current(&self, turn: WorkerTurn) -> bool {
        let instance = &self.instances[turn.instance];
        instance.record.incarnation == turn.incarnation
            && instance.turns[turn.slot as usize] == turn.turn
    }

    /// Instance whose process has to run for the event to be handled.
    fn process_of(event: &WorldEvent) -> Option<usize> {
        match event {
            WorldEvent::Wake(turn) | WorldEvent::CheckWatch(turn) => Some(turn.instance),
            WorldEvent::Reply(turn, ..) | WorldEvent::Piece(turn, _) => Some(turn.instance),
            WorldEvent::Answer(call, ..) | WorldEvent::GiveUp(call) => Some(call.from.instance),
            WorldEvent::Request(_, _, instance, _) | WorldEvent::Heartbeat(instance, _) => {
                Some(*instance)
            }
            _ => None,
        }
    }

    fn handle(&mut self, event: WorldEvent) {
        if let Some(instance) = Self::process_of(&event)
            && self.instances[instance].suspended_until > self.now
        {
            self.schedule(self.instances[instance].suspended_until, event);
            return;
        }
        match event {
            WorldEvent::Wake(turn) if self.is_current(turn) => self.wake(turn.instance, turn.slot),
            WorldEvent::CheckWatch(turn) if self.is_current(turn) => self.check_watch(turn),
            WorldEvent::Wake(_) | WorldEvent::CheckWatch(_) => {}
            WorldEvent::Call(call) => self.receive_call(call),
            WorldEvent::EndWatch(call) => self.end_watch(&call),
            WorldEvent::Answer(call, era, answer) => self.receive_answer(&call, era, &answer),
            WorldEvent::GiveUp(call) => self.give_up(&call),
            WorldEvent::Request(turn, asked_at, to, request) => {
                self.serve_request(turn, asked_at, to, &request);
            }
            WorldEvent::Reply(turn, asked_at, from, frame) => {
                self.receive_reply(turn, asked_at, from, frame.as_deref());
            }
            WorldEvent::SendPiece(from) => self.send_piece(from),
            WorldEvent::Piece(turn, bytes) => self.record_piece(turn, bytes),
            WorldEvent::Heartbeat(to, heartbeat) => self.receive_heartbeat(to, &heartbeat),
            WorldEvent::Change => self.change_store(),
            WorldEvent::Rewrite(write) => self.rewrite(&write),
            WorldEvent::Fault(fault) => self.cause(fault),
            WorldEvent::Restart(instance) => self.restart(instance),
            WorldEvent::CheckChange(change) => self.check_change(change),
            WorldEvent::CheckInstance(instance) => self.check_instance(instance),
        }
    }

    fn wake(&mut self, instance: usize, slot: WorkerSlot) {
        match slot {
            WorkerSlot::WatchServers
            | WorkerSlot::WatchConfiguration
            | WorkerSlot::WatchRecords => self.step_watch(instance, slot),
            WorkerSlot::Check => self.step_check(instance),
            WorkerSlot::Poll => self.step_poll(instance),
            WorkerSlot::Seeds => self.step_seeds(instance),
            WorkerSlot::Heartbeat => self.send_heartbeat(instance),
            WorkerSlot::Leader => self.step_leader(instance),
            WorkerSlot::Announce => self.announce(instance),
        }
    }
}
