//! Connections that break, and servers that refuse new ones.

use crate::history_world::HistoryWorld;
use geraniummast_routing::*;

impl HistoryWorld {
    /// Whether a server refuses new connections, because it has ended or has too many.
    pub(crate) fn refuses_connection(&self, server: usize) -> bool {
        let server = &self.servers[server];
        self.parameters.refusals_per_mille > 0 && (!server.is_up || self.now < server.refuses_until)
    }

    /// Health of the incarnation of a server that an instance knows.
    pub(crate) fn health_of(&mut self, index: usize, server: usize) -> &mut OrderHealth {
        let instance = &mut self.instances[index];
        let known_born = instance.known_born[server];
        let (born, health) = &mut instance.health[server];
        if *born != known_born {
            (*born, *health) = (known_born, OrderHealth::default());
        }
        health
    }

    /// Has a random server refuse new connections for a while, and resets those of some instances.
    pub(crate) fn refuse_connections(&mut self) {
        if !self.chance_of(self.parameters.refusals_per_mille) {
            return;
        }
        let server = self.random_between(0, self.servers.len() as u64) as usize;
        self.servers[server].refuses_until = self.now + self.random_between(200, 1_500);
        for index in 0..self.instances.len() {
            if !self.chance(500) {
                continue;
            }
            self.instances[index].connections[server] = None;
            let mut orders = std::mem::take(&mut self.orders);
            for order in orders.iter_mut().filter(|order| {
                order.instance == index && order.server == server && !order.is_given_up
            }) {
                order.is_given_up = true;
                order.is_answer_lost = true;
                self.report_result(order, None);
            }
            self.orders = orders;
        }
    }

    /// Randomly breaks the connections of one instance or all instances to one server or all
    /// servers.
    pub(crate) fn break_connections(&mut self) {
        /// Time after which senders give up an order, even if its connection does not break.
        const ORDER_TIMEOUT_MS: u64 = 500;
        if self.parameters.breaks_per_mille == 0 {
            return;
        }
        let is_break = self.chance(self.parameters.breaks_per_mille);
        let instance = self.random_between(0, 2 * self.instances.len() as u64) as usize;
        let server = self.random_between(0, 2 * self.servers.len() as u64) as usize;
        let is_all_instances = instance >= self.instances.len();
        let is_all_servers = server >= self.servers.len();
        let now = self.now;
        let mut orders = std::mem::take(&mut self.orders);
        for order in orders.iter_mut().filter(|order| !order.is_given_up) {
            let is_hit = is_break
                && (is_all_instances || order.instance == instance)
                && (is_all_servers || order.server == server);
            if is_hit
                || (order.executed_at != u64::MAX && order.arrived_at + ORDER_TIMEOUT_MS <= now)
            {
                order.is_given_up = true;
                order.is_answer_lost = true;
                self.report_result(order, None);
            }
        }
        orders.retain(|order| order.executed_at != u64::MAX || !order.is_given_up);
        self.orders = orders;
        if is_break {
            for (index, known) in self.instances.iter_mut().enumerate() {
                for (position, until) in known.suspect_until.iter_mut().enumerate() {
                    if (is_all_instances || index == instance)
                        && (is_all_servers || position == server)
                    {
                        *until = now + 1_000;
                        known.connections[position] = None;
                    }
                }
            }
        }
    }
}
