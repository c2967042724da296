//! What instances do in one step.

use crate::prelude::*;

impl World {
    pub(crate) fn run_instance(&mut self, index: usize) {
        if self.now < self.instances[index].paused_until {
            return;
        }
        let now = self.clock(index);
        let mut messages = std::mem::take(&mut self.instances[index].inbox);
        if self.faults && self.rng.random_bool(0.1) {
            messages.reverse();
        }
        for message in messages {
            self.receive(index, message, now);
        }
        let fleet = self.fleet(index);
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
        self.sync(index, now);
        self.keep_servers(index, now);
        self.carry_out(index, now);
        self.write(index, now);
        self.watch(index);
    }

    pub(crate) fn watch(&mut self, index: usize) {
        if self.store_up && self.rng.random_bool(0.1) {
            let record = self.store.clone();
            self.learn_record(index, record);
        }
    }

    pub(crate) fn receive(&mut self, index: usize, message: Message, now: MonoTime) {
        match message {
            Message::Record(record) => self.learn_record(index, record),
            Message::VoteRequest(request, asked) => {
                if request.record.is_none() && self.instances[index].elector.is_none() {
                    return;
                }
                if let Some(record) = request.record.clone() {
                    self.learn_record(index, record);
                }
                let elector = self.instances[index].elector.as_mut().unwrap();
                let reply = elector.handle_request(request.clone(), now);
                if let Some(to) = self.index_of(&request.candidate)
                    && self.connected(index, to)
                {
                    self.send(to, Message::VoteReply(Box::new((request, reply)), asked));
                }
            }
            Message::VoteReply(answer, asked) => {
                let (request, reply) = *answer;
                let fleet = self.fleet(index);
                let instance = &mut self.instances[index];
                if request.candidate == instance.id
                    && let Some(elector) = &mut instance.elector
                {
                    elector.handle_reply(&request, reply, asked, now, &fleet);
                }
            }
            Message::VoteRelease(release) => {
                let record = release.record.clone();
                self.learn_record(index, record);
                let elector = self.instances[index].elector.as_mut().unwrap();
                elector.handle_release(release, now);
            }
            Message::GrantReply {
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
            Message::Grant { .. } | Message::ReadClock { .. } => unreachable!("sent to servers"),
        }
    }

    pub(crate) fn index_of(&self, id: &InstanceId) -> Option<usize> {
        self.instances
            .iter()
            .position(|instance| instance.id == *id)
    }

    pub(crate) fn sync(&mut self, index: usize, now: MonoTime) {
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

    pub(crate) fn keep_servers(&mut self, index: usize, now: MonoTime) {
        let names: Vec<ServerName> = self.servers.iter().map(|it| it.name.clone()).collect();
        let timing = self.timing;
        for (server, name) in names.iter().enumerate() {
            let Some(led) = &mut self.instances[index].led else {
                return;
            };
            let fence = led.fence;
            let message = match led.next_grant_step(name, now, &timing) {
                GrantStep::Wait => continue,
                GrantStep::ReadClock => Message::ReadClock { from: index },
                GrantStep::Send {
                    number,
                    not_after,
                    ranges,
                } => Message::Grant {
                    from: index,
                    number,
                    fence,
                    ranges,
                    not_after,
                },
            };
            self.send(INSTANCES + server, message);
        }
        let random_move = self.faults && self.rng.random_bool(0.01);
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
        if changes.is_empty() && random_move && serving.contains(&target) {
            let slice = &led.record.slices[3];
            changes.push(SliceChange::Move {
                start: slice.start,
                to: target,
            });
        }
        let done = led.completed_moves(now);
        if !changes.is_empty() || !done.is_empty() {
            elector.change_record(now, |record| {
                record.moving.retain(|range| !done.contains(range));
                SliceAssigner::apply(record, &changes);
            });
        }
    }

    pub(crate) fn carry_out(&mut self, index: usize, now: MonoTime) {
        let Some(elector) = &mut self.instances[index].elector else {
            return;
        };
        for step in elector.take_steps() {
            match step {
                ElectionStep::RequestVote(request) => {
                    if let Some(to) = self.index_of(&request.voter)
                        && self.connected(index, to)
                    {
                        self.send(to, Message::VoteRequest(request, now));
                    }
                }
                ElectionStep::ReleaseVote { to, release } => {
                    if let Some(to) = self.index_of(&to)
                        && self.connected(index, to)
                    {
                        self.send(to, Message::VoteRelease(release));
                    }
                }
                ElectionStep::Write(mut record) => {
                    self.next_write += 1;
                    record.write_id = format!("w{}", self.next_write);
                    self.instances[index].write = Some((record, self.now));
                }
            }
        }
    }

    /// Carries a write on: lost before, lost after it took effect, or answered.
    pub(crate) fn write(&mut self, index: usize, now: MonoTime) {
        let due = matches!(&self.instances[index].write, Some((_, due)) if *due <= self.now);
        if !due {
            return;
        }
        let (record, _) = self.instances[index].write.take().unwrap();
        let luck = self.rng.random_range(0..100);
        let retry = self.now.after(Duration::from_millis(30));
        let reached = self.store_up && (!self.faults || luck >= 10);
        if reached && self.store.edition + 1 == record.edition {
            self.check_write(&record);
            self.store = record.clone();
        }
        let answered = self.store_up && (!self.faults || luck >= 20);
        if !answered {
            self.instances[index].write = Some((record, retry));
            return;
        }
        let stored = self.store.clone();
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
            self.instances[index].write = Some((record, retry));
        }
    }
}
