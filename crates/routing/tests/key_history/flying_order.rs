//! Orders between instances and servers: on their way, lost, or carried out late.

use crate::{
    fake_server::FakeServer,
    history_world::{HOLD_MS, HistoryWorld},
};
use geraniummast_model::MonoTime;
use geraniummast_routing::*;
use std::time::Duration;

/// An order on its way or being carried out late.
pub(crate) struct FlyingOrder {
    at: u64,
    arrived: u64,
    instance: usize,
    incarnation: u64,
    /// Server, and the life of it that the connection leads to.
    server: usize,
    life: u64,
    kind: OrderKind,
    range: KeyRange,
    answer_lost: bool,
    /// Whether its sender has given it up.
    is_given_up: bool,
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum OrderKind {
    Renew,
    Grant,
    Release,
}

impl HistoryWorld {
    /// Sends what the instance's leader side wants sent.
    pub(crate) fn order(&mut self, number: usize) {
        let now = MonoTime(self.now * 1_000);
        for server in 0..self.servers.len() {
            // Discovery tells of a new life after a moment.
            if self.chance(150) {
                self.instances[number].known_born[server] = self.servers[server].born;
            }
            for life in 1..self.instances[number].known_born[server] {
                let mark = ServerIncarnation {
                    id: self.servers[server].id.clone(),
                    born: life,
                };
                self.instances[number].lead.mark_replaced(&mark);
            }
        }
        let steps = self.instances[number].lead.due_move_steps(now);
        for step in steps {
            match step {
                MoveStep::Release { range, holder } => {
                    self.send(number, OrderKind::Release, &holder, range);
                }
                MoveStep::Grant { range, .. } => {
                    let owner = range.owner.clone();
                    let is_sound = self.is_link_sound(number, &owner);
                    let lead = &mut self.instances[number].lead;
                    match is_sound && lead.begin_grant(&range, now) {
                        true => self.send(number, OrderKind::Grant, &owner, range),
                        false => lead.finish_grant(&range, false, now),
                    }
                }
            }
        }
        for range in self.instances[number].lead.due_renewals(now) {
            if !self.is_link_sound(number, &range.owner) {
                continue;
            }
            if self.instances[number].lead.begin_renewal(&range, now) {
                let owner = range.owner.clone();
                self.send(number, OrderKind::Renew, &owner, range);
            }
        }
    }

    /// Whether keys may be granted to an owner: over a connection that was made in its life, or,
    /// over a new one, once the store has named that life.
    fn is_link_sound(&mut self, number: usize, owner: &ServerIncarnation) -> bool {
        let server = self.position_of(owner);
        let born = self.servers[server].born;
        if !self.plan.proves_lives || self.instances[number].links[server] == owner.born {
            // A broken connection is noticed by the sender.
            return !self.plan.proves_lives || born == owner.born;
        }
        let is_proven = born == owner.born && self.reaches_store(number);
        if is_proven {
            self.instances[number].links[server] = born;
        }
        is_proven
    }

    fn position_of(&self, mark: &ServerIncarnation) -> usize {
        let is_it = |server: &FakeServer| server.id == mark.id;
        self.servers.iter().position(is_it).unwrap()
    }

    fn send(
        &mut self,
        instance: usize,
        kind: OrderKind,
        mark: &ServerIncarnation,
        range: KeyRange,
    ) {
        let server = self.position_of(mark);
        let arrived = self.now + self.span(0, 40);
        let is_late = !self.is_calm && self.chance(self.plan.late_orders);
        let is_lost = !self.is_calm && self.chance(40);
        let at = match (is_lost, is_late) {
            (true, _) => u64::MAX,
            (false, true) => arrived + self.span(2_000, 12_000),
            (false, false) => arrived + self.span(0, 200),
        };
        let is_unheard = !self.is_calm && self.chance(30);
        self.orders.push(FlyingOrder {
            at,
            arrived,
            instance,
            incarnation: self.instances[instance].lead.own_incarnation().incarnation,
            server,
            life: self.servers[server].born,
            kind,
            range,
            answer_lost: is_late || is_lost || is_unheard,
            is_given_up: false,
        });
    }

    /// Carries out the orders that are due, and tells their senders.
    pub(crate) fn deliver_orders(&mut self) {
        let now = self.now;
        let due: Vec<FlyingOrder> = self
            .orders
            .extract_if(.., |order| order.at <= now)
            .collect();
        for order in due {
            let server = &mut self.servers[order.server];
            let is_reached = server.is_up && server.born == order.life;
            let answer = is_reached.then(|| {
                let KeyRange {
                    first, last, fence, ..
                } = order.range;
                match order.kind {
                    OrderKind::Release => {
                        server.release(first, last, fence);
                        true
                    }
                    _ => server.grant(first, last, fence, order.arrived as f64, HOLD_MS as f64),
                }
            });
            let answer = answer.filter(|_| !order.answer_lost);
            if !order.is_given_up {
                self.tell(&order, answer);
            }
        }
        // Orders that nobody answered are given up by their senders.
        let given_up: Vec<FlyingOrder> = self
            .orders
            .extract_if(.., |order| {
                order.at == u64::MAX && order.arrived + 600 <= now
            })
            .collect();
        for order in given_up {
            self.tell(&order, None);
        }
    }

    /// Breaks the connections of one instance, or of all, to one server or to all.
    pub(crate) fn break_connections(&mut self) {
        /// Time after which senders give an order up, whether or not connections break.
        const PATIENCE_MS: u64 = 500;
        if self.plan.breaks == 0 {
            return;
        }
        let is_break = self.chance(self.plan.breaks);
        let instance = self.span(0, 2 * self.instances.len() as u64) as usize;
        let server = self.span(0, 2 * self.servers.len() as u64) as usize;
        let is_all = instance >= self.instances.len();
        let hits_all = server >= self.servers.len();
        let now = self.now;
        let mut orders = std::mem::take(&mut self.orders);
        for order in orders.iter_mut().filter(|order| !order.is_given_up) {
            let is_hit = is_break
                && (is_all || order.instance == instance)
                && (hits_all || order.server == server);
            if is_hit || (order.at != u64::MAX && order.arrived + PATIENCE_MS <= now) {
                order.is_given_up = true;
                order.answer_lost = true;
                self.tell(order, None);
            }
        }
        orders.retain(|order| order.at != u64::MAX || !order.is_given_up);
        self.orders = orders;
        if is_break {
            for (number, known) in self.instances.iter_mut().enumerate() {
                for (position, until) in known.unsure_until.iter_mut().enumerate() {
                    if (is_all || number == instance) && (hits_all || position == server) {
                        *until = now + 1_000;
                        known.links[position] = 0;
                    }
                }
            }
        }
    }

    fn tell(&mut self, order: &FlyingOrder, answer: Option<bool>) {
        let now = MonoTime(self.now * 1_000);
        let instance = &mut self.instances[order.instance];
        if instance.lead.own_incarnation().incarnation != order.incarnation {
            return;
        }
        if answer.is_some() {
            instance.unsure_until[order.server] = 0;
        }
        match order.kind {
            OrderKind::Renew if answer != Some(true) => {
                let soon = Duration::from_millis(250);
                instance.lead.reschedule_renewal(&order.range, now, soon);
            }
            OrderKind::Renew => {}
            OrderKind::Grant => instance
                .lead
                .finish_grant(&order.range, answer == Some(true), now),
            OrderKind::Release => {
                let handover = answer.map(|_| String::new());
                instance.lead.finish_release(&order.range, handover, now);
            }
        }
    }
}
