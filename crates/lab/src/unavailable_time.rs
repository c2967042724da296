//! Unavailable time of ranges of keys.

use crate::prelude::*;

/// Computes for how long ranges of keys were not served.
pub(crate) struct UnavailableTime;

impl UnavailableTime {
    /// Longest unavailable time of each affected range, for requests scheduled at or after `since`.
    ///
    /// An unavailable time begins when the first request that could not be served was scheduled and
    /// ends with the first answer that this request or a later one of the same range got.
    pub(crate) fn of(
        records: &[CallerRecord],
        since: MonoTime,
    ) -> IndexMap<(&'static str, u64), Duration> {
        let mut ranges: IndexMap<_, Vec<&CallerRecord>> = IndexMap::new();
        for record in records.iter().filter(|record| record.due >= since) {
            ranges.entry(record.key_range()).or_default().push(record);
        }
        let mut times = IndexMap::new();
        for (range, mut records) in ranges {
            records.sort_by_key(|record| record.due);
            if let Some(longest) = Self::longest_outage(&records) {
                times.insert(range, longest);
            }
        }
        times
    }

    fn longest_outage(records: &[&CallerRecord]) -> Option<Duration> {
        let mut longest = None;
        let mut served_from = MonoTime::default();
        for (index, record) in records.iter().enumerate() {
            if record.due < served_from || !record.was_unavailable() {
                continue;
            }
            let answered = records[index..].iter().filter(|later| later.answered);
            let end = answered.map(|later| later.ended).min();
            let last = records.iter().map(|later| later.ended).max();
            served_from = end.or(last).unwrap_or(record.ended).max(record.due);
            longest = longest.max(Some(served_from.since(record.due)));
        }
        longest
    }
}
