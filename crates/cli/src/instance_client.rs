//! HTTP client of an instance's operator port.

use crate::prelude::*;

/// Client of one instance's operator port.
pub(crate) struct InstanceClient {
    http: HttpClient,
    token: String,
}

/// Error of a call to an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// The instance did not respond, for this reason.
    NoResponse(String),
    /// The instance responded with this error status and reason.
    Refused(u16, String),
}

impl Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Self::NoResponse(cause) => write!(f, "no answer: {cause}"),
            Self::Refused(status, reason) => write!(f, "refused with {status} {reason}"),
        }
    }
}

impl InstanceClient {
    /// Timeout of one call.
    const CALL_TIMEOUT: Duration = Duration::from_secs(2);

    /// Creates a client of the operator port at `address`.
    pub(crate) fn new(session: &CliSession, address: SocketAddr) -> Self {
        Self {
            http: HttpClient::new(session.pool.clone(), TcpDialer::direct(), address),
            token: session.settings.token.clone(),
        }
    }

    /// Address of the operator port.
    pub(crate) fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Sends a GET request and returns the JSON response.
    pub(crate) async fn get(&self, target: &str) -> Result<Value, CallError> {
        self.call(http::Method::GET, target).await
    }

    /// Sends a POST request and returns the JSON response.
    pub(crate) async fn post(&self, target: &str) -> Result<Value, CallError> {
        self.call(http::Method::POST, target).await
    }

    async fn call(&self, method: http::Method, target: &str) -> Result<Value, CallError> {
        let no_response = |error: &dyn Display| CallError::NoResponse(error.to_string());
        let request = http::Request::builder()
            .method(method)
            .uri(target)
            .header(http::header::HOST, "operators")
            .header(
                http::header::AUTHORIZATION,
                format!("Bearer {}", self.token),
            )
            .body(http_body_util::Full::new(Bytes::new()))
            .map_err(|error| no_response(&error))?;
        let response = self
            .http
            .exchange(request, Self::CALL_TIMEOUT)
            .await
            .map_err(|error| no_response(&error))?;
        let value = serde_json::from_slice(response.body()).unwrap_or(Value::Null);
        if response.status().is_success() {
            return Ok(value);
        }
        let reason = text_at(&value, "/error");
        Err(CallError::Refused(response.status().as_u16(), reason))
    }
}

/// Sends the same GET request to all instances concurrently.
pub(crate) async fn query_all(
    clients: &[InstanceClient],
    target: &str,
) -> Vec<Result<Value, CallError>> {
    let calls = clients.iter().map(|client| client.get(target));
    futures_util::future::join_all(calls).await
}

/// Field of a JSON response as text; empty if the field is absent or null.
pub(crate) fn text_at(value: &Value, pointer: &str) -> String {
    match value.pointer(pointer) {
        None | Some(Value::Null) => String::new(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}

/// Array in a JSON response; empty if it is absent.
pub(crate) fn rows_at<'v>(value: &'v Value, pointer: &str) -> &'v [Value] {
    match value.pointer(pointer) {
        Some(Value::Array(rows)) => rows,
        _ => &[],
    }
}
