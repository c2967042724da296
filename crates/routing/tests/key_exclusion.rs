//! When servers that get no keys are asked again.

use geraniummast_model::MonoTime;
use geraniummast_routing::{ExclusionTable, KeyExclusion, ProbeUrgency, ServerIncarnation};
use std::time::Duration;

/// Time between two looks at the table.
const STEP: Duration = Duration::from_millis(300);

fn server(number: usize) -> ServerIncarnation {
    ServerIncarnation {
        id: format!("s{number}"),
        born: 1,
    }
}

/// Servers of a service, some of them excluded, and the probes that were sent.
struct ProbedServers {
    table: ExclusionTable,
    now: MonoTime,
    states: Vec<(ServerIncarnation, Option<KeyExclusion>)>,
    urgency: ProbeUrgency,
}

impl ProbedServers {
    /// Servers that are all excluded for a reason.
    fn excluded(count: usize, reason: KeyExclusion) -> Self {
        Self {
            table: ExclusionTable::default(),
            now: MonoTime::default().after(Duration::from_secs(1_000)),
            states: (0..count)
                .map(|number| (server(number), Some(reason)))
                .collect(),
            urgency: ProbeUrgency::Usual,
        }
    }

    /// Returns the servers probed in the next step.
    fn step(&mut self) -> Vec<ServerIncarnation> {
        self.now = self.now.after(STEP);
        let states = self.states.iter();
        let states = states.map(|(incarnation, state)| (incarnation, *state));
        self.table.update(states, self.now);
        self.table.begin_probes(|_| true, self.urgency, self.now)
    }

    /// Times from now at which the first server is probed within `span`, in seconds.
    fn probe_times(&mut self, span: Duration) -> Vec<f64> {
        let start = self.now;
        let mut times = Vec::new();
        while self.now.since(start) < span {
            if self.step().contains(&server(0)) {
                times.push(self.now.since(start).as_secs_f64());
            }
        }
        times
    }
}

// Guards against servers that stand idle for good: one without keys gets no order whose answer could
// end its exclusion.
#[test]
fn excluded_servers_are_probed_until_the_exclusion_ends() {
    for reason in [KeyExclusion::Unresponsive, KeyExclusion::Rejecting] {
        let mut servers = ProbedServers::excluded(1, reason);
        let times = servers.probe_times(Duration::from_secs(120));
        let gaps: Vec<f64> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
        assert!(times[0] < 3.0, "first after {} s", times[0]);
        assert!(gaps.iter().all(|gap| *gap < 17.0), "{reason:?}: {gaps:?}");
        assert!(times.len() < 12, "ever more rarely: {times:?}");
        servers.states[0].1 = None;
        assert!(servers.probe_times(Duration::from_secs(60)).is_empty());
    }
}

// Guards against probes where time or a proof decides.
#[test]
fn servers_that_ended_or_lost_a_connection_are_not_probed() {
    for reason in [KeyExclusion::Ended, KeyExclusion::Broken] {
        let mut servers = ProbedServers::excluded(1, reason);
        assert!(servers.probe_times(Duration::from_secs(60)).is_empty());
    }
}

// Guards against keys that move to and from a server that answers for a moment each time it is probed.
#[test]
fn server_that_is_excluded_again_and_again_is_probed_ever_more_rarely() {
    let mut servers = ProbedServers::excluded(1, KeyExclusion::Unresponsive);
    let mut waits = Vec::new();
    for _ in 0..4 {
        servers.states[0].1 = Some(KeyExclusion::Unresponsive);
        let start = servers.now;
        while servers.step().is_empty() {}
        waits.push(servers.now.since(start));
        servers.states[0].1 = None;
        servers.step();
    }
    assert!(waits.is_sorted(), "{waits:?}");
    assert!(waits[3] > waits[0] * 4, "{waits:?}");
    servers.probe_times(Duration::from_secs(90));
    servers.states[0].1 = Some(KeyExclusion::Unresponsive);
    let times = servers.probe_times(Duration::from_secs(3));
    assert_eq!(times.len(), 1, "earlier probes are forgotten");
}

// Guards against a service whose only servers without keys are the ones that could take them.
#[test]
fn probes_are_frequent_while_no_server_may_own_keys() {
    let mut servers = ProbedServers::excluded(1, KeyExclusion::Unresponsive);
    servers.urgency = ProbeUrgency::Urgent;
    servers.probe_times(Duration::from_secs(30));
    let times = servers.probe_times(Duration::from_secs(9));
    assert!(times.len() >= 9, "{times:?}");
}

// Guards against a leader that is kept from its renewals by hundreds of probes at once, and against
// servers that wait for minutes behind others.
#[test]
fn probes_of_many_servers_are_spread() {
    let mut servers = ProbedServers::excluded(300, KeyExclusion::Unresponsive);
    let mut asked = Vec::new();
    for _ in 0..28 {
        let probed = servers.step();
        assert!(probed.len() <= 20, "{} at once", probed.len());
        asked.extend(probed);
    }
    asked.sort();
    asked.dedup();
    assert_eq!(asked.len(), 300, "within 8.4 s");
}

// Guards against a release of keys that a server holds.
#[test]
fn servers_with_other_orders_are_not_probed() {
    let mut servers = ProbedServers::excluded(2, KeyExclusion::Unresponsive);
    for _ in 0..100 {
        servers.step();
        let later = servers.now.after(Duration::from_secs(30));
        let is_idle = |incarnation: &ServerIncarnation| *incarnation != server(0);
        let probed = servers
            .table
            .begin_probes(is_idle, ProbeUrgency::Urgent, later);
        assert!(!probed.contains(&server(0)));
    }
}
