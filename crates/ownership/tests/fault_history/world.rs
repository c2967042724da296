//! The store, the messages and the faults of one history.

use crate::prelude::*;

pub(crate) struct World {
    pub(crate) rng: SmallRng,
    pub(crate) now: MonoTime,
    pub(crate) timing: TimingSettings,
    pub(crate) store: PartRecord,
    pub(crate) store_up: bool,
    pub(crate) instances: Vec<FakeInstance>,
    pub(crate) servers: Vec<FakeServer>,
    pub(crate) wire: Vec<Envelope>,
    pub(crate) faults: bool,
    pub(crate) gone: Vec<(InstanceId, MonoTime)>,
    /// Latest edition that any elector has acted on.
    pub(crate) acted: u64,
    pub(crate) served_steps: u64,
    pub(crate) next_write: u64,
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let timing = TimingSettings::default();
        let now = MonoTime(10_000_000);
        let checks = rng.random_bool(0.3);
        let servers: Vec<FakeServer> = (0..SERVERS)
            .map(|index| FakeServer {
                name: ServerName::new(&format!("s{index}")),
                checks_fences: checks,
                alive: true,
                frozen_until: MonoTime(0),
                offset: rng.random_range(0..5_000_000),
                grant: None,
                highest: FenceToken::default(),
                inbox: Vec::new(),
            })
            .collect();
        let instances: Vec<FakeInstance> = (0..INSTANCES)
            .map(|index| FakeInstance {
                id: InstanceId::new(&format!("i{index}"), 1),
                elector: None,
                led: None,
                alive: true,
                paused_until: MonoTime(0),
                island: 0,
                offset: rng.random_range(0..5_000_000),
                write: None,
                inbox: Vec::new(),
                next_tick: MonoTime(0),
            })
            .collect();
        let id = PartId::new(ServiceName::new("reports"), 0);
        let members = instances.iter().take(3).map(|instance| instance.id.clone());
        let store = PartLayout::new(&id)
            .servers(servers.iter().map(|server| server.name.clone()))
            .members(members.collect())
            .record("first")
            .unwrap();
        let mut world = Self {
            rng,
            now,
            timing,
            store,
            store_up: true,
            instances,
            servers,
            wire: Vec::new(),
            faults: true,
            gone: Vec::new(),
            acted: 0,
            served_steps: 0,
            next_write: 0,
        };
        for index in 0..INSTANCES {
            world.send(index, Message::Record(world.store.clone()));
        }
        world
    }

    pub(crate) fn clock(&self, instance: usize) -> MonoTime {
        MonoTime(self.now.0 + self.instances[instance].offset)
    }

    pub(crate) fn server_clock(&self, server: usize) -> MonoTime {
        MonoTime(self.now.0 + self.servers[server].offset)
    }

    /// Sends to an instance (below `INSTANCES`) or a server; messages are delayed and lost, those to
    /// instances also repeated. An order to a server is one exchange, which nothing repeats.
    pub(crate) fn send(&mut self, to: usize, message: Message) {
        if self.faults && self.rng.random_bool(0.03) {
            return;
        }
        if self.faults && to < INSTANCES && self.rng.random_bool(0.03) {
            let delay = self.rng.random_range(200..800_000);
            let due = self.now.after(Duration::from_micros(delay));
            let message = message.clone();
            self.wire.push(Envelope { due, to, message });
        }
        let delay = match self.faults && self.rng.random_bool(0.05) {
            true => self.rng.random_range(1_000..800_000),
            false => self.rng.random_range(200..4_000),
        };
        let due = self.now.after(Duration::from_micros(delay));
        self.wire.push(Envelope { due, to, message });
    }

    pub(crate) fn connected(&self, left: usize, right: usize) -> bool {
        self.instances[left].island == self.instances[right].island
    }

    pub(crate) fn fleet(&self, me: usize) -> FleetView {
        let live = (0..INSTANCES).filter(|other| {
            let instance = &self.instances[*other];
            instance.alive && (self.now > instance.paused_until) && self.connected(me, *other)
        });
        FleetView {
            live: live
                .map(|other| LiveInstance {
                    id: self.instances[other].id.clone(),
                    data_centre: format!("dc{}", other % 3),
                })
                .collect(),
            ended: self
                .gone
                .iter()
                .filter(|(_, since)| self.now.since(*since) > self.timing.lease * 2)
                .map(|(id, _)| id.clone())
                .collect(),
            may_hand_over: !self.faults || self.rng.clone().random_bool(0.2),
        }
    }

    pub(crate) fn step(&mut self) {
        self.now = self.now.after(STEP);
        if self.faults {
            self.inject();
        }
        self.deliver();
        for index in 0..INSTANCES {
            self.run_instance(index);
        }
        for server in 0..SERVERS {
            self.run_server(server);
        }
        self.check();
    }

    pub(crate) fn inject(&mut self) {
        let index = self.rng.random_range(0..INSTANCES);
        let server = self.rng.random_range(0..SERVERS);
        let span = Duration::from_millis(self.rng.random_range(50..1_500));
        match self.rng.random_range(0..4_000) {
            0..12 => self.instances[index].paused_until = self.now.after(span),
            12..18 => self.crash(index),
            18..30 => self.servers[server].frozen_until = self.now.after(span),
            30..34 => self.servers[server].alive = false,
            34..40 => self.servers[server].alive = true,
            40..52 => self.store_up = false,
            52..76 => self.store_up = true,
            76..88 => self.instances[index].island = self.rng.random_range(0..2),
            88..104 => self.instances.iter_mut().for_each(|it| it.island = 0),
            _ => {}
        }
    }

    /// Ends a run; the next one begins at once under a new incarnation.
    pub(crate) fn crash(&mut self, index: usize) {
        let old = self.instances[index].id.clone();
        self.gone.push((old.clone(), self.now));
        let instance = &mut self.instances[index];
        instance.id = InstanceId::new(&old.name, old.incarnation + 1);
        instance.elector = None;
        instance.led = None;
        instance.write = None;
        instance.inbox.clear();
        let record = self.store.clone();
        if self.store_up {
            self.send(index, Message::Record(record));
        }
    }

    pub(crate) fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.wire)
            .into_iter()
            .partition(|envelope| envelope.due <= now);
        self.wire = later;
        for envelope in due {
            match envelope.to < INSTANCES {
                true => self.instances[envelope.to].inbox.push(envelope.message),
                false => self.servers[envelope.to - INSTANCES]
                    .inbox
                    .push(envelope.message),
            }
        }
    }

    pub(crate) fn learn_record(&mut self, index: usize, record: PartRecord) {
        let now = self.clock(index);
        let timing = self.timing;
        let instance = &mut self.instances[index];
        match &mut instance.elector {
            Some(elector) => elector.learn_record(record, now),
            None => {
                let me = instance.id.clone();
                instance.elector = Some(LeaderElector::new(&me, record, now, now, timing));
            }
        }
    }
}
