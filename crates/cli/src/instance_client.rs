//! Calls to an instance's operators' port.

use crate::prelude::*;

/// Client of one instance.
pub(crate) struct InstanceClient {
    http: HttpClient,
    token: String,
}

/// Why a call gave no answer of use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallFault {
    /// No answer.
    Silent(String),
    /// An answer with another status than success.
    Refused(u16, String),
}

impl Display for CallFault {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Self::Silent(cause) => write!(f, "no answer: {cause}"),
            Self::Refused(status, reason) => write!(f, "refused with {status} {reason}"),
        }
    }
}

impl InstanceClient {
    /// Longest time of one call.
    const CALL_TIMEOUT: Duration = Duration::from_secs(2);

    /// Client of the operators' port at `address`.
    pub(crate) fn new(session: &CliSession, address: SocketAddr) -> Self {
        Self {
            http: HttpClient::new(session.pool.clone(), TcpDialer::direct(), address),
            token: session.settings.token.clone(),
        }
    }

    /// Address of the port.
    pub(crate) fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Asks a question.
    pub(crate) async fn get(&self, target: &str) -> Result<Value, CallFault> {
        self.call(http::Method::GET, target).await
    }

    /// Asks for a change of state.
    pub(crate) async fn post(&self, target: &str) -> Result<Value, CallFault> {
        self.call(http::Method::POST, target).await
    }

    async fn call(&self, method: http::Method, target: &str) -> Result<Value, CallFault> {
        let silent = |error: &dyn Display| CallFault::Silent(error.to_string());
        let request = http::Request::builder()
            .method(method)
            .uri(target)
            .header(http::header::HOST, "operators")
            .header(
                http::header::AUTHORIZATION,
                format!("Bearer {}", self.token),
            )
            .body(http_body_util::Full::new(Bytes::new()))
            .map_err(|error| silent(&error))?;
        let response = self
            .http
            .exchange(request, Self::CALL_TIMEOUT)
            .await
            .map_err(|error| silent(&error))?;
        let value = serde_json::from_slice(response.body()).unwrap_or(Value::Null);
        if response.status().is_success() {
            return Ok(value);
        }
        let reason = text_at(&value, "/error");
        Err(CallFault::Refused(response.status().as_u16(), reason))
    }
}

/// Asks all instances at once.
pub(crate) async fn ask_all(
    clients: &[InstanceClient],
    target: &str,
) -> Vec<Result<Value, CallFault>> {
    let calls = clients.iter().map(|client| client.get(target));
    futures_util::future::join_all(calls).await
}

/// Field of an answer as text, empty when absent.
pub(crate) fn text_at(value: &Value, pointer: &str) -> String {
    match value.pointer(pointer) {
        None | Some(Value::Null) => String::new(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}

/// Rows of an answer, none when absent.
pub(crate) fn rows_at<'v>(value: &'v Value, pointer: &str) -> &'v [Value] {
    match value.pointer(pointer) {
        Some(Value::Array(rows)) => rows,
        _ => &[],
    }
}
