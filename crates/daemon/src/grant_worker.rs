//! Giving and renewing of grants to the servers of led parts.

use crate::prelude::*;

/// Interval at which grants are looked over.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// One server of a led part, with what to send to it.
struct GrantTarget {
    part: PartId,
    server: ServerDeclaration,
    order: Option<(u64, GrantOrder)>,
}

/// Renews all grants until the pool stops.
pub(crate) async fn run(node: Arc<InstanceNode>) {
    loop {
        for target in targets(&node) {
            let node = node.clone();
            let pool = node.pool.clone();
            pool.spawn(async move { exchange(&node, &target).await });
        }
        Timer::after(LOOK_INTERVAL).await;
    }
}

fn targets(node: &InstanceNode) -> Vec<GrantTarget> {
    let gate = node.tables.gate.lock().unwrap();
    let Some(head) = gate.head() else {
        return Vec::new();
    };
    let now = node.clock.now();
    let mut led = node.tables.led_parts.lock().unwrap();
    let mut targets = Vec::new();
    for (id, part) in led.iter_mut() {
        let servers = head.services.get(&id.service);
        for server in servers.into_iter().flat_map(|service| &service.servers) {
            let order = match part.next_grant_step(&server.name, now, &node.settings.timing) {
                GrantStep::Wait => continue,
                GrantStep::ReadClock => None,
                GrantStep::Send {
                    number,
                    not_after,
                    ranges,
                } => Some((
                    number,
                    GrantOrder {
                        part: id.clone(),
                        fence: part.fence,
                        ranges,
                        not_after,
                    },
                )),
            };
            targets.push(GrantTarget {
                part: id.clone(),
                server: server.clone(),
                order,
            });
        }
    }
    targets
}

async fn exchange(node: &Arc<InstanceNode>, target: &GrantTarget) {
    let session = node.servers.session(node, &target.server);
    let reply = match &target.order {
        Some((_, order)) => session.grant(order).await,
        None => session.read_clock().await,
    };
    let now = node.clock.now();
    let name = &target.server.name;
    let mut led = node.tables.led_parts.lock().unwrap();
    let Some(part) = led.get_mut(&target.part) else {
        return;
    };
    let number = target.order.as_ref().map(|(number, _)| *number);
    match reply {
        Ok(reply) => {
            let clock = ServerClock::new(MonoTime(reply.clock_us), now);
            part.grants.record_clock(name, clock, now);
            if let Some(health) = part.servers.get_mut(name) {
                health.record_answer(reply.busy, reply.leaving, now);
            }
            if let Some(number) = number {
                part.grants.record_answer(name, number, reply.accepted, now);
            }
        }
        Err(ExchangeError::ConnectionRefused(_) | ExchangeError::NotSent(_)) => {
            if let Some(health) = part.servers.get_mut(name) {
                health.record_refusal();
            }
            if let Some(number) = number {
                part.grants.discard_order(name, number);
            }
        }
        Err(
            ExchangeError::Unclear(_) | ExchangeError::TimedOut | ExchangeError::AnswerTooLarge(_),
        ) => {}
    }
}
