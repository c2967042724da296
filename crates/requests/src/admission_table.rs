//! Admission of requests to the slots of servers.
//!
//! The leader of a part counts every request that it has sent to a server and not seen ended, so
//! that a server never holds more than its slots. A request that would be answered after its deadline
//! is refused at once, by the mean time that requests have run at the server.

use crate::prelude::*;

/// Slots and waiting requests of each server of a part.
#[derive(Clone, Debug, Default)]
pub struct AdmissionTable {
    servers: IndexMap<ServerName, ServerLoad>,
}

/// Requests that a server may hold at once and that may wait for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotLimit {
    /// Requests running at once.
    pub slots: u32,
    /// Requests of one priority and those before it that may wait.
    pub max_queued: usize,
    /// Longest time that a request may be expected to wait.
    pub max_wait: Duration,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionStep {
    /// Send it now; a slot is taken.
    Start,
    /// Wait until the ticket is called.
    Wait,
    /// Refuse it; a slot is expected to be free after `retry_after`.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// When a repeat has a chance.
        retry_after: Duration,
    },
}

/// What to do with a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DequeueStep {
    /// Send it now; a slot is taken.
    Start(u64),
    /// Refuse it: its answer would come after its deadline.
    Expire(u64),
}

/// How a request ended at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotEnd {
    /// Answered after this time.
    Answered(Duration),
    /// Refused by the server.
    Shed,
    /// Neither.
    Failed,
}

#[derive(Clone, Debug, Default)]
struct ServerLoad {
    running: u32,
    queue: ServerQueue,
    shed: ShedLimit,
    /// Mean time that requests run, in microseconds; 0 while none has been answered.
    mean_us: u64,
    /// Time that requests ran lately, halved with each [`ServerLoad::HALF_LIFE`].
    recent_us: u64,
    recent_at: MonoTime,
    /// Work of refused requests that will come back, in microseconds of one slot.
    refused_us: u64,
    refused_at: MonoTime,
}

impl AdmissionTable {
    /// Share of a queue that one caller may fill: one part in this many.
    pub const CALLER_SHARE: usize = 2;
    /// Shortest time after which a refused caller is told to come back.
    const MIN_RETRY: Duration = Duration::from_millis(20);
    /// Longest such time.
    const MAX_RETRY: Duration = Duration::from_secs(5);

    /// Asks for a slot for a request.
    pub fn admit(
        &mut self,
        server: &ServerName,
        request: WaitingRequest,
        limit: SlotLimit,
        now: MonoTime,
    ) -> AdmissionStep {
        let load = self.load(server);
        let slots = load.shed.of(limit.slots);
        if load.running < slots && load.queue.is_empty() {
            load.running += 1;
            return AdmissionStep::Start;
        }
        let Some(reason) = load.fault_of(&request, limit, slots, now) else {
            load.queue.push(request);
            return AdmissionStep::Wait;
        };
        let wait = load.expected_wait(load.queue.ahead_of(request.priority), slots);
        let retry_after = wait + load.refused(slots, now);
        AdmissionStep::Refuse {
            reason,
            retry_after: retry_after.clamp(Self::MIN_RETRY, Self::MAX_RETRY),
        }
    }

    /// Gives a slot back.
    pub fn finish(&mut self, server: &ServerName, end: SlotEnd, limit: SlotLimit, now: MonoTime) {
        let load = self.load(server);
        match end {
            SlotEnd::Answered(took) => {
                load.shed.answered(limit.slots);
                let took = took.as_micros() as u64;
                load.recent_us = load.recent(now) + took;
                load.recent_at = now;
                load.mean_us = match load.mean_us {
                    0 => took,
                    mean => (mean * 7 + took) / 8,
                };
            }
            SlotEnd::Shed => load.shed.refused(load.running, limit.slots, now),
            SlotEnd::Failed => {}
        }
        load.running = load.running.saturating_sub(1);
    }

    /// Next waiting request to act on; asked until there is none.
    pub fn dequeue(
        &mut self,
        server: &ServerName,
        limit: SlotLimit,
        now: MonoTime,
    ) -> Option<DequeueStep> {
        let load = self.servers.get_mut(server)?;
        if load.running >= load.shed.of(limit.slots) {
            return None;
        }
        let request = load.queue.pop()?;
        if now.after(load.mean()) > request.deadline {
            return Some(DequeueStep::Expire(request.ticket));
        }
        load.running += 1;
        Some(DequeueStep::Start(request.ticket))
    }

    /// Takes a waiting request out; false when it does not wait.
    pub fn cancel(&mut self, server: &ServerName, ticket: u64) -> bool {
        let load = self.servers.get_mut(server);
        load.is_some_and(|load| load.queue.remove(ticket))
    }

    /// Requests running at `server`.
    pub fn running(&self, server: &ServerName) -> u32 {
        self.servers.get(server).map_or(0, |load| load.running)
    }

    /// Requests that wait for `server`.
    pub fn waiting(&self, server: &ServerName) -> usize {
        let load = self.servers.get(server);
        load.map_or(0, |load| load.queue.len())
    }

    /// Mean time that requests run at `server`; zero while none has been answered.
    pub fn mean_run_time(&self, server: &ServerName) -> Duration {
        let load = self.servers.get(server);
        load.map_or(Duration::ZERO, ServerLoad::mean)
    }

    /// Order of servers that may all answer a request: the least running and waiting first, of equal
    /// ones the one that has run least lately.
    pub fn load_score(&self, server: &ServerName, now: MonoTime) -> u32 {
        let Some(load) = self.servers.get(server) else {
            return 0;
        };
        let held = (load.running as usize + load.queue.len()).min(0xff) as u32;
        let recent = (load.recent(now) >> 2).min(0xff_ffff) as u32;
        held << 24 | recent
    }

    fn load(&mut self, server: &ServerName) -> &mut ServerLoad {
        if !self.servers.contains_key(server) {
            self.servers.insert(server.clone(), ServerLoad::default());
        }
        &mut self.servers[server]
    }
}

impl ServerLoad {
    /// Time in which the weight of what ran before halves.
    const HALF_LIFE: Duration = Duration::from_millis(500);

    fn recent(&self, now: MonoTime) -> u64 {
        let elapsed = now.since(self.recent_at).as_micros() as f64;
        let halvings = elapsed / Self::HALF_LIFE.as_micros() as f64;
        (self.recent_us as f64 * (-halvings).exp2()) as u64
    }

    /// Why a request may not wait; none when it may.
    fn fault_of(
        &self,
        request: &WaitingRequest,
        limit: SlotLimit,
        slots: u32,
        now: MonoTime,
    ) -> Option<RefusalReason> {
        let ahead = self.queue.ahead_of(request.priority);
        let turn = self.queue.turn_of(&request.caller, request.priority);
        let wait = self.expected_wait(turn, slots);
        let own = self.queue.share_of(&request.caller, request.priority);
        if now.after(wait + self.mean()) > request.deadline {
            return Some(RefusalReason::DeadlineBeforeSend);
        }
        if own >= (limit.max_queued / AdmissionTable::CALLER_SHARE).max(1) {
            return Some(RefusalReason::CallerLimit);
        }
        (ahead >= limit.max_queued || wait > limit.max_wait).then_some(RefusalReason::Overloaded)
    }

    /// Time that the slots need for the requests refused before, to which one is added.
    fn refused(&mut self, slots: u32, now: MonoTime) -> Duration {
        let slots = u64::from(slots.max(1));
        let worked = now.since(self.refused_at).as_micros() as u64 * slots;
        self.refused_us = self.refused_us.saturating_sub(worked) + self.mean_us;
        self.refused_at = now;
        Duration::from_micros(self.refused_us / slots)
    }

    fn mean(&self) -> Duration {
        Duration::from_micros(self.mean_us)
    }

    /// Expected time until a request behind `ahead` others gets a slot.
    fn expected_wait(&self, ahead: usize, slots: u32) -> Duration {
        let rounds = ahead as u64 + 1;
        Duration::from_micros(self.mean_us * rounds / u64::from(slots.max(1)))
    }
}
