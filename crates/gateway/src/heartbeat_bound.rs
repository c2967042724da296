//! Cuts heartbeats to the size of one datagram.
//!
//! A datagram that is longer than the receiver's buffer is lost whole. The revisions, the age, the
//! leaderships and the watchers always travel. Lists are cut in the order of what their loss costs:
//! first those that the receivers fetch by themselves or that come again soon.

use crate::heartbeat_wire::HeartbeatWire;
use prost::Message;

impl HeartbeatWire {
    /// Removes list entries until the heartbeat fits.
    pub(crate) fn cut(mut self, max_bytes: usize) -> Self {
        cut_list(&mut self, max_bytes, |wire| &mut wire.service_times);
        // The revisions tell of the changes, which are then fetched over the feed.
        cut_list(&mut self, max_bytes, |wire| &mut wire.record_updates);
        cut_list(&mut self, max_bytes, |wire| &mut wire.raising_updates);
        cut_list(&mut self, max_bytes, |wire| &mut wire.key_samples);
        cut_list(&mut self, max_bytes, |wire| &mut wire.granted_ranges);
        cut_list(&mut self, max_bytes, |wire| &mut wire.rests);
        cut_list(&mut self, max_bytes, |wire| &mut wire.limits);
        cut_list(&mut self, max_bytes, |wire| &mut wire.cold);
        cut_list(&mut self, max_bytes, |wire| &mut wire.isolated);
        cut_list(&mut self, max_bytes, |wire| &mut wire.suspects);
        cut_list(&mut self, max_bytes, |wire| &mut wire.leaving);
        self
    }
}

/// Keeps the largest number of a list's first entries with which the heartbeat fits.
fn cut_list<T>(
    wire: &mut HeartbeatWire,
    max_bytes: usize,
    list: impl Fn(&mut HeartbeatWire) -> &mut Vec<T>,
) {
    if wire.encoded_len() <= max_bytes {
        return;
    }
    let mut rest = std::mem::take(list(wire));
    let mut step = rest.len().next_power_of_two();
    while step > 0 && !rest.is_empty() {
        let kept = list(wire).len();
        list(wire).extend(rest.drain(..step.min(rest.len())));
        if wire.encoded_len() > max_bytes {
            let mut removed = list(wire).split_off(kept);
            removed.append(&mut rest);
            rest = removed;
        }
        step /= 2;
    }
}
