//! Unavailable time, per range of keys.

use crate::prelude::*;

/// Times during which ranges of keys were not served.
pub(crate) struct UnavailableTime;

impl UnavailableTime {
    /// Longest unavailable time of each affected range, among requests due from `since` on.
    ///
    /// It runs from the time at which the first request that could not be served was due to the
    /// first answer after it that any request of the same range got.
    pub(crate) fn of(
        records: &[CallerRecord],
        since: MonoTime,
    ) -> IndexMap<(&'static str, u64), Duration> {
        let mut ranges: IndexMap<_, Vec<&CallerRecord>> = IndexMap::new();
        for record in records.iter().filter(|record| record.due >= since) {
            ranges.entry(record.bucket()).or_default().push(record);
        }
        let mut times = IndexMap::new();
        for (range, mut records) in ranges {
            records.sort_by_key(|record| record.due);
            if let Some(longest) = Self::longest(&records) {
                times.insert(range, longest);
            }
        }
        times
    }

    fn longest(records: &[&CallerRecord]) -> Option<Duration> {
        let mut longest = None;
        let mut served_from = MonoTime::default();
        for (index, record) in records.iter().enumerate() {
            if record.due < served_from || !record.troubled() {
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
