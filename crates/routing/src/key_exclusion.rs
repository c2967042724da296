//! Which servers get no keys because of how they answer orders, and when they are asked again.
//!
//! An excluded server loses its keys, and without keys it gets no grants. Its exclusion would
//! therefore never end if only the answers to grants could end it: it is asked by probes, few at a
//! time and ever more rarely, until it answers one.

use crate::prelude::*;

/// Why a server gets no keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyExclusion {
    /// It has ended.
    Ended,
    /// It leaves orders unanswered; ends with an answer.
    Unresponsive,
    /// It calls orders invalid although it had accepted others; ends with an accepted order.
    Rejecting,
    /// A connection to it broke a short time ago.
    Broken,
}

impl KeyExclusion {
    /// Value of the `reason` field in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Unresponsive => "unresponsive",
            Self::Rejecting => "rejecting",
            Self::Broken => "broken",
        }
    }

    /// Whether only an order that the server answers ends the exclusion.
    pub fn needs_probe(self) -> bool {
        match self {
            Self::Unresponsive | Self::Rejecting => true,
            Self::Ended | Self::Broken => false,
        }
    }
}

/// Beginning or end of a server's exclusion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExclusionChange {
    /// The server.
    pub server: ServerIncarnation,
    /// Why it gets no keys, or got none.
    pub reason: KeyExclusion,
    /// Time after which it may get keys again, `None` at the beginning.
    pub ended_after: Option<Duration>,
}

/// Excluded servers of one service, and when each was last probed.
#[derive(Clone, Debug, Default)]
pub struct ExclusionTable {
    servers: IndexMap<ServerIncarnation, ExcludedServer>,
}

#[derive(Clone, Debug, Default)]
struct ExcludedServer {
    /// Reason and start of the present exclusion.
    current: Option<(KeyExclusion, MonoTime)>,
    /// Probes sent, each within `FORGET_TIME` of the one before.
    probes: u32,
    probed_at: MonoTime,
}

impl ExcludedServer {
    fn is_remembered(&self, now: MonoTime) -> bool {
        let is_recent = now.since(self.probed_at) < ExclusionTable::FORGET_TIME;
        self.current.is_some() || self.probes > 0 && is_recent
    }

    fn begin_probe(&mut self, now: MonoTime) {
        if now.since(self.probed_at) >= ExclusionTable::FORGET_TIME {
            self.probes = 0;
        }
        self.probes += 1;
        self.probed_at = now;
    }

    /// Time at which the next probe is due, if the exclusion needs one.
    fn probe_due_at(&self, urgency: ProbeUrgency) -> Option<MonoTime> {
        let (exclusion, since) = self.current?;
        let interval = match urgency {
            ProbeUrgency::Urgent => ExclusionTable::URGENT_INTERVAL,
            ProbeUrgency::Usual => {
                let doublings = self.probes.min(ExclusionTable::MAX_DOUBLINGS);
                ExclusionTable::FIRST_INTERVAL * 2_u32.pow(doublings)
            }
        };
        let due_at = since.max(self.probed_at).after(interval);
        exclusion.needs_probe().then_some(due_at)
    }
}

/// How soon excluded servers are wanted back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeUrgency {
    /// Other servers own their keys.
    Usual,
    /// No other server may own keys.
    Urgent,
}

impl ExclusionTable {
    /// Time from the start of an exclusion to the first probe; doubled after each probe.
    const FIRST_INTERVAL: Duration = Duration::from_secs(2);
    /// Number of doublings of that time.
    const MAX_DOUBLINGS: u32 = 3;
    /// Time between probes while no server may own keys.
    const URGENT_INTERVAL: Duration = Duration::from_millis(600);
    /// Time without a probe after which earlier ones no longer delay the next.
    const FORGET_TIME: Duration = Duration::from_secs(60);
    /// Number of probes that may begin at once in any service.
    const MIN_PROBES: usize = 8;
    /// Of so many excluded servers one may be probed at once: all of them within five seconds at the
    /// planner's interval.
    const SERVERS_PER_PROBE: usize = 16;

    /// Applies the present state of all servers; returns what has changed. Servers that are not
    /// among `states` are forgotten.
    pub fn update<'a>(
        &mut self,
        states: impl Iterator<Item = (&'a ServerIncarnation, Option<KeyExclusion>)>,
        now: MonoTime,
    ) -> Vec<ExclusionChange> {
        let mut changes = Vec::new();
        let mut updated = IndexMap::new();
        for (incarnation, exclusion) in states {
            let known = self.servers.swap_remove(incarnation);
            let mut server = known.unwrap_or_default();
            let change = |reason, ended_after| ExclusionChange {
                server: incarnation.clone(),
                reason,
                ended_after,
            };
            match (server.current, exclusion) {
                (None, Some(reason)) => changes.push(change(reason, None)),
                (Some((reason, since)), None) => {
                    changes.push(change(reason, Some(now.since(since))));
                }
                (None, None) | (Some(_), Some(_)) => {}
            }
            let since = server.current.map_or(now, |(_, since)| since);
            server.current = exclusion.map(|reason| (reason, since));
            if server.is_remembered(now) {
                updated.insert(incarnation.clone(), server);
            }
        }
        self.servers = updated;
        changes
    }

    /// Returns the servers to be probed now, of those that `is_idle` says get no other orders.
    pub fn begin_probes(
        &mut self,
        is_idle: impl Fn(&ServerIncarnation) -> bool,
        urgency: ProbeUrgency,
        now: MonoTime,
    ) -> Vec<ServerIncarnation> {
        let max = Self::MIN_PROBES.max(self.servers.len() / Self::SERVERS_PER_PROBE);
        let mut due: Vec<(MonoTime, usize)> = Vec::new();
        for (position, (incarnation, server)) in self.servers.iter().enumerate() {
            let due_at = server.probe_due_at(urgency).filter(|at| now >= *at);
            if let Some(at) = due_at
                && is_idle(incarnation)
            {
                due.push((at, position));
            }
        }
        // Those that have waited for longest come first.
        due.sort_unstable();
        due.truncate(max);
        due.into_iter()
            .filter_map(|(_, position)| {
                let (incarnation, server) = self.servers.get_index_mut(position)?;
                server.begin_probe(now);
                Some(incarnation.clone())
            })
            .collect()
    }
}
