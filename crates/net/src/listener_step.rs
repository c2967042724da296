//! Decides what a listener with a limited number of connections does with a new one.

use crate::prelude::*;

/// What to do with a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerStep<K> {
    /// Serve it.
    Admit,
    /// Serve it, and close the connection with this key.
    Replace(K),
    /// Close it: all others have a request in progress.
    Refuse,
}

impl<K: Copy + Ord> ListenerStep<K> {
    /// Decides on a new connection beside the open `connections`, of which `max` may be open.
    ///
    /// One that only waits for its peer to close it gives way first, then the one that has been open
    /// for longest without a request, then the one that has been idle for longest between requests.
    /// Of equal ones the lowest key gives way.
    pub fn decide(max: usize, connections: impl Iterator<Item = (K, ConnectionActivity)>) -> Self {
        let mut counted = 0;
        let mut first: Option<((u8, MonoTime, K), K)> = None;
        for (key, activity) in connections {
            counted += usize::from(activity.is_counted());
            if !activity.can_give_way() {
                continue;
            }
            let rank = (phase_rank(activity.phase()), activity.since(), key);
            if first.is_none_or(|(lowest, _)| rank < lowest) {
                first = Some((rank, key));
            }
        }
        match first {
            _ if counted < max => Self::Admit,
            Some((_, key)) => Self::Replace(key),
            None => Self::Refuse,
        }
    }
}

/// Order in which resting connections give way.
fn phase_rank(phase: ConnectionPhase) -> u8 {
    match phase {
        ConnectionPhase::Lingering => 0,
        ConnectionPhase::Silent => 1,
        ConnectionPhase::Idle | ConnectionPhase::Head | ConnectionPhase::Running => 2,
    }
}
