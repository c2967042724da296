//! The store, the messages and the injected faults of one history.

use crate::prelude::*;

/// Instances, servers and a store that exchange messages under seeded faults.
pub(crate) struct FleetSimulation {
    pub(crate) rng: SmallRng,
    pub(crate) now: MonoTime,
    pub(crate) timing: TimingSettings,
    pub(crate) stored_record: PartRecord,
    pub(crate) store_available: bool,
    pub(crate) instances: Vec<FakeInstance>,
    pub(crate) servers: Vec<FakeServer>,
    pub(crate) in_transit: Vec<MessageEnvelope>,
    pub(crate) faults_enabled: bool,
    pub(crate) ended_incarnations: Vec<(InstanceId, MonoTime)>,
    /// Latest edition that any leader has acted on in full.
    pub(crate) latest_activated: u64,
    pub(crate) served_steps: u64,
    pub(crate) last_write_number: u64,
}

impl FleetSimulation {
    pub(crate) fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let timing = TimingSettings::default();
        let now = MonoTime(10_000_000);
        let servers_check = rng.random_bool(0.3);
        let servers: Vec<FakeServer> = (0..SERVERS)
            .map(|index| FakeServer {
                name: ServerName::new(&format!("s{index}")),
                checks_fences: servers_check,
                alive: true,
                paused_until: MonoTime(0),
                clock_offset: rng.random_range(0..5_000_000),
                grant: None,
                highest_fence: FenceToken::default(),
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
                partition: 0,
                clock_offset: rng.random_range(0..5_000_000),
                pending_write: None,
                inbox: Vec::new(),
                next_tick: MonoTime(0),
            })
            .collect();
        let id = PartId::new(ServiceName::new("reports"), 0);
        let members = instances.iter().take(3).map(|instance| instance.id.clone());
        let stored_record = PartLayout::new(&id)
            .servers(servers.iter().map(|server| server.name.clone()))
            .members(members.collect())
            .record("first")
            .unwrap();
        let mut simulation = Self {
            rng,
            now,
            timing,
            stored_record,
            store_available: true,
            instances,
            servers,
            in_transit: Vec::new(),
            faults_enabled: true,
            ended_incarnations: Vec::new(),
            latest_activated: 0,
            served_steps: 0,
            last_write_number: 0,
        };
        for index in 0..INSTANCES {
            simulation.send(
                index,
                FleetMessage::Record(simulation.stored_record.clone()),
            );
        }
        simulation
    }

    pub(crate) fn instance_clock(&self, instance: usize) -> MonoTime {
        MonoTime(self.now.0 + self.instances[instance].clock_offset)
    }

    pub(crate) fn server_clock(&self, server: usize) -> MonoTime {
        MonoTime(self.now.0 + self.servers[server].clock_offset)
    }

    /// Sends to the instance `to`, or to a server if `to` is at least `INSTANCES`.
    ///
    /// Messages are delayed or lost, and those to instances also duplicated. A message to a server
    /// is part of one exchange, which is never duplicated.
    pub(crate) fn send(&mut self, to: usize, message: FleetMessage) {
        if self.faults_enabled && self.rng.random_bool(0.03) {
            return;
        }
        if self.faults_enabled && to < INSTANCES && self.rng.random_bool(0.03) {
            let delay = self.rng.random_range(200..800_000);
            let due = self.now.after(Duration::from_micros(delay));
            let message = message.clone();
            self.in_transit.push(MessageEnvelope { due, to, message });
        }
        let delay = match self.faults_enabled && self.rng.random_bool(0.05) {
            true => self.rng.random_range(1_000..800_000),
            false => self.rng.random_range(200..4_000),
        };
        let due = self.now.after(Duration::from_micros(delay));
        self.in_transit.push(MessageEnvelope { due, to, message });
    }

    pub(crate) fn are_connected(&self, left: usize, right: usize) -> bool {
        self.instances[left].partition == self.instances[right].partition
    }

    pub(crate) fn fleet_view(&self, own_index: usize) -> FleetView {
        let live = (0..INSTANCES).filter(|other| {
            let instance = &self.instances[*other];
            instance.alive
                && (self.now > instance.paused_until)
                && self.are_connected(own_index, *other)
        });
        FleetView {
            live: live
                .map(|other| LiveInstance {
                    id: self.instances[other].id.clone(),
                    data_centre: format!("dc{}", other % 3),
                })
                .collect(),
            ended: self
                .ended_incarnations
                .iter()
                .filter(|(_, since)| self.now.since(*since) > self.timing.lease * 2)
                .map(|(id, _)| id.clone())
                .collect(),
            may_hand_over: !self.faults_enabled || self.rng.clone().random_bool(0.2),
        }
    }

    pub(crate) fn step(&mut self) {
        self.now = self.now.after(STEP);
        if self.faults_enabled {
            self.inject_fault();
        }
        self.deliver();
        for index in 0..INSTANCES {
            self.run_instance(index);
        }
        for server in 0..SERVERS {
            self.run_server(server);
        }
        self.check_invariants();
    }

    pub(crate) fn inject_fault(&mut self) {
        let index = self.rng.random_range(0..INSTANCES);
        let server = self.rng.random_range(0..SERVERS);
        let span = Duration::from_millis(self.rng.random_range(50..1_500));
        match self.rng.random_range(0..4_000) {
            0..12 => self.instances[index].paused_until = self.now.after(span),
            12..18 => self.restart_instance(index),
            18..30 => self.servers[server].paused_until = self.now.after(span),
            30..34 => self.servers[server].alive = false,
            34..40 => self.servers[server].alive = true,
            40..52 => self.store_available = false,
            52..76 => self.store_available = true,
            76..88 => self.instances[index].partition = self.rng.random_range(0..2),
            88..104 => self
                .instances
                .iter_mut()
                .for_each(|instance| instance.partition = 0),
            _ => {}
        }
    }

    /// Ends an instance and starts its next incarnation at once.
    pub(crate) fn restart_instance(&mut self, index: usize) {
        let ended = self.instances[index].id.clone();
        self.ended_incarnations.push((ended.clone(), self.now));
        let instance = &mut self.instances[index];
        instance.id = InstanceId::new(&ended.name, ended.incarnation + 1);
        instance.elector = None;
        instance.led = None;
        instance.pending_write = None;
        instance.inbox.clear();
        let record = self.stored_record.clone();
        if self.store_available {
            self.send(index, FleetMessage::Record(record));
        }
    }

    pub(crate) fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|envelope| envelope.due <= now);
        self.in_transit = later;
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
        let now = self.instance_clock(index);
        let timing = self.timing;
        let instance = &mut self.instances[index];
        match &mut instance.elector {
            Some(elector) => elector.learn_record(record, now),
            None => {
                let own_id = instance.id.clone();
                instance.elector = Some(LeaderElector::new(&own_id, record, now, now, timing));
            }
        }
    }
}
