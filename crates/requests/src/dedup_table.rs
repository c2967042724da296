//! Deduplication of requests by id, so that a request that may not be repeated runs at most once.
//!
//! Ids are version 7 UUIDs, and their timestamps bound the table: a request whose id is older than
//! the floor is refused, because the table may have dropped an earlier run of it. The floor rises
//! as the retention time passes, when the table drops entries to stay within its limit, and at a
//! change of leader when the table of the former leader could not be collected completely.

use crate::prelude::*;

/// Recent requests of one part, with answers of type `A`.
#[derive(Clone, Debug)]
pub struct DedupTable<A> {
    limits: DedupLimits,
    entries: BTreeMap<Uuid, DedupEntry<A>>,
    /// Ids whose answer was recorded, in the order of recording.
    recorded_ids: VecDeque<Uuid>,
    recorded_bytes: usize,
    floor_ms: u64,
    last_attempt: u64,
}

/// Request whose id is looked up before it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DedupQuery {
    /// Id of the request.
    pub id: Uuid,
    /// Digest of the request's content and caller.
    pub digest: u128,
    /// Whether the id was generated for this attempt, so that no earlier attempt can exist.
    pub is_first_attempt: bool,
}

/// Decision on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DedupStep<A> {
    /// Run the request and report its end under this attempt number.
    Run {
        /// Number of the attempt.
        attempt: u64,
    },
    /// Send the recorded answer, because the request ran before.
    Answer(A),
    /// Refuse the request.
    Refuse(RefusalNotice),
}

impl<A: Clone> DedupTable<A> {
    /// Delay after which a caller may retry a request that is still running.
    const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);

    /// Creates an empty table with a floor of 0, as for a part that has not run any request yet.
    pub fn new(limits: DedupLimits) -> Self {
        Self {
            limits,
            entries: BTreeMap::new(),
            recorded_ids: VecDeque::new(),
            recorded_bytes: 0,
            floor_ms: 0,
            last_attempt: 0,
        }
    }

    /// Returns the timestamp of a version 7 id in milliseconds since the Unix epoch, or `None` for
    /// any other id.
    pub fn created_at_ms(id: Uuid) -> Option<u64> {
        (id.get_version_num() == 7).then_some((id.as_u128() >> 80) as u64)
    }

    /// Decides on a request and adds it as running when the decision is to run it.
    pub fn begin(&mut self, query: DedupQuery, now_ms: u64) -> DedupStep<A> {
        self.expire(now_ms);
        if let Some(entry) = self.entries.get(&query.id) {
            return Self::decide_repeat(entry, query.digest);
        }
        let Some(created_at_ms) = Self::created_at_ms(query.id) else {
            return DedupStep::Refuse(RefusalNotice::not_run(RefusalReason::BadRequest));
        };
        if !query.is_first_attempt && created_at_ms < self.floor_ms {
            return DedupStep::Refuse(RefusalNotice::may_have_run(RefusalReason::OutcomeForgotten));
        }
        if !query.is_first_attempt
            && created_at_ms > now_ms + self.limits.max_clock_skew.as_millis() as u64
        {
            return DedupStep::Refuse(RefusalNotice::not_run(RefusalReason::BadRequest));
        }
        self.last_attempt += 1;
        let attempt = self.last_attempt;
        let entry = DedupEntry {
            digest: query.digest,
            attempt,
            stage: RunStage::Running,
        };
        self.entries.insert(query.id, entry);
        self.enforce_limits();
        DedupStep::Run { attempt }
    }

    fn decide_repeat(entry: &DedupEntry<A>, digest: u128) -> DedupStep<A> {
        let refuse = |reason, outcome, retry_after| {
            DedupStep::Refuse(RefusalNotice {
                reason,
                outcome,
                retry_after,
            })
        };
        if entry.digest != digest {
            return refuse(RefusalReason::IdReused, RunOutcome::NotRun, None);
        }
        match &entry.stage {
            RunStage::Running => refuse(
                RefusalReason::InProgress,
                RunOutcome::Unknown,
                Some(Self::IN_PROGRESS_RETRY_AFTER),
            ),
            RunStage::Unclear => refuse(RefusalReason::OutcomeForgotten, RunOutcome::Unknown, None),
            RunStage::Ran(None) => refuse(RefusalReason::AnswerNotKept, RunOutcome::Ran, None),
            RunStage::Ran(Some(recorded)) => DedupStep::Answer(recorded.answer.clone()),
        }
    }

    /// Removes an attempt that certainly did not run, unless a later attempt has replaced it.
    pub fn withdraw(&mut self, id: Uuid, attempt: u64) {
        let is_current = self
            .entries
            .get(&id)
            .is_some_and(|entry| entry.attempt == attempt);
        if is_current {
            self.remove(id);
        }
    }

    /// Replaces the entry of a request by a newer one; an entry that is not newer is ignored.
    pub fn merge(&mut self, id: Uuid, mut entry: DedupEntry<A>) {
        self.last_attempt = self.last_attempt.max(entry.attempt);
        if let RunStage::Ran(recorded) = &mut entry.stage {
            recorded.take_if(|recorded| recorded.bytes > self.limits.max_answer_bytes);
        }
        if let Some(present) = self.entries.get(&id) {
            if present.precedence() >= entry.precedence() {
                return;
            }
            self.remove(id);
        }
        if let RunStage::Ran(Some(recorded)) = &entry.stage {
            self.recorded_bytes += recorded.bytes;
            self.recorded_ids.push_back(id);
        }
        self.entries.insert(id, entry);
        self.enforce_limits();
    }

    /// Records how an attempt ended, unless a later attempt has replaced it.
    pub fn finish(&mut self, id: Uuid, attempt: u64, stage: RunStage<A>) {
        let digest = match self.entries.get(&id) {
            Some(entry) if entry.attempt == attempt => entry.digest,
            _ => return,
        };
        let entry = DedupEntry {
            digest,
            attempt,
            stage,
        };
        self.merge(id, entry);
    }

    /// Marks running requests as unclear, because a new leader does not know how their attempts
    /// ended.
    pub fn mark_running_unclear(&mut self) {
        for entry in self.entries.values_mut() {
            if matches!(entry.stage, RunStage::Running) {
                entry.stage = RunStage::Unclear;
            }
        }
    }

    /// Raises the floor to `floor_ms`, unless it is higher already.
    pub fn raise_floor(&mut self, floor_ms: u64) {
        self.floor_ms = self.floor_ms.max(floor_ms);
    }

    /// Raises the floor above every id that can have been accepted up to `now_ms`.
    pub fn raise_floor_past(&mut self, now_ms: u64) {
        self.raise_floor(now_ms + self.limits.max_clock_skew.as_millis() as u64 + 1);
    }

    /// Returns the floor in milliseconds since the Unix epoch; requests with older ids are refused.
    pub fn floor_ms(&self) -> u64 {
        self.floor_ms
    }

    /// Returns up to `count` entries with ids greater than `after`, in ascending order.
    pub fn page(&self, after: Option<Uuid>, count: usize) -> Vec<(Uuid, DedupEntry<A>)> {
        let lower_bound = match after {
            Some(id) => std::ops::Bound::Excluded(id),
            None => std::ops::Bound::Unbounded,
        };
        self.entries
            .range((lower_bound, std::ops::Bound::Unbounded))
            .take(count)
            .map(|(id, entry)| (*id, entry.clone()))
            .collect()
    }

    /// Returns the entry of `id`.
    pub fn get(&self, id: Uuid) -> Option<&DedupEntry<A>> {
        self.entries.get(&id)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the total size of the recorded answers in bytes.
    pub fn recorded_bytes(&self) -> usize {
        self.recorded_bytes
    }

    /// Raises the floor to the start of the retention time and removes older entries.
    fn expire(&mut self, now_ms: u64) {
        let retention_ms = self.limits.retention.as_millis() as u64;
        self.raise_floor(now_ms.saturating_sub(retention_ms));
        while let Some((id, _)) = self.entries.first_key_value()
            && Self::created_at_ms(*id)
                .is_none_or(|created_at_ms| created_at_ms + retention_ms < now_ms)
        {
            let id = *id;
            self.remove(id);
        }
    }

    /// Drops the oldest entries and recorded answers that exceed the limits.
    fn enforce_limits(&mut self) {
        while self.entries.len() > self.limits.max_entries {
            let Some((id, _)) = self.entries.first_key_value() else {
                break;
            };
            let id = *id;
            self.raise_floor(Self::created_at_ms(id).unwrap_or_default() + 1);
            self.remove(id);
        }
        while self.recorded_bytes > self.limits.max_recorded_bytes {
            let Some(id) = self.recorded_ids.pop_front() else {
                break;
            };
            if let Some(RunStage::Ran(recorded)) =
                self.entries.get_mut(&id).map(|entry| &mut entry.stage)
                && let Some(recorded) = recorded.take()
            {
                self.recorded_bytes -= recorded.bytes;
            }
        }
    }

    fn remove(&mut self, id: Uuid) {
        if let Some(entry) = self.entries.remove(&id)
            && let RunStage::Ran(Some(recorded)) = entry.stage
        {
            self.recorded_bytes -= recorded.bytes;
        }
        while let Some(oldest) = self.recorded_ids.front()
            && !self.entries.contains_key(oldest)
        {
            self.recorded_ids.pop_front();
        }
    }
}
