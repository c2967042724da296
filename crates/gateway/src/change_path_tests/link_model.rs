//! Links of the instances, which frames share in turns, piece by piece.

use super::{
    change_world::{ChangeWorld, WorkerTurn, WorldEvent},
    simulated_instance::WorkerSlot,
};
use crate::prelude::*;
use std::{collections::VecDeque, rc::Rc};

/// Reply on its way to the instance that asked.
#[derive(Clone, Debug)]
struct FrameTransfer {
    turn: WorkerTurn,
    asked_at: MonoTime,
    frame: Rc<Vec<u8>>,
    left_bytes: usize,
}

/// Links of all instances, of the same rate in either direction.
#[derive(Default)]
pub(super) struct LinkModel {
    /// Frames that each instance sends.
    sending: IndexMap<usize, VecDeque<FrameTransfer>>,
    /// When the last piece that each instance sends has left.
    sent_until: IndexMap<usize, MonoTime>,
    /// When the last piece on its way to an instance has arrived.
    busy_until: IndexMap<usize, MonoTime>,
    /// Bytes that have arrived of the frame for which a worker waits.
    arrived: IndexMap<(usize, WorkerSlot), (u64, usize)>,
    /// How many of them had arrived when the worker last looked.
    seen: IndexMap<(usize, WorkerSlot), (u64, usize)>,
    /// When the answer of the store on its way to a worker has arrived.
    answered_at: IndexMap<(usize, WorkerSlot), (u64, MonoTime)>,
    /// Bytes that all instances have sent.
    pub(super) sent_bytes: u64,
}

impl LinkModel {
    fn sending_from(&mut self, from: usize) -> &mut VecDeque<FrameTransfer> {
        self.sending.entry(from).or_default()
    }
}

/// Time that a link takes for some bytes.
fn link_time(bytes: usize, rate: u64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / rate as f64)
}

impl ChangeWorld {
    /// Number of bytes that a link carries before it turns to the next frame.
    const PIECE_BYTES: usize = 16 << 10;

    /// Sends a reply over the links of both instances.
    pub(super) fn send_frame(
        &mut self,
        turn: WorkerTurn,
        asked_at: MonoTime,
        from: usize,
        frame: Rc<Vec<u8>>,
    ) {
        let left_bytes = frame.len();
        self.links.sent_bytes += left_bytes as u64;
        if self.settings.link_rate.is_none() {
            let transit = self.transit();
            self.schedule_in(
                transit,
                WorldEvent::Reply(turn, asked_at, from, Some(frame)),
            );
            return;
        }
        let frames = self.links.sending_from(from);
        let is_idle = frames.is_empty();
        frames.push_back(FrameTransfer {
            turn,
            asked_at,
            frame,
            left_bytes,
        });
        if is_idle {
            let sent_until = self.links.sent_until.get(&from).copied();
            let at = sent_until.unwrap_or_default().max(self.now);
            self.schedule(at, WorldEvent::SendPiece(from));
        }
    }

    /// Sends the next piece of the frame whose turn it is. The rest of a frame for which nobody waits
    /// any more is dropped.
    pub(super) fn send_piece(&mut self, from: usize) {
        let Some(rate) = self.settings.link_rate else {
            return;
        };
        let Some(mut transfer) = self.links.sending_from(from).pop_front() else {
            return;
        };
        let mut taken = Duration::ZERO;
        if self.is_current(transfer.turn) && !self.is_cut(transfer.turn.instance, from) {
            let bytes = transfer.left_bytes.min(Self::PIECE_BYTES);
            taken = link_time(bytes, rate);
            self.links.sent_until.insert(from, self.now.after(taken));
            transfer.left_bytes -= bytes;
            let sent_at = self.now.after(taken + self.transit());
            let arrived_at = self.receive_bytes(transfer.turn.instance, bytes, sent_at);
            if transfer.left_bytes > 0 {
                self.schedule(arrived_at, WorldEvent::Piece(transfer.turn, bytes));
                self.links.sending_from(from).push_back(transfer);
            } else {
                let (turn, asked_at) = (transfer.turn, transfer.asked_at);
                let reply = WorldEvent::Reply(turn, asked_at, from, Some(transfer.frame));
                self.schedule(arrived_at, reply);
            }
        }
        if !self.links.sending_from(from).is_empty() {
            self.schedule_in(taken, WorldEvent::SendPiece(from));
        }
    }

    /// Lets bytes that were sent at `sent_at` pass the link of their receiver. Returns when they have
    /// arrived.
    pub(super) fn receive_bytes(&mut self, to: usize, bytes: usize, sent_at: MonoTime) -> MonoTime {
        let Some(rate) = self.settings.link_rate else {
            return sent_at;
        };
        let busy_until = self.links.busy_until.entry(to).or_default();
        *busy_until = sent_at.max(*busy_until).after(link_time(bytes, rate));
        *busy_until
    }

    /// Records when an answer of the store has arrived over the link of its receiver.
    pub(super) fn record_answer(&mut self, turn: WorkerTurn, arrived_at: MonoTime) {
        let key = (turn.instance, turn.slot);
        self.links.answered_at.insert(key, (turn.turn, arrived_at));
    }

    /// When the answer of the store arrives that is on its way to a worker.
    pub(super) fn arriving_answer(&self, turn: WorkerTurn) -> Option<MonoTime> {
        let (number, arrived_at) = self.links.answered_at.get(&(turn.instance, turn.slot))?;
        (*number == turn.turn && *arrived_at > self.now).then_some(*arrived_at)
    }

    /// Whether more of the frame for which a worker waits has arrived since it last looked.
    pub(super) fn has_progress(&mut self, turn: WorkerTurn) -> bool {
        let key = (turn.instance, turn.slot);
        let arrived = self.links.arrived.get(&key).copied();
        let Some(arrived) = arrived.filter(|(number, _)| *number == turn.turn) else {
            return false;
        };
        self.links.seen.insert(key, arrived) != Some(arrived)
    }

    /// Counts a piece that has arrived.
    pub(super) fn record_piece(&mut self, turn: WorkerTurn, bytes: usize) {
        let key = (turn.instance, turn.slot);
        let arrived = self.links.arrived.entry(key).or_default();
        if arrived.0 != turn.turn {
            *arrived = (turn.turn, 0);
        }
        arrived.1 += bytes;
    }
}
