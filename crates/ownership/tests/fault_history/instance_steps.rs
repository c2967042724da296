//! The actions of instances in one step of the simulation.

use crate::prelude::*;

impl FleetSimulation {
    pub(crate) fn run_instance(&mut self, index: usize) {
        if self.now < self.instances[index].paused_until {
            return;
        }
        let now = self.instance_clock(index);
        let mut messages = std::mem::take(&mut self.instances[index].inbox);
        if self.faults_enabled && self.rng.random_bool(0.1) {
            messages.reverse();
        }
        for message in messages {
            self.handle_message(index, message, now);
        }
        let fleet = self.fleet_view(index);
        let heartbeat = self.now >= self.instances[index].next_tick;
        if heartbeat {
            self.instances[index].next_tick = self.now.after(self.timing.heartbeat);
        }
        let instance = &mut self.instances[index];
        if let Some(elector) = &mut instance.elector
            && (heartbeat || elector.is_due(now))
        {
            elector.tick(now, &fleet);
        }
        self.update_led_part(index, now);
        self.manage_servers(index, now);
        self.carry_out_steps(index, now);
        self.advance_write(index, now);
        self.poll_store(index);
    }

    pub(crate) fn poll_store(&mut self, index: usize) {
        if self.store_available && self.rng.random_bool(0.1) {
            let record = self.stored_record.clone();
            self.learn_record(index, record);
        }
    }

    pub(crate) fn handle_message(&mut self, index: usize, message: FleetMessage, now: MonoTime) {
        match message {
            FleetMessage::Record(record) => self.learn_record(index, record),
            FleetMessage::VoteRequest(request, sent_at) => {
                if request.record.is_none() && self.instances[index].elector.is_none() {
                    return;
                }
                if let Some(record) = request.record.clone() {
                    self.learn_record(index, record);
                }
                let elector = self.instances[index].elector.as_mut().unwrap();
                let reply = elector.handle_request(request.clone(), now);
                if let Some(to) = self.index_of(&request.candidate)
                    && self.are_connected(index, to)
                {
                    self.send(
                        to,
                        FleetMessage::VoteReply(Box::new((request, reply)), sent_at),
                    );
                }
            }
            FleetMessage::VoteReply(answer, sent_at) => {
                let (request, reply) = *answer;
                let fleet = self.fleet_view(index);
                let instance = &mut self.instances[index];
                if request.candidate == instance.id
                    && let Some(elector) = &mut instance.elector
                {
                    elector.handle_reply(&request, reply, sent_at, now, &fleet);
                }
            }
            FleetMessage::VoteRelease(release) => {
                let record = release.record.clone();
                self.learn_record(index, record);
                let elector = self.instances[index].elector.as_mut().unwrap();
                elector.handle_release(release, now);
            }
            FleetMessage::GrantReply {
                server,
                number,
                accepted,
                clock,
            } => {
                let name = self.servers[server].name.clone();
                if let Some(led) = &mut self.instances[index].led {
                    led.grants
                        .record_clock(&name, ServerClock::new(clock, now), now);
                    if let Some(health) = led.servers.get_mut(&name) {
                        health.record_answer(0, false, now);
                    }
                    if number > 0 {
                        led.grants.record_answer(&name, number, accepted, now);
                    }
                }
            }
            FleetMessage::Grant { .. } | FleetMessage::ReadClock { .. } => {
                unreachable!("message for a server")
            }
        }
    }

    pub(crate) fn index_of(&self, id: &InstanceId) -> Option<usize> {
        self.instances
            .iter()
            .position(|instance| instance.id == *id)
    }

    pub(crate) fn update_led_part(&mut self, index: usize, now: MonoTime) {
        let timing = self.timing;
        let instance = &mut self.instances[index];
        let authority = instance
            .elector
            .as_ref()
            .and_then(|elector| elector.authority(now));
        match (authority, &mut instance.led) {
            (Some(authority), Some(led)) => led.renew(authority, now, &timing),
            (Some(authority), None) => instance.led = Some(LedPart::new(authority, now, &timing)),
            (None, _) => instance.led = None,
        }
    }

    pub(crate) fn manage_servers(&mut self, index: usize, now: MonoTime) {
        let names: Vec<ServerName> = self
            .servers
            .iter()
            .map(|server| server.name.clone())
            .collect();
        let timing = self.timing;
        for (server, name) in names.iter().enumerate() {
            let Some(led) = &mut self.instances[index].led else {
                return;
            };
            let fence = led.fence;
            let message = match led.next_grant_step(name, now, &timing) {
                GrantStep::Wait => continue,
                GrantStep::ReadClock => FleetMessage::ReadClock { from: index },
                GrantStep::Send {
                    number,
                    not_after,
                    ranges,
                } => FleetMessage::Grant {
                    from: index,
                    number,
                    fence,
                    ranges,
                    not_after,
                },
            };
            self.send(INSTANCES + server, message);
        }
        let move_slice = self.faults_enabled && self.rng.random_bool(0.01);
        let target = names[self.rng.random_range(0..SERVERS)].clone();
        let instance = &mut self.instances[index];
        let (Some(led), Some(elector)) = (&mut instance.led, &mut instance.elector) else {
            return;
        };
        if led.frozen {
            return;
        }
        let state = |name: &ServerName| led.server_state(name, now, &timing);
        let serving: Vec<ServerName> = names
            .iter()
            .filter(|name| state(name) == ServerState::Serving)
            .cloned()
            .collect();
        let mut changes = SliceAssigner::reassign_unavailable(&led.record, &serving, |owner| {
            state(owner) != ServerState::Suspected
        });
        if changes.is_empty() && move_slice && serving.contains(&target) {
            let slice = &led.record.slices[3];
            changes.push(SliceChange::Move {
                start: slice.start,
                to: target,
            });
        }
        let completed = led.completed_moves(now);
        if !changes.is_empty() || !completed.is_empty() {
            elector.change_record(now, |record| {
                record.moving.retain(|range| !completed.contains(range));
                SliceAssigner::apply(record, &changes);
            });
        }
    }

    pub(crate) fn carry_out_steps(&mut self, index: usize, now: MonoTime) {
        let Some(elector) = &mut self.instances[index].elector else {
            return;
        };
        for step in elector.take_steps() {
            match step {
                ElectionStep::RequestVote(request) => {
                    if let Some(to) = self.index_of(&request.voter)
                        && self.are_connected(index, to)
                    {
                        self.send(to, FleetMessage::VoteRequest(request, now));
                    }
                }
                ElectionStep::ReleaseVote { to, release } => {
                    if let Some(to) = self.index_of(&to)
                        && self.are_connected(index, to)
                    {
                        self.send(to, FleetMessage::VoteRelease(release));
                    }
                }
                ElectionStep::Write(mut record) => {
                    self.last_write_number += 1;
                    record.write_id = format!("w{}", self.last_write_number);
                    self.instances[index].pending_write = Some((record, self.now));
                }
            }
        }
    }

    /// Advances a pending write: the write is lost, or it is applied and its answer is lost, or it
    /// is answered.
    pub(crate) fn advance_write(&mut self, index: usize, now: MonoTime) {
        let is_due =
            matches!(&self.instances[index].pending_write, Some((_, due)) if *due <= self.now);
        if !is_due {
            return;
        }
        let (record, _) = self.instances[index].pending_write.take().unwrap();
        let fault_percent = self.rng.random_range(0..100);
        let retry_at = self.now.after(Duration::from_millis(30));
        let is_applied = self.store_available && (!self.faults_enabled || fault_percent >= 10);
        if is_applied && self.stored_record.edition + 1 == record.edition {
            self.check_write(&record);
            self.stored_record = record.clone();
        }
        let is_answered = self.store_available && (!self.faults_enabled || fault_percent >= 20);
        if !is_answered {
            self.instances[index].pending_write = Some((record, retry_at));
            return;
        }
        let stored = self.stored_record.clone();
        if stored.write_id == record.write_id {
            let elector = self.instances[index].elector.as_mut().unwrap();
            elector.record_written(record, now);
        } else if stored.edition >= record.edition {
            self.instances[index]
                .elector
                .as_mut()
                .unwrap()
                .write_failed();
            self.learn_record(index, stored);
        } else {
            self.instances[index].pending_write = Some((record, retry_at));
        }
    }
}
