//! Admission control for the slots of servers.
//!
//! The leader of a part counts each request that it has sent to a server until it sees the request
//! end, so that no server runs more requests than it has slots. A request is refused at once when
//! its answer is expected after its deadline, judged by the mean run time of requests at the
//! server.

use crate::prelude::*;

/// Occupied slots and queued requests of each server of a part.
#[derive(Clone, Debug, Default)]
pub struct AdmissionTable {
    servers: IndexMap<ServerName, ServerLoad>,
}

/// Limits on the requests that run at a server and that wait for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotLimit {
    /// Most requests that run at once.
    pub slots: u32,
    /// Number of waiting requests of the same or a higher priority at which a request is refused.
    pub max_queued: usize,
    /// Longest expected wait of a request that is queued.
    pub max_wait: Duration,
}

/// Admission decision for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionStep {
    /// Send the request now; it occupies a slot.
    Start,
    /// Keep the request until [`AdmissionTable::dequeue`] returns its ticket.
    Wait,
    /// Refuse the request; a slot is expected to be free after `retry_after`.
    Refuse {
        /// Reason given to the caller.
        reason: RefusalReason,
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
}

/// Decision for a request taken from the queue, named by its ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DequeueStep {
    /// Send the request now; it occupies a slot.
    Start(u64),
    /// Refuse the request, because its answer is expected after its deadline.
    Expire(u64),
}

/// How a request that occupied a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotEnd {
    /// The server answered after this run time.
    Answered(Duration),
    /// The server refused the request because of its load.
    Shed,
    /// The request ended without an answer or a refusal.
    Failed,
}

#[derive(Clone, Debug, Default)]
struct ServerLoad {
    running: u32,
    queue: ServerQueue,
    shed_limit: ShedLimit,
    /// Moving average of the run time of answered requests; 0 until the first answer.
    mean_run_us: u64,
    /// Sum of the run times of answered requests as of `recent_run_at`, halved every
    /// [`ServerLoad::HALF_LIFE`].
    recent_run_us: u64,
    recent_run_at: MonoTime,
    /// Slot time, as of `refused_work_at`, that refused requests are expected to need when their
    /// callers retry.
    refused_work_us: u64,
    refused_work_at: MonoTime,
}

impl AdmissionTable {
    /// Divisor of [`SlotLimit::max_queued`] that gives the places one caller may fill.
    pub const CALLER_QUEUE_DIVISOR: usize = 2;
    /// Shortest delay after which a refused caller is asked to retry.
    const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
    /// Longest delay after which a refused caller is asked to retry.
    const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

    /// Decides whether a request starts, waits or is refused, and counts or queues it accordingly.
    pub fn admit(
        &mut self,
        server: &ServerName,
        request: WaitingRequest,
        limit: SlotLimit,
        now: MonoTime,
    ) -> AdmissionStep {
        let load = self.load_mut(server);
        let slots = load.shed_limit.effective_slots(limit.slots);
        if load.running < slots && load.queue.is_empty() {
            load.running += 1;
            return AdmissionStep::Start;
        }
        let Some(reason) = load.refusal_reason(&request, limit, slots, now) else {
            load.queue.push(request);
            return AdmissionStep::Wait;
        };
        let wait = load.expected_wait(load.queue.waiting_at_or_above(request.priority), slots);
        let retry_after = wait + load.add_refused_work(slots, now);
        AdmissionStep::Refuse {
            reason,
            retry_after: retry_after.clamp(Self::MIN_RETRY_AFTER, Self::MAX_RETRY_AFTER),
        }
    }

    /// Frees the slot of a request that ended and updates the server's run times and limit.
    pub fn finish(&mut self, server: &ServerName, end: SlotEnd, limit: SlotLimit, now: MonoTime) {
        let load = self.load_mut(server);
        match end {
            SlotEnd::Answered(took) => {
                load.shed_limit.record_answer(limit.slots);
                let took = took.as_micros() as u64;
                load.recent_run_us = load.decayed_run_us(now) + took;
                load.recent_run_at = now;
                load.mean_run_us = match load.mean_run_us {
                    0 => took,
                    mean => (mean * 7 + took) / 8,
                };
            }
            SlotEnd::Shed => load
                .shed_limit
                .record_refusal(load.running, limit.slots, now),
            SlotEnd::Failed => {}
        }
        load.running = load.running.saturating_sub(1);
    }

    /// Takes the next request out of the queue; call it repeatedly until it returns `None`.
    pub fn dequeue(
        &mut self,
        server: &ServerName,
        limit: SlotLimit,
        now: MonoTime,
    ) -> Option<DequeueStep> {
        let load = self.servers.get_mut(server)?;
        if load.running >= load.shed_limit.effective_slots(limit.slots) {
            return None;
        }
        let request = load.queue.pop()?;
        if now.after(load.mean_run_time()) > request.deadline {
            return Some(DequeueStep::Expire(request.ticket));
        }
        load.running += 1;
        Some(DequeueStep::Start(request.ticket))
    }

    /// Removes a waiting request; returns false when the queue does not hold it.
    pub fn cancel(&mut self, server: &ServerName, ticket: u64) -> bool {
        let load = self.servers.get_mut(server);
        load.is_some_and(|load| load.queue.remove(ticket))
    }

    /// Returns the number of requests running at `server`.
    pub fn running(&self, server: &ServerName) -> u32 {
        self.servers.get(server).map_or(0, |load| load.running)
    }

    /// Returns the number of requests waiting for `server`.
    pub fn waiting(&self, server: &ServerName) -> usize {
        let load = self.servers.get(server);
        load.map_or(0, |load| load.queue.len())
    }

    /// Returns the mean run time of requests at `server`, or zero before the first answer.
    pub fn mean_run_time(&self, server: &ServerName) -> Duration {
        let load = self.servers.get(server);
        load.map_or(Duration::ZERO, ServerLoad::mean_run_time)
    }

    /// Returns a sort key that puts the least loaded server first.
    ///
    /// The number of running and waiting requests counts first, then the recent run time.
    pub fn load_score(&self, server: &ServerName, now: MonoTime) -> u32 {
        let Some(load) = self.servers.get(server) else {
            return 0;
        };
        let outstanding = (load.running as usize + load.queue.len()).min(0xff) as u32;
        let recent = (load.decayed_run_us(now) >> 2).min(0xff_ffff) as u32;
        outstanding << 24 | recent
    }

    fn load_mut(&mut self, server: &ServerName) -> &mut ServerLoad {
        if !self.servers.contains_key(server) {
            self.servers.insert(server.clone(), ServerLoad::default());
        }
        &mut self.servers[server]
    }
}

impl ServerLoad {
    /// Time in which the weight of earlier run times halves.
    const HALF_LIFE: Duration = Duration::from_millis(500);

    fn decayed_run_us(&self, now: MonoTime) -> u64 {
        let elapsed = now.since(self.recent_run_at).as_micros() as f64;
        let halvings = elapsed / Self::HALF_LIFE.as_micros() as f64;
        (self.recent_run_us as f64 * (-halvings).exp2()) as u64
    }

    /// Returns why a request may not be queued, or `None` when it may.
    fn refusal_reason(
        &self,
        request: &WaitingRequest,
        limit: SlotLimit,
        slots: u32,
        now: MonoTime,
    ) -> Option<RefusalReason> {
        let waiting = self.queue.waiting_at_or_above(request.priority);
        let starts_before = self.queue.starts_before(&request.caller, request.priority);
        let wait = self.expected_wait(starts_before, slots);
        let waiting_of_caller = self
            .queue
            .waiting_of_caller(&request.caller, request.priority);
        if now.after(wait + self.mean_run_time()) > request.deadline {
            return Some(RefusalReason::DeadlineBeforeSend);
        }
        if waiting_of_caller >= (limit.max_queued / AdmissionTable::CALLER_QUEUE_DIVISOR).max(1) {
            return Some(RefusalReason::CallerLimit);
        }
        (waiting >= limit.max_queued || wait > limit.max_wait).then_some(RefusalReason::Overloaded)
    }

    /// Adds one request to the refused work and returns the time that the slots need for all of it.
    fn add_refused_work(&mut self, slots: u32, now: MonoTime) -> Duration {
        let slots = u64::from(slots.max(1));
        let completed_us = now.since(self.refused_work_at).as_micros() as u64 * slots;
        self.refused_work_us = self.refused_work_us.saturating_sub(completed_us) + self.mean_run_us;
        self.refused_work_at = now;
        Duration::from_micros(self.refused_work_us / slots)
    }

    fn mean_run_time(&self) -> Duration {
        Duration::from_micros(self.mean_run_us)
    }

    /// Returns the expected time until a request that starts after `ahead` others gets a slot.
    fn expected_wait(&self, ahead: usize, slots: u32) -> Duration {
        let rounds = ahead as u64 + 1;
        Duration::from_micros(self.mean_run_us * rounds / u64::from(slots.max(1)))
    }
}
