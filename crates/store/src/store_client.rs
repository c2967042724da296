//! HTTP client of the store's object API.

use crate::prelude::*;

/// Client of a store at one address.
pub struct StoreClient {
    http: HttpClient,
    timeout: Duration,
    clock: SteadyClock,
    meter: Mutex<CallMeter>,
}

impl StoreClient {
    /// Time after which a call without a response fails with [`StoreError::Unclear`].
    pub const DEFAULT_TIMEOUT: Duration = Duration::from_millis(500);

    /// Creates a client of the store at `address`.
    pub fn new(pool: Arc<WorkerPool>, dialer: TcpDialer, address: SocketAddr) -> Self {
        Self {
            http: HttpClient::new(pool, dialer, address),
            timeout: Self::DEFAULT_TIMEOUT,
            clock: SteadyClock,
            meter: Mutex::new(CallMeter::new(SteadyClock.now())),
        }
    }

    /// Number of calls made so far, by kind.
    pub fn calls(&self) -> IndexMap<String, u64> {
        self.meter.lock().unwrap().calls()
    }

    /// Health of the store according to the latest calls.
    pub fn state(&self) -> StoreState {
        self.meter.lock().unwrap().state()
    }

    /// Number of calls that the rate limit currently allows.
    pub fn budget_left(&self) -> f64 {
        self.meter.lock().unwrap().remaining()
    }

    /// Reads an object; `None` if it does not exist.
    pub async fn read(&self, path: &ObjectPath) -> Result<Option<StoredObject>, StoreError> {
        let response = self.call(Method::GET, path, &[], Bytes::new()).await?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => Ok(Some(StoredObject {
                version: etag_version(&response)?,
                value: decode(response.body())?,
            })),
            status => Err(StoreError::Unavailable(format!("status {status}"))),
        }
    }

    /// Writes an object whose value contains `write_id`.
    ///
    /// After a conflict or a lost response, reads the object back to determine the outcome.
    pub async fn write(
        &self,
        path: &ObjectPath,
        condition: WriteCondition,
        value: &impl Serialize,
        write_id: &str,
    ) -> Result<WriteOutcome, StoreError> {
        match self.write_once(path, condition, value).await {
            Ok(WriteOutcome::Conflict) | Err(StoreError::Unclear(_)) => {
                self.resolve_write(path, condition, write_id).await
            }
            result => result,
        }
    }

    /// Removes an object if it is at `version`.
    pub async fn remove(
        &self,
        path: &ObjectPath,
        version: ObjectVersion,
    ) -> Result<WriteOutcome, StoreError> {
        let condition = condition_header(WriteCondition::Version(version));
        let response = self
            .call(Method::DELETE, path, &[condition], Bytes::new())
            .await?;
        write_outcome(&response)
    }

    /// Waits up to `wait` for changes after the version `after` to objects under `prefix`.
    pub async fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        let target = format!(
            "/objects?prefix={prefix}&after={}&wait_ms={}",
            after.0,
            wait.as_millis()
        );
        let request = request(Method::GET, &target, &[], Bytes::new())?;
        let response = self.exchange(CallKind::Watch, request, wait).await?;
        match response.status() {
            StatusCode::OK => decode(response.body()),
            status => Err(StoreError::Unavailable(format!("status {status}"))),
        }
    }

    /// Reads the platform's list of instances, which is eventually consistent.
    pub async fn list_instances(&self) -> Result<Vec<ListedInstance>, StoreError> {
        let request = request(Method::GET, "/instances", &[], Bytes::new())?;
        let response = self
            .exchange(CallKind::List, request, Duration::ZERO)
            .await?;
        match response.status() {
            StatusCode::OK => decode(response.body()),
            status => Err(StoreError::Unavailable(format!("status {status}"))),
        }
    }

    async fn write_once(
        &self,
        path: &ObjectPath,
        condition: WriteCondition,
        value: &impl Serialize,
    ) -> Result<WriteOutcome, StoreError> {
        let body =
            serde_json::to_vec(value).map_err(|error| StoreError::Malformed(error.to_string()))?;
        let condition = condition_header(condition);
        let response = self
            .call(Method::PUT, path, &[condition], body.into())
            .await?;
        write_outcome(&response)
    }

    /// Determines whether the write `write_id` took effect.
    ///
    /// While the object is still in the state that the write requires, a delayed write may still
    /// take effect. In this case the result is unclear, and the caller may repeat the same write.
    async fn resolve_write(
        &self,
        path: &ObjectPath,
        condition: WriteCondition,
        write_id: &str,
    ) -> Result<WriteOutcome, StoreError> {
        let found = self
            .read(path)
            .await
            .map_err(|error| StoreError::Unclear(error.to_string()))?;
        match (found, condition) {
            (Some(object), _) if object.written_by(write_id) => {
                Ok(WriteOutcome::Written(object.version))
            }
            (None, WriteCondition::Absent) => Err(StoreError::Unclear(
                "the write may still be in flight".into(),
            )),
            (Some(object), WriteCondition::Version(required)) if object.version == required => Err(
                StoreError::Unclear("the write may still be in flight".into()),
            ),
            _ => Ok(WriteOutcome::Conflict),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &ObjectPath,
        headers: &[(header::HeaderName, String)],
        body: Bytes,
    ) -> Result<Response<Bytes>, StoreError> {
        let kind = match method {
            Method::GET => CallKind::Read,
            _ => CallKind::Write,
        };
        let request = request(method, &format!("/objects/{path}"), headers, body)?;
        self.exchange(kind, request, Duration::ZERO).await
    }

    /// Makes one call; the store may delay the response by `wait` (long polling).
    async fn exchange(
        &self,
        kind: CallKind,
        request: Request<http_body_util::Full<Bytes>>,
        wait: Duration,
    ) -> Result<Response<Bytes>, StoreError> {
        let started = self.clock.now();
        if !self.meter.lock().unwrap().try_start(kind, started) {
            return Err(StoreError::Unavailable("call rate limit reached".into()));
        }
        let result = self.http.exchange(request, self.timeout + wait).await;
        let duration = self.clock.now().since(started).saturating_sub(wait);
        let mut meter = self.meter.lock().unwrap();
        match &result {
            Ok(response) if !response.status().is_server_error() => meter.record_response(duration),
            _ => meter.record_failure(),
        }
        Ok(result?)
    }
}

fn request(
    method: Method,
    target: &str,
    headers: &[(header::HeaderName, String)],
    body: Bytes,
) -> Result<Request<http_body_util::Full<Bytes>>, StoreError> {
    let mut builder = Request::builder()
        .method(method)
        .uri(target)
        .header(header::HOST, "store");
    for (name, value) in headers {
        builder = builder.header(name, value);
    }
    builder
        .body(http_body_util::Full::new(body))
        .map_err(|error| StoreError::Unavailable(error.to_string()))
}

fn condition_header(condition: WriteCondition) -> (header::HeaderName, String) {
    match condition {
        WriteCondition::Absent => (header::IF_NONE_MATCH, "*".into()),
        WriteCondition::Version(version) => (header::IF_MATCH, version.0.to_string()),
    }
}

fn write_outcome(response: &Response<Bytes>) -> Result<WriteOutcome, StoreError> {
    match response.status() {
        StatusCode::OK => Ok(WriteOutcome::Written(etag_version(response)?)),
        StatusCode::PRECONDITION_FAILED => Ok(WriteOutcome::Conflict),
        status if status.is_server_error() => Err(StoreError::Unclear(format!("status {status}"))),
        status => Err(StoreError::Unavailable(format!("status {status}"))),
    }
}

fn etag_version(response: &Response<Bytes>) -> Result<ObjectVersion, StoreError> {
    response
        .headers()
        .get(header::ETAG)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map(ObjectVersion)
        .ok_or_else(|| StoreError::Malformed("response without a version".into()))
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| StoreError::Malformed(error.to_string()))
}
