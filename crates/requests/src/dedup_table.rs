//! Memory of request ids, so that a request which may not be repeated runs at most once.
//!
//! Ids are version 7 UUIDs. Their timestamp bounds the memory: an id below the floor is never run,
//! because a run of it may have been forgotten. The floor rises with the window, with the bound on
//! entries, and at a change of leader whose memory could not be collected whole.

use crate::prelude::*;

/// Remembered requests of one part, with answers of type `A`.
#[derive(Clone, Debug)]
pub struct DedupTable<A> {
    bounds: DedupLimits,
    entries: BTreeMap<Uuid, DedupEntry<A>>,
    /// Ids with a recorded answer, oldest recording first.
    recorded: VecDeque<Uuid>,
    recorded_bytes: usize,
    floor_ms: u64,
    last_attempt: u64,
}

/// A request that asks to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DedupQuery {
    /// Request's id.
    pub id: Uuid,
    /// Digest of the request's content and caller.
    pub digest: u128,
    /// Whether the id was made for this very attempt, so that no earlier one can exist.
    pub is_first_attempt: bool,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DedupStep<A> {
    /// Run it; the outcome is reported under this attempt.
    Run {
        /// Number of the attempt.
        attempt: u64,
    },
    /// It ran before: give the recorded answer.
    Answer(A),
    /// Refuse it.
    Refuse(RefusalNotice),
}

impl<A: Clone> DedupTable<A> {
    /// When a caller may ask again about a request that is still running.
    const IN_PROGRESS_RETRY: Duration = Duration::from_secs(1);

    /// Empty memory that is complete from the beginning.
    pub fn new(bounds: DedupLimits) -> Self {
        Self {
            bounds,
            entries: BTreeMap::new(),
            recorded: VecDeque::new(),
            recorded_bytes: 0,
            floor_ms: 0,
            last_attempt: 0,
        }
    }

    /// Milliseconds since the Unix epoch at which a version 7 id was made.
    pub fn made_at_ms(id: Uuid) -> Option<u64> {
        (id.get_version_num() == 7).then_some((id.as_u128() >> 80) as u64)
    }

    /// Decides on a request and remembers it as running when it is to run.
    pub fn begin(&mut self, query: DedupQuery, now_ms: u64) -> DedupStep<A> {
        self.expire(now_ms);
        if let Some(entry) = self.entries.get(&query.id) {
            return Self::repeat(entry, query.digest);
        }
        let Some(made_at) = Self::made_at_ms(query.id) else {
            return DedupStep::Refuse(RefusalNotice::not_run(RefusalReason::BadRequest));
        };
        if !query.is_first_attempt && made_at < self.floor_ms {
            return DedupStep::Refuse(RefusalNotice::may_have_run(RefusalReason::OutcomeForgotten));
        }
        if !query.is_first_attempt && made_at > now_ms + self.bounds.ahead.as_millis() as u64 {
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
        self.shrink();
        DedupStep::Run { attempt }
    }

    fn repeat(entry: &DedupEntry<A>, digest: u128) -> DedupStep<A> {
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
                Some(Self::IN_PROGRESS_RETRY),
            ),
            RunStage::Unclear => refuse(RefusalReason::OutcomeForgotten, RunOutcome::Unknown, None),
            RunStage::Ran(None) => refuse(RefusalReason::AnswerNotKept, RunOutcome::Ran, None),
            RunStage::Ran(Some(kept)) => DedupStep::Answer(kept.answer.clone()),
        }
    }

    /// Forgets an attempt that surely did not run; a later attempt is left alone.
    pub fn withdraw(&mut self, id: Uuid, attempt: u64) {
        let matches = self
            .entries
            .get(&id)
            .is_some_and(|entry| entry.attempt == attempt);
        if matches {
            self.remove(id);
        }
    }

    /// Takes in what is known of a request, unless more is known already.
    pub fn merge(&mut self, id: Uuid, mut entry: DedupEntry<A>) {
        self.last_attempt = self.last_attempt.max(entry.attempt);
        if let RunStage::Ran(kept) = &mut entry.stage {
            kept.take_if(|kept| kept.bytes > self.bounds.answer_bytes);
        }
        if let Some(known) = self.entries.get(&id) {
            if known.precedence() >= entry.precedence() {
                return;
            }
            self.remove(id);
        }
        if let RunStage::Ran(Some(kept)) = &entry.stage {
            self.recorded_bytes += kept.bytes;
            self.recorded.push_back(id);
        }
        self.entries.insert(id, entry);
        self.shrink();
    }

    /// Notes how an attempt ended.
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

    /// Counts requests that another leader left running as unclear.
    pub fn mark_running_unclear(&mut self) {
        for entry in self.entries.values_mut() {
            if matches!(entry.stage, RunStage::Running) {
                entry.stage = RunStage::Unclear;
            }
        }
    }

    /// Raises the floor to `made_at_ms`.
    pub fn raise_floor(&mut self, made_at_ms: u64) {
        self.floor_ms = self.floor_ms.max(made_at_ms);
    }

    /// Raises the floor above every id that can have been accepted up to now.
    pub fn raise_floor_past(&mut self, now_ms: u64) {
        self.raise_floor(now_ms + self.bounds.ahead.as_millis() as u64 + 1);
    }

    /// Ids made earlier are not run, in milliseconds since the Unix epoch.
    pub fn floor_ms(&self) -> u64 {
        self.floor_ms
    }

    /// Up to `count` remembered requests after the id `after`, in order.
    pub fn page(&self, after: Option<Uuid>, count: usize) -> Vec<(Uuid, DedupEntry<A>)> {
        let from = match after {
            Some(id) => std::ops::Bound::Excluded(id),
            None => std::ops::Bound::Unbounded,
        };
        self.entries
            .range((from, std::ops::Bound::Unbounded))
            .take(count)
            .map(|(id, entry)| (*id, entry.clone()))
            .collect()
    }

    /// What is remembered of `id`.
    pub fn get(&self, id: Uuid) -> Option<&DedupEntry<A>> {
        self.entries.get(&id)
    }

    /// Number of remembered requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of recorded answers.
    pub fn recorded_bytes(&self) -> usize {
        self.recorded_bytes
    }

    fn expire(&mut self, now_ms: u64) {
        let window = self.bounds.window.as_millis() as u64;
        self.raise_floor(now_ms.saturating_sub(window));
        while let Some((id, _)) = self.entries.first_key_value()
            && Self::made_at_ms(*id).is_none_or(|made_at| made_at + window < now_ms)
        {
            let id = *id;
            self.remove(id);
        }
    }

    fn shrink(&mut self) {
        while self.entries.len() > self.bounds.entries {
            let Some((id, _)) = self.entries.first_key_value() else {
                break;
            };
            let id = *id;
            self.raise_floor(Self::made_at_ms(id).unwrap_or_default() + 1);
            self.remove(id);
        }
        while self.recorded_bytes > self.bounds.bytes {
            let Some(id) = self.recorded.pop_front() else {
                break;
            };
            if let Some(RunStage::Ran(kept)) = self.entries.get_mut(&id).map(|e| &mut e.stage)
                && let Some(kept) = kept.take()
            {
                self.recorded_bytes -= kept.bytes;
            }
        }
    }

    fn remove(&mut self, id: Uuid) {
        if let Some(entry) = self.entries.remove(&id)
            && let RunStage::Ran(Some(kept)) = entry.stage
        {
            self.recorded_bytes -= kept.bytes;
        }
        while let Some(recorded) = self.recorded.front()
            && !self.entries.contains_key(recorded)
        {
            self.recorded.pop_front();
        }
    }
}
