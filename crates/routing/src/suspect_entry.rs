//! Crashes of servers under one request content, and its quarantine.

use crate::prelude::*;

/// How a request that may have crashed servers is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStanding {
    /// Like any other request.
    Clear,
    /// Crashed servers before: only one copy runs at a time, and it is not retried.
    Suspect,
    /// Like `Suspect`, while another copy runs. It is worth coming back after this time.
    Busy(Duration),
    /// In quarantine. The next trial is due after this time.
    Held(Duration),
    /// In quarantine; one copy may run as the trial with this number.
    TrialDue(u32),
}

/// Crashes under one request content.
#[derive(Clone, Debug)]
pub(crate) struct SuspectEntry {
    pub(crate) target: TargetHash,
    pub(crate) is_keyed: bool,
    pub(crate) marks: IndexMap<IncarnationHash, CrashMark>,
    pub(crate) quarantine: Option<QuarantineStage>,
    /// Copies that run at this instance.
    pub(crate) running: usize,
}

/// Crash of one server under the request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrashMark {
    pub(crate) at: MonoTime,
    /// Whether this instance saw the crash, or found that it does not count.
    pub(crate) is_own: bool,
    pub(crate) verdict: CrashVerdict,
    /// Time until which the others are told of the latest change.
    pub(crate) told_until: MonoTime,
}

/// Quarantine of the request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuarantineStage {
    /// Trials so far.
    pub(crate) trials: u32,
    /// When this instance learnt of the quarantine or of its latest trial.
    pub(crate) since: MonoTime,
    pub(crate) storage: StageStorage,
}

/// Whether the store's record contains a quarantine and all of its trials.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StageStorage {
    /// It has not been written yet.
    Pending,
    /// The record contains it.
    Stored,
    /// The store has lost it, or a trial of it, by a restore from an older copy.
    Lost,
}

impl SuspectEntry {
    /// Crashes after which a request is quarantined.
    pub(crate) const MAX_CRASHES: usize = 3;
    /// Crashes from which on only one copy runs at a time.
    const SUSPECT_CRASHES: usize = 2;
    /// Time for which a crash counts. Long, since an answer of a server voids it at once.
    const MARK_LIFETIME: Duration = Duration::from_secs(600);
    /// Time for which a crash that does not count is remembered, so that late reports do not
    /// bring it up again.
    const VOID_LIFETIME: Duration = Duration::from_secs(30);
    /// Shortest time between two crashes of one server; reports of one crash come within it.
    const RESTART_TIME: Duration = Duration::from_millis(500);
    /// Largest number of crashes under a request that one heartbeat tells of.
    const MAX_TOLD: usize = 4;
    /// `Retry-After` while another copy runs.
    const BUSY_PAUSE: Duration = Duration::from_millis(250);
    /// Time before each trial. The first comes soon, for requests that were only in the company of
    /// the one that crashes servers.
    const TRIAL_DELAYS: [Duration; 4] = [
        Duration::from_millis(500),
        Duration::from_secs(15),
        Duration::from_secs(120),
        Duration::from_secs(3_600),
    ];
    /// First entry of `TRIAL_DELAYS` for requests with a key: each trial may cost the key's owner.
    const FIRST_KEYED_DELAY: usize = 1;

    pub(crate) fn new(target: TargetHash, is_keyed: bool) -> Self {
        Self {
            target,
            is_keyed,
            marks: IndexMap::new(),
            quarantine: None,
            running: 0,
        }
    }

    /// Number of crashes that count.
    pub(crate) fn crashes(&self) -> usize {
        let counts = |mark: &&CrashMark| mark.verdict == CrashVerdict::Crashed;
        self.marks.values().filter(counts).count()
    }

    /// Whether a crash of the server is known that the one at `now` comes after.
    pub(crate) fn has_earlier_crash(&self, server: IncarnationHash, now: MonoTime) -> bool {
        let known = self.marks.get(&server);
        known.is_some_and(|mark| now.since(mark.at) >= Self::RESTART_TIME)
    }

    /// Replaces the verdict on the crashes that it concerns and tells the others.
    pub(crate) fn set_verdict(
        &mut self,
        verdict: CrashVerdict,
        told_until: MonoTime,
        concerns: impl Fn(&IncarnationHash, &CrashMark) -> bool,
    ) -> bool {
        let mut has_changed = false;
        for (server, mark) in &mut self.marks {
            if mark.verdict < verdict && concerns(server, mark) {
                mark.verdict = verdict;
                mark.is_own = true;
                mark.told_until = told_until;
                has_changed = true;
            }
        }
        has_changed
    }

    pub(crate) fn standing(&self, now: MonoTime) -> RequestStanding {
        if let Some(stage) = &self.quarantine {
            let pause = self.trial_delay(stage.trials);
            let due_at = stage.since.after(pause);
            let is_stored = stage.storage == StageStorage::Stored;
            return match now >= due_at && is_stored {
                true => RequestStanding::TrialDue(stage.trials),
                false => RequestStanding::Held(due_at.since(now).max(Self::BUSY_PAUSE)),
            };
        }
        match (self.crashes() >= Self::SUSPECT_CRASHES, self.running) {
            (false, _) => RequestStanding::Clear,
            (true, 0) => RequestStanding::Suspect,
            (true, _) => RequestStanding::Busy(Self::BUSY_PAUSE),
        }
    }

    fn trial_delay(&self, trials: u32) -> Duration {
        let first = match self.is_keyed {
            true => Self::FIRST_KEYED_DELAY,
            false => 0,
        };
        let position = first + trials as usize;
        Self::TRIAL_DELAYS[position.min(Self::TRIAL_DELAYS.len() - 1)]
    }

    /// Crashes to tell other instances of: the latest ones, and only one if a server has answered
    /// the request. With `passes_on`, also those that other instances told of.
    pub(crate) fn told_marks(
        &self,
        passes_on: bool,
        now: MonoTime,
    ) -> impl Iterator<Item = (&IncarnationHash, &CrashMark)> {
        // Only the store tells instances that start of a quarantine.
        let is_unstored = self
            .quarantine
            .is_some_and(|stage| stage.storage != StageStorage::Stored);
        let max = match self.crashes() {
            0 => 1,
            _ => Self::MAX_TOLD,
        };
        let is_told = move |mark: &CrashMark| match passes_on {
            true => {
                let counts = mark.verdict == CrashVerdict::Crashed;
                is_unstored && counts || mark.told_until > now
            }
            false => mark.is_own && mark.told_until > now,
        };
        let told = self.marks.iter().rev();
        told.filter(move |(_, mark)| is_told(mark)).take(max)
    }

    /// Starts the quarantine if enough servers have crashed; returns whether it starts now.
    pub(crate) fn quarantine_if_due(&mut self, now: MonoTime) -> bool {
        let is_due = self.quarantine.is_none() && self.crashes() >= Self::MAX_CRASHES;
        if is_due {
            self.quarantine = Some(QuarantineStage {
                trials: 0,
                since: now,
                storage: StageStorage::Pending,
            });
        }
        is_due
    }

    /// Drops crashes that are too old to count.
    pub(crate) fn drop_expired(&mut self, now: MonoTime) {
        self.marks.retain(|_, mark| match mark.verdict {
            CrashVerdict::Crashed => now.since(mark.at) < Self::MARK_LIFETIME,
            _ => now.since(mark.told_until) < Self::VOID_LIFETIME,
        });
    }

    /// Whether nothing is left that needs this entry.
    pub(crate) fn is_empty(&self) -> bool {
        let was_stored = self
            .quarantine
            .is_some_and(|stage| stage.storage != StageStorage::Pending);
        self.marks.is_empty() && !was_stored && self.running == 0
    }
}
