//! Holds back requests that crash servers.

use crate::{prelude::*, quarantine_writer};

/// Time that a server is given to accept a connection, to tell a crash from a lost connection.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after which a trial that the store did not confirm is worth asking for again.
const TRIAL_PAUSE: Duration = Duration::from_millis(300);

/// What an instance does with a request before it looks for a server.
pub(crate) enum Admission {
    /// Send it.
    Admitted(Option<SuspectPass>),
    /// Refuse it; it is worth coming back after this time.
    Held(Duration),
}

/// Permission to run a suspect request, which counts as running until this is dropped.
pub(crate) struct SuspectPass {
    node: Arc<GatewayNode>,
    identity: RequestIdentity,
    is_trial: bool,
}

impl Drop for SuspectPass {
    fn drop(&mut self) {
        self.node.suspects.lock().end(self.identity);
    }
}

/// Decides whether a request may be sent to a server.
pub(crate) async fn admit(node: &Arc<GatewayNode>, call: &CallerCall) -> Admission {
    let Some(standing) = standing_of(node, call) else {
        return Admission::Admitted(None);
    };
    let identity = call.identity();
    let trial = match standing {
        RequestStanding::Clear => return Admission::Admitted(None),
        RequestStanding::Busy(pause) | RequestStanding::Held(pause) => {
            log_held(node, call, pause);
            return Admission::Held(pause);
        }
        RequestStanding::Suspect => None,
        RequestStanding::TrialDue(trial) => Some(trial),
    };
    if let Some(trial) = trial {
        if !quarantine_writer::start_trial(node, identity, trial).await {
            log_held(node, call, TRIAL_PAUSE);
            return Admission::Held(TRIAL_PAUSE);
        }
        log::info!(
            id = call.headers.id_text(),
            service = call.service.as_str(),
            content = identity.to_string().as_str(),
            trial = trial + 1;
            "trial of a quarantined request"
        );
    }
    node.suspects.lock().start(identity);
    Admission::Admitted(Some(SuspectPass {
        node: node.clone(),
        identity,
        is_trial: trial.is_some(),
    }))
}

/// Time to refuse a request for that has been quarantined since it was admitted.
pub(crate) fn held_since(
    node: &GatewayNode,
    call: &CallerCall,
    pass: Option<&SuspectPass>,
) -> Option<Duration> {
    if pass.is_some_and(|pass| pass.is_trial) {
        return None;
    }
    match standing_of(node, call)? {
        RequestStanding::Held(pause) => {
            log_held(node, call, pause);
            Some(pause)
        }
        RequestStanding::TrialDue(_) => Some(TRIAL_PAUSE),
        _ => None,
    }
}

/// Standing of a request; `None`, without a look at its body, if no such request is suspect.
fn standing_of(node: &GatewayNode, call: &CallerCall) -> Option<RequestStanding> {
    {
        let table = node.suspects.lock();
        if table.is_empty() || !table.may_contain(call.target_hash()) {
            return None;
        }
    }
    let identity = call.identity();
    Some(node.suspects.lock().standing(identity, node.now()))
}

/// Records that the connection to `server` ended under a request. Returns whether the server has
/// gone; it counts as crashed then.
pub(crate) async fn record_lost_connection(
    node: &GatewayNode,
    call: &CallerCall,
    state: &ServiceState,
    server: &ServerRuntime,
) -> bool {
    let dialer = TcpDialer::direct();
    match dialer.connect(server.entry.address, CHECK_TIMEOUT).await {
        Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {}
        _ => return false,
    }
    let now = node.now();
    let hash = IncarnationHash::from(server.incarnation());
    state.crashes.lock().record(hash, now);
    let report = SuspectReport {
        identity: call.identity(),
        target: call.target_hash(),
        is_keyed: node.is_keyed(&call.service),
        server: hash,
        verdict: CrashVerdict::Crashed,
    };
    let change = node.suspects.lock().record_crash(report, now);
    if node.log.allow("crash", now) {
        log::info!(
            id = call.headers.id_text(),
            server = server.incarnation().id.as_str(),
            service = call.service.as_str(),
            content = report.identity.to_string().as_str(),
            crashes = node.suspects.lock().crashes(report.identity);
            "server has gone under a request"
        );
    }
    apply_change(node, report.identity, change, "own");
    true
}

/// Records that a server answered a request.
pub(crate) fn record_success(node: &GatewayNode, call: &CallerCall) {
    if standing_of(node, call).is_none() {
        return;
    }
    let identity = call.identity();
    let now = node.now();
    let change = node.suspects.lock().record_success(identity, now);
    apply_change(node, identity, change, "own");
}

/// Applies what another instance reports.
pub(crate) fn apply_report(node: &GatewayNode, report: SuspectReport) {
    let change = node.suspects.lock().apply_report(report, node.now());
    apply_change(node, report.identity, change, "peer");
}

fn apply_change(
    node: &GatewayNode,
    identity: RequestIdentity,
    change: SuspectChange,
    source: &'static str,
) {
    let content = identity.to_string();
    match change {
        SuspectChange::None => return,
        SuspectChange::Marked(_) | SuspectChange::Cleared(false) => {}
        SuspectChange::Quarantined(crashes) => {
            metrics::counter!(QUARANTINES, "change" => "started").increment(1);
            log::warn!(content = content.as_str(), crashes, source; "request quarantined");
            node.quarantine_changed.notify(usize::MAX);
        }
        SuspectChange::Cleared(true) => {
            metrics::counter!(QUARANTINES, "change" => "ended").increment(1);
            log::info!(content = content.as_str(), source; "quarantine of a request ended");
            node.quarantine_changed.notify(usize::MAX);
        }
    }
    node.heartbeat_due.notify(usize::MAX);
}

fn log_held(node: &GatewayNode, call: &CallerCall, pause: Duration) {
    if node.log.allow("held", node.now()) {
        let identity = call.identity();
        log::info!(
            id = call.headers.id_text(),
            service = call.service.as_str(),
            content = identity.to_string().as_str(),
            crashes = node.suspects.lock().crashes(identity),
            retry_after_ms = pause.as_millis() as u64;
            "request held back"
        );
    }
}
