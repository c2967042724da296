//! Giving and renewing of grants to the servers of led parts.

use crate::prelude::*;

/// One server of a led part.
struct GrantTarget {
    part: PartId,
    server: ServerDeclaration,
}

/// Renews all grants until the pool stops.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        for target in targets(&node) {
            let node = node.clone();
            node.pool
                .clone()
                .spawn(async move { renew(&node, &target).await });
        }
        Timer::after(node.settings.timing.grant_renewal).await;
    }
}

fn targets(node: &Node) -> Vec<GrantTarget> {
    let gate = node.tables.gate.lock().unwrap();
    let Some(head) = gate.head() else {
        return Vec::new();
    };
    let led = node.tables.led.lock().unwrap();
    led.keys()
        .flat_map(|part| {
            let servers = head
                .services
                .get(&part.service)
                .map(|service| &service.servers);
            servers.into_iter().flatten().map(|server| GrantTarget {
                part: part.clone(),
                server: server.clone(),
            })
        })
        .collect()
}

async fn renew(node: &Arc<Node>, target: &GrantTarget) {
    let session = node.servers.session(node, &target.server);
    let name = &target.server.name;
    let sent = node.clock.now();
    let Some((order, deadline)) = order(node, target, sent) else {
        if let Ok(reply) = session.read_clock().await {
            heard(node, target, &reply);
        }
        return;
    };
    let Ok(reply) = session.grant(&order).await else {
        return;
    };
    heard(node, target, &reply);
    if reply.accepted {
        let mut led = node.tables.led.lock().unwrap();
        if let Some(part) = led.get_mut(&target.part) {
            part.grants
                .acknowledged(name, deadline, order.fence.edition);
        }
    }
}

fn order(node: &Node, target: &GrantTarget, now: MonoTime) -> Option<(GrantOrder, MonoTime)> {
    let timing = node.settings.timing;
    let mut led = node.tables.led.lock().unwrap();
    let part = led.get_mut(&target.part)?;
    let deadline = now.after(timing.grant).min(part.lease_until);
    let order = part
        .grants
        .order(&part.record, &target.server.name, deadline, &timing)?;
    Some((order, deadline))
}

fn heard(node: &Node, target: &GrantTarget, reply: &GrantReplyWire) {
    let now = node.clock.now();
    let mut led = node.tables.led.lock().unwrap();
    if let Some(part) = led.get_mut(&target.part) {
        let clock = ServerClock::new(MonoTime(reply.clock_us), now);
        part.grants.heard(&target.server.name, clock, now);
    }
}
