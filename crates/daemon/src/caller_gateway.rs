//! Reads callers' requests, finds their class and forwards them to the leader of the part.
//!
//! A request's path is `/SERVICE/KEY`, optionally followed by more segments; it is forwarded to the
//! server unchanged.

use crate::prelude::*;
use hyper::body::Incoming;

/// Retry delay offered when this instance stops; the caller then reaches another one.
const STOP_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Answers one request of a caller.
pub(crate) async fn answer(
    node: Arc<InstanceNode>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let _in_flight = node.count_in_flight();
    let new_id = Uuid::now_v7();
    let (head, body) = request.into_parts();
    let (id, id_from_caller) = match request_id(&head.headers) {
        Ok(Some(id)) => (id, true),
        Ok(None) => (new_id, false),
        Err(notice) => return CallerAnswer::Refusal(notice).into_response(new_id),
    };
    let parsed = match parse(&node, &head, id, id_from_caller) {
        Ok(parsed) => parsed,
        Err(notice) => return CallerAnswer::Refusal(notice).into_response(id),
    };
    let (mut request, class) = parsed;
    let max_body = node
        .settings
        .max_body_bytes
        .min(class.max_body_bytes as usize);
    let stopped = async {
        node.stop_deadline.wait().await;
        let may_be_repeat = id_from_caller && !class.repeatable;
        Err(RefusalNotice::not_run(RefusalReason::Draining).without_dedup_check(may_be_repeat))
    };
    request.body = match future::or(read_body(body, max_body, &node), stopped).await {
        Ok(body) => body,
        Err(notice) => return CallerAnswer::Refusal(notice).into_response(id),
    };
    let deadline = node.clock.now().after(time_allowed(&head.headers, &class));
    let stopped = async {
        node.stop_deadline.wait().await;
        CallerAnswer::Refusal(stop_refusal(id_from_caller, &class))
    };
    let forwarded = forward_worker::forward(&node, request, &class, deadline);
    future::or(forwarded, stopped).await.into_response(id)
}

/// Refusal of a request that is still open shortly before a stop reaches its time limit; a server
/// may be running it.
fn stop_refusal(id_from_caller: bool, class: &RequestClass) -> RefusalNotice {
    RefusalNotice {
        retry_after: (class.repeatable || id_from_caller).then_some(STOP_RETRY_AFTER),
        ..RefusalNotice::may_have_run(RefusalReason::Draining)
    }
}

/// Id in the caller's header, if there is one.
fn request_id(headers: &http::HeaderMap) -> Result<Option<Uuid>, RefusalNotice> {
    let malformed = RefusalNotice::not_run(RefusalReason::BadRequest);
    let mut values = headers.get_all("geraniummast-request-id").iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(malformed);
    }
    match value
        .to_str()
        .ok()
        .and_then(|text| Uuid::parse_str(text).ok())
    {
        Some(id) => Ok(Some(id)),
        None => Err(malformed),
    }
}

/// Service, key and the segment that selects the class.
fn split_path(uri: &http::Uri) -> (ServiceName, &str, &str) {
    let mut segments = uri.path().trim_start_matches('/').split('/');
    let service = ServiceName::new(segments.next().unwrap_or_default());
    let key = segments.next().unwrap_or_default();
    (service, key, segments.next().unwrap_or_default())
}

/// Whether the request's class is known and repeatable.
pub(crate) fn is_repeatable(node: &InstanceNode, request: &Request<Incoming>) -> bool {
    let (service, _, segment) = split_path(request.uri());
    let gate = node.tables.gate.lock().unwrap();
    let declaration = gate.head().and_then(|head| head.services.get(&service));
    declaration
        .and_then(|declaration| declaration.find_class(request.method().as_str(), segment))
        .is_some_and(|class| class.repeatable)
}

/// Request without its body, and its class.
fn parse(
    node: &InstanceNode,
    head: &http::request::Parts,
    id: Uuid,
    id_from_caller: bool,
) -> Result<(CallerRequest, RequestClass), RefusalNotice> {
    let target = head
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let (service, key, segment) = split_path(&head.uri);
    let gate = node.tables.gate.lock().unwrap();
    let not_configured =
        RefusalNotice::try_again(RefusalReason::NotConfigured, Duration::from_secs(1));
    let configuration = gate
        .head()
        .ok_or(not_configured.without_dedup_check(id_from_caller))?;
    let declaration = configuration
        .services
        .get(&service)
        .ok_or(RefusalNotice::not_run(RefusalReason::UnknownService))?;
    if key.is_empty() {
        return Err(RefusalNotice::not_run(RefusalReason::BadRequest));
    }
    let class = declaration
        .find_class(head.method.as_str(), segment)
        .ok_or(RefusalNotice::not_run(RefusalReason::UnknownClass))?;
    if configuration
        .active_preset()
        .refused_classes
        .contains(&format!("{service}/{}", class.name))
    {
        let notice = RefusalNotice::not_run(RefusalReason::ClassRefused);
        return Err(notice.without_dedup_check(id_from_caller && !class.repeatable));
    }
    let caller = head
        .headers
        .get("geraniummast-caller")
        .and_then(|value| value.to_str().ok());
    let request = CallerRequest {
        id,
        id_from_caller,
        is_retry: false,
        caller: caller.unwrap_or_default().into(),
        class: class.name.clone(),
        hash: KeyHash::of(key),
        method: head.method.to_string(),
        target: target.into(),
        headers: HeaderField::forwarded(&head.headers),
        body: Bytes::new(),
        service,
    };
    Ok((request, class.clone()))
}

/// Reads the body, up to `max` bytes and within the body timeout.
async fn read_body(
    body: Incoming,
    max: usize,
    node: &InstanceNode,
) -> Result<Bytes, RefusalNotice> {
    let timeout = async {
        Timer::after(node.settings.body_timeout).await;
        Err(RefusalNotice::not_run(RefusalReason::BadRequest))
    };
    let read = async {
        match http_body_util::Limited::new(body, max).collect().await {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                Err(RefusalNotice::not_run(RefusalReason::BodyTooLarge))
            }
            Err(_) => Err(RefusalNotice::not_run(RefusalReason::BadRequest)),
        }
    };
    future::or(read, timeout).await
}

/// Time until the deadline: that of the class, or the caller's own if shorter.
fn time_allowed(headers: &http::HeaderMap, class: &RequestClass) -> Duration {
    let requested = headers
        .get("geraniummast-timeout-ms")
        .and_then(|value| value.to_str().ok()?.parse::<u64>().ok())
        .unwrap_or(class.deadline_ms);
    Duration::from_millis(requested.min(class.deadline_ms))
}
