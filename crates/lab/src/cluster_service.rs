//! Services of a test cluster.

use crate::prelude::*;

/// One service whose servers all behave alike.
#[derive(Clone, Debug)]
pub struct ClusterService {
    /// Name of the service.
    pub name: &'static str,
    /// Whether each key has one owner.
    pub kind: ServiceKind,
    /// Number of servers.
    pub servers: usize,
    /// Whether the scheduled requests are repeatable lookups (GET); otherwise they are
    /// non-repeatable filings (POST).
    pub repeatable: bool,
    /// Priority of the service's request classes.
    pub priority: u8,
    /// Behaviour of each server at its start.
    pub behaviour: ServerBehaviour,
}

impl ClusterService {
    /// Deadline of all request classes, in milliseconds.
    pub const DEADLINE_MS: u64 = 1_000;

    /// Lookups, filings and archive requests, as in Cascadia's deployment at a third of its size.
    pub fn cascadia() -> Vec<Self> {
        let service = |name, kind, servers, repeatable, priority, run_ms| Self {
            name,
            kind,
            servers,
            repeatable,
            priority,
            behaviour: ServerBehaviour {
                run_time: Duration::from_millis(run_ms),
                exclusive: kind == ServiceKind::Exclusive,
                ..ServerBehaviour::default()
            },
        };
        vec![
            service("viewing", ServiceKind::Exclusive, 4, true, 0, 15),
            service("filing", ServiceKind::Exclusive, 3, false, 0, 25),
            service("archives", ServiceKind::Shared, 4, true, 3, 30),
        ]
    }

    /// Rate of requests, per second, that keeps all slots busy.
    pub fn capacity_per_s(&self) -> f64 {
        let slots = self.servers as f64 * f64::from(self.behaviour.slots);
        slots / self.behaviour.run_time.as_secs_f64()
    }

    /// Name of the server with number `index`.
    pub fn server_name(&self, index: usize) -> String {
        format!("{}-{index}", self.name)
    }

    /// Declaration of the service with `servers`.
    pub(crate) fn declaration(&self, servers: &[&SimulatedServer]) -> ServiceDeclaration {
        let class = |name: &str, method: &str, repeatable| RequestClass {
            name: name.into(),
            methods: vec![method.into()],
            path: None,
            repeatable,
            priority: self.priority,
            deadline_ms: Self::DEADLINE_MS,
            max_body_bytes: 1 << 20,
            max_answer_bytes: 1 << 20,
        };
        let declare = |server: &&SimulatedServer| Self::declare(server);
        ServiceDeclaration {
            kind: self.kind,
            parts: 1,
            classes: vec![class("lookup", "GET", true), class("filing", "POST", false)],
            servers: servers.iter().map(declare).collect(),
        }
    }

    /// Declaration of one server; the number in its name determines the data centre.
    pub(crate) fn declare(server: &SimulatedServer) -> ServerDeclaration {
        let behaviour = server.behaviour();
        let name = server.name().as_str();
        let number = name.rsplit('-').next().and_then(|text| text.parse().ok());
        ServerDeclaration {
            name: server.name().clone(),
            address: server.address(),
            data_centre: TestCluster::data_centre(number.unwrap_or(0)),
            slots: behaviour.slots,
            connections: behaviour.connections,
            checks_fences: behaviour.checks_fences,
        }
    }
}
