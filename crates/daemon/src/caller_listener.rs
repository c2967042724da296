//! Metrics and the log line of each caller's request; the line holds neither key nor body.

use crate::{metric_worker, prelude::*};
use hyper::body::Incoming;

/// Retry delay offered by an instance that is cut off from store and peers.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Answers one request of a caller, and measures and logs it.
pub(crate) async fn answer(
    node: Arc<InstanceNode>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let started_at = node.clock.now();
    let path = request.uri().path().trim_start_matches('/').to_string();
    let (service, rest) = path.split_once('/').unwrap_or((&path, ""));
    let key = rest.split('/').next().unwrap_or_default();
    let (service, slice) = locate(&node, service, key);
    let response = match node.is_cut_off() {
        true => refuse_cut_off(&node, &request),
        false => caller_gateway::answer(node.clone(), request).await,
    };
    let elapsed = node.clock.now().since(started_at);
    metric_worker::count_answer(&node, &service, &response, elapsed);
    let header = |name| {
        let value = response.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or("none")
    };
    log::debug!(
        request = header("geraniummast-request-id"),
        instance = node.settings.name.as_str(),
        service = service.as_str(),
        slice = slice.as_str(),
        status = response.status().as_u16(),
        ran = header("geraniummast-ran"),
        reason = header("geraniummast-reason"),
        micros = elapsed.as_micros() as u64;
        "answered"
    );
    response
}

/// Refusal by an instance that has had no contact with store or peers for too long. It cannot ask a
/// leader whether an earlier request with the id ran.
fn refuse_cut_off(node: &InstanceNode, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let header = request.headers().get("geraniummast-request-id");
    let id = header.and_then(|value| Uuid::parse_str(value.to_str().ok()?).ok());
    let may_be_repeat = id.is_some() && !caller_gateway::is_repeatable(node, request);
    let notice = RefusalNotice::try_again(RefusalReason::NotConfigured, RETRY_AFTER);
    CallerAnswer::Refusal(notice.without_dedup_check(may_be_repeat))
        .into_response(id.unwrap_or_else(Uuid::now_v7))
}

/// Declared service and first hash of the key's slice for metrics and logs; "unknown" where there
/// is none, and for the slice if the log level does not need it.
fn locate(node: &InstanceNode, service: &str, key: &str) -> (String, String) {
    let unknown = || "unknown".to_string();
    let gate = node.tables.gate.lock().unwrap();
    let name = ServiceName::new(service);
    let Some(declaration) = gate.head().and_then(|head| head.services.get(&name)) else {
        return (unknown(), unknown());
    };
    if !log::log_enabled!(log::Level::Debug) {
        return (service.into(), unknown());
    }
    let hash = KeyHash::of(key);
    let id = PartId::new(name, hash.part_index(declaration.parts));
    let parts = node.tables.parts.lock().unwrap();
    let entry = parts.get(&id).and_then(|known| known.record.slice_of(hash));
    let slice = entry.map_or_else(unknown, |entry| KeyHash(entry.start).to_string());
    (service.into(), slice)
}
