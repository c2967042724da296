//! Holds back requests that crash servers, and keeps the store's record of them.

use crate::prelude::*;
use std::time::{SystemTime, UNIX_EPOCH};

/// Time that a server is given to accept a connection, to tell a crash from a lost connection.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause before a failed write of the record is repeated.
const WRITE_PAUSE: Duration = Duration::from_millis(300);
/// Number of writes that may fail because another instance wrote first.
const MAX_CONFLICTS: usize = 4;

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
        if !start_trial(node, identity, trial).await {
            log_held(node, call, WRITE_PAUSE);
            return Admission::Held(WRITE_PAUSE);
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
        RequestStanding::TrialDue(_) => Some(WRITE_PAUSE),
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

/// Applies the store's record.
pub(crate) fn apply_record(node: &GatewayNode, object: &PlatformObject) -> Result<(), BodyError> {
    let record = read_record(object)?;
    let mut table = node.suspects.lock();
    table.apply_record(&record, object.revision, node.now());
    Ok(())
}

fn read_record(object: &PlatformObject) -> Result<QuarantineRecord, BodyError> {
    let stored: StoredQuarantine = RecordBody::read(object)?;
    QuarantineRecord::try_from(stored).map_err(|error| BodyError(error.to_string()))
}

/// Writes quarantines that start or end to the store's record, until the worker pool stops.
pub(crate) async fn keep_record(node: Arc<GatewayNode>) {
    loop {
        let changed = node.quarantine_changed.listen();
        while has_news(&node) {
            let is_leader = node.is_leading();
            let written = change_record(&node, |record| {
                let table = node.suspects.lock();
                table.update_record(record, is_leader, unix_time_s())
            });
            if written.await {
                break;
            }
            Timer::after(WRITE_PAUSE).await;
        }
        changed.await;
    }
}

/// Whether this instance has changes for the record that it last read.
fn has_news(node: &GatewayNode) -> bool {
    let mut record = QuarantineRecord::default();
    let known = node
        .mirror
        .lock()
        .object(ObjectKind::Records, QuarantineRecord::NAME)
        .and_then(|object| read_record(&object).ok());
    record.requests = known.unwrap_or_default().requests;
    let is_leader = node.is_leading();
    let table = node.suspects.lock();
    table.update_record(&mut record, is_leader, unix_time_s())
}

/// Counts a trial in the store's record; returns whether this instance may run it.
async fn start_trial(node: &GatewayNode, identity: RequestIdentity, trial: u32) -> bool {
    let mut is_started = false;
    let written = change_record(node, |record| {
        is_started = record.start_trial(identity, trial);
        is_started
    });
    written.await && is_started
}

/// Changes the store's record if `change` says that there is something to change. Returns whether
/// the store has the result.
async fn change_record(
    node: &GatewayNode,
    mut change: impl FnMut(&mut QuarantineRecord) -> bool,
) -> bool {
    let (kind, name) = (ObjectKind::Records, QuarantineRecord::NAME);
    let mut known = node.mirror.lock().object(kind, name);
    for _ in 0..=MAX_CONFLICTS {
        let mut record = match known.as_ref().map(read_record) {
            Some(Ok(record)) => record,
            // A record that cannot be read is replaced.
            Some(Err(_)) | None => QuarantineRecord::default(),
        };
        if !change(&mut record) {
            return true;
        }
        let Ok(spec) = RecordBody::write(&StoredQuarantine::from(&record)) else {
            return false;
        };
        let written = match &known {
            Some(object) => {
                let revision = object.revision;
                node.store.replace(kind, name, revision, &spec).await
            }
            None => node.store.create(kind, name, &spec).await,
        };
        match written {
            Ok(WriteAnswer::Written(object)) => {
                node.mirror.lock().insert(kind, object.clone());
                let mut table = node.suspects.lock();
                table.apply_record(&record, object.revision, node.now());
                return true;
            }
            Ok(WriteAnswer::Conflict | WriteAnswer::Missing) => {}
            _ => return false,
        }
        match node.store.read(kind, name).await {
            Ok(object) => known = object,
            Err(_) => return false,
        }
    }
    false
}

fn unix_time_s() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |time| time.as_secs())
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
