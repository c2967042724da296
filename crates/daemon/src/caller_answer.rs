//! Answer to a caller.

use crate::prelude::*;

/// Answer of a server, or refusal by the router.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CallerAnswer {
    /// Complete answer of the server.
    Complete {
        /// HTTP status.
        status: u16,
        /// Headers that are forwarded.
        headers: Vec<HeaderField>,
        /// Body.
        body: Bytes,
    },
    /// Refusal by the router.
    Refusal(RefusalNotice),
}

/// JSON body of a refusal.
#[derive(Serialize)]
struct RefusalBody<'a> {
    reason: &'a str,
    ran: &'a str,
    retry_after_ms: Option<u64>,
    request_id: String,
}

impl CallerAnswer {
    /// Size of headers and body, counted against the limit of recorded answers.
    pub(crate) fn size_bytes(&self) -> usize {
        match self {
            Self::Complete { headers, body, .. } => {
                let fields = headers
                    .iter()
                    .map(|field| field.name.len() + field.value.len());
                body.len() + fields.sum::<usize>()
            }
            Self::Refusal(_) => 0,
        }
    }

    /// HTTP response to the request with this id; a status or header that HTTP does not allow
    /// becomes a refusal that says the request ran.
    pub(crate) fn into_response(self, id: Uuid) -> Response<Full<Bytes>> {
        match self {
            Self::Complete {
                status,
                headers,
                body,
            } => {
                let mut builder = Response::builder()
                    .status(status)
                    .header("geraniummast-request-id", id.to_string())
                    .header("geraniummast-ran", RunOutcome::Ran.as_str());
                for field in &headers {
                    builder = builder.header(&field.name, field.value.as_slice());
                }
                builder.body(Full::new(body)).unwrap_or_else(|_| {
                    let notice = RefusalNotice {
                        reason: RefusalReason::WrongAnswer,
                        outcome: RunOutcome::Ran,
                        retry_after: None,
                    };
                    refusal_response(&notice, id)
                })
            }
            Self::Refusal(notice) => refusal_response(&notice, id),
        }
    }
}

fn refusal_response(notice: &RefusalNotice, id: Uuid) -> Response<Full<Bytes>> {
    let retry_after_ms = notice.retry_after.map(|delay| delay.as_millis() as u64);
    let body = RefusalBody {
        reason: notice.reason.as_str(),
        ran: notice.outcome.as_str(),
        retry_after_ms,
        request_id: id.to_string(),
    };
    let text = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() =
        StatusCode::from_u16(notice.reason.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    let text = |value: &str| http::HeaderValue::from_str(value).expect("visible ASCII");
    headers.insert("content-type", text("application/json"));
    headers.insert("geraniummast-request-id", text(&id.to_string()));
    headers.insert("geraniummast-reason", text(notice.reason.as_str()));
    headers.insert("geraniummast-ran", text(notice.outcome.as_str()));
    if let Some(delay) = notice.retry_after {
        headers.insert("retry-after", text(&delay.as_secs().max(1).to_string()));
    }
    response
}
