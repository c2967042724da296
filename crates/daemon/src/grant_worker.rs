//! Grants slices of led parts to servers and renews the grants.

use crate::prelude::*;

/// Interval at which the worker checks which grants to send.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A message due to a server of a led part.
struct DueMessage {
    part: PartId,
    server: ServerDeclaration,
    /// Numbered grant; without one, only the server's clock is read.
    order: Option<(u64, GrantOrder)>,
}

/// Sends due grants and clock reads until the worker pool stops.
pub(crate) async fn run(node: Arc<InstanceNode>) {
    loop {
        for message in due_messages(&node) {
            let node = node.clone();
            let pool = node.pool.clone();
            pool.spawn(async move { exchange(&node, &message).await });
        }
        Timer::after(CHECK_INTERVAL).await;
    }
}

/// Returns the messages that are due now, and counts them as sent.
fn due_messages(node: &InstanceNode) -> Vec<DueMessage> {
    let gate = node.tables.gate.lock().unwrap();
    let Some(head) = gate.head() else {
        return Vec::new();
    };
    let now = node.clock.now();
    let mut led = node.tables.led_parts.lock().unwrap();
    let mut messages = Vec::new();
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
            messages.push(DueMessage {
                part: id.clone(),
                server: server.clone(),
                order,
            });
        }
    }
    messages
}

/// Sends a message and records its outcome in the led part.
async fn exchange(node: &Arc<InstanceNode>, message: &DueMessage) {
    let session = node.servers.session(node, &message.server);
    let reply = match &message.order {
        Some((_, order)) => session.grant(order).await,
        None => session.read_clock().await,
    };
    let now = node.clock.now();
    let name = &message.server.name;
    let mut led = node.tables.led_parts.lock().unwrap();
    let Some(part) = led.get_mut(&message.part) else {
        return;
    };
    let number = message.order.as_ref().map(|(number, _)| *number);
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
            ExchangeError::Unclear(_)
            | ExchangeError::ConnectionLost(_)
            | ExchangeError::TimedOut
            | ExchangeError::AnswerTooLarge(_),
        ) => {}
    }
}
