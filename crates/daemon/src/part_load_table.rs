//! Load meters and balance planners of the exclusive parts that this instance leads.

use crate::prelude::*;

/// Meter and planner of each led part.
#[derive(Default)]
pub(crate) struct PartLoadTable {
    parts: Mutex<IndexMap<PartId, PartBalance>>,
}

#[derive(Debug)]
struct PartBalance {
    meter: LoadMeter,
    planner: BalancePlanner,
}

impl PartLoadTable {
    /// Records a request that held a slot for `slot_time` and ended at `now`.
    pub(crate) fn record(
        &self,
        part: &PartId,
        slice_start: u64,
        hash: KeyHash,
        slot_time: Duration,
        now: MonoTime,
    ) {
        let mut parts = self.parts.lock().unwrap();
        if let Some(balance) = parts.get_mut(part) {
            return balance.meter.record(slice_start, hash, slot_time);
        }
        let mut balance = PartBalance::new(now);
        balance.meter.record(slice_start, hash, slot_time);
        parts.insert(part.clone(), balance);
    }

    /// Closes the meter's window and plans changes that balance the load of a part; plans none
    /// until enough windows have closed to tell the load from noise.
    pub(crate) fn plan(
        &self,
        record: &PartRecord,
        servers: &[ServerCapacity],
        now: MonoTime,
    ) -> Vec<SliceChange> {
        let mut parts = self.parts.lock().unwrap();
        let Some(balance) = parts.get_mut(&record.id) else {
            return Vec::new();
        };
        let report = balance.meter.close_window(record, now);
        if !balance.meter.is_settled() {
            return Vec::new();
        }
        balance.planner.plan(record, &report, servers, now)
    }

    /// Removes the parts for which `is_led` returns false.
    pub(crate) fn retain(&self, is_led: impl Fn(&PartId) -> bool) {
        self.parts.lock().unwrap().retain(|part, _| is_led(part));
    }
}

impl PartBalance {
    fn new(now: MonoTime) -> Self {
        Self {
            meter: LoadMeter::new(now),
            planner: BalancePlanner::new(BalanceLimits::default()),
        }
    }
}
