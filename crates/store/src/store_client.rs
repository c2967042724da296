//! Calls to the store.

use crate::prelude::*;

/// Client of the object API at one address.
pub struct StoreClient {
    http: HttpClient,
    timeout: Duration,
    clock: SteadyClock,
    meter: Mutex<CallMeter>,
}

impl StoreClient {
    /// Time after which a call without an answer is unclear.
    pub const DEFAULT_TIMEOUT: Duration = Duration::from_millis(500);

    /// Client of the store at `address`.
    pub fn new(pool: Arc<WorkerPool>, dialer: TcpDialer, address: SocketAddr) -> Self {
        Self {
            http: HttpClient::new(pool, dialer, address),
            timeout: Self::DEFAULT_TIMEOUT,
            clock: SteadyClock,
            meter: Mutex::new(CallMeter::new(SteadyClock.now())),
        }
    }

    /// Calls made so far by kind.
    pub fn calls(&self) -> IndexMap<String, u64> {
        self.meter.lock().unwrap().calls()
    }

    /// Health by the latest calls.
    pub fn state(&self) -> StoreState {
        self.meter.lock().unwrap().state()
    }

    /// Calls left in the budget.
    pub fn budget_left(&self) -> f64 {
        self.meter.lock().unwrap().left()
    }

    /// Reads an object.
    pub async fn read(&self, path: &ObjectPath) -> Result<Option<StoredObject>, StoreError> {
        let response = self.call(Method::GET, path, &[], Bytes::new()).await?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => Ok(Some(StoredObject {
                version: version_of(&response)?,
                value: decode(response.body())?,
            })),
            status => Err(StoreError::Unavailable(format!("status {status}"))),
        }
    }

    /// Writes an object whose value carries `write_id`, and resolves a lost answer by reading back.
    pub async fn write(
        &self,
        path: &ObjectPath,
        condition: WriteCondition,
        value: &impl Serialize,
        write_id: &str,
    ) -> Result<WriteOutcome, StoreError> {
        match self.write_once(path, condition, value).await {
            Ok(WriteOutcome::Conflict) | Err(StoreError::Unclear(_)) => {
                self.resolve(path, condition, write_id).await
            }
            result => result,
        }
    }

    /// Removes an object at a version.
    pub async fn remove(
        &self,
        path: &ObjectPath,
        version: ObjectVersion,
    ) -> Result<WriteOutcome, StoreError> {
        let condition = condition_header(WriteCondition::Version(version));
        let response = self
            .call(Method::DELETE, path, &[condition], Bytes::new())
            .await?;
        outcome_of(&response)
    }

    /// Waits up to `wait` for changes under `prefix` after a version.
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

    /// Reads the platform's list of instances, which lags.
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
        outcome_of(&response)
    }

    /// Finds out whether the write `write_id` took effect.
    ///
    /// While the object is still in the state that the write requires, a delayed write may yet take
    /// effect: the result stays unclear and the same write may be tried again.
    async fn resolve(
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
            (None, WriteCondition::Absent) => Err(StoreError::Unclear("write pending".into())),
            (Some(object), WriteCondition::Version(required)) if object.version == required => {
                Err(StoreError::Unclear("write pending".into()))
            }
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

    /// Makes one call that the store may hold back for `wait`.
    async fn exchange(
        &self,
        kind: CallKind,
        request: Request<http_body_util::Full<Bytes>>,
        wait: Duration,
    ) -> Result<Response<Bytes>, StoreError> {
        let started = self.clock.now();
        if !self.meter.lock().unwrap().start(kind, started) {
            return Err(StoreError::Unavailable("budget of calls used up".into()));
        }
        let result = self.http.exchange(request, self.timeout + wait).await;
        let took = self.clock.now().since(started).saturating_sub(wait);
        let mut meter = self.meter.lock().unwrap();
        match &result {
            Ok(response) if !response.status().is_server_error() => meter.answered(took),
            _ => meter.failed(),
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

fn outcome_of(response: &Response<Bytes>) -> Result<WriteOutcome, StoreError> {
    match response.status() {
        StatusCode::OK => Ok(WriteOutcome::Written(version_of(response)?)),
        StatusCode::PRECONDITION_FAILED => Ok(WriteOutcome::Conflict),
        status if status.is_server_error() => Err(StoreError::Unclear(format!("status {status}"))),
        status => Err(StoreError::Unavailable(format!("status {status}"))),
    }
}

fn version_of(response: &Response<Bytes>) -> Result<ObjectVersion, StoreError> {
    response
        .headers()
        .get(header::ETAG)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map(ObjectVersion)
        .ok_or_else(|| StoreError::Malformed("answer without a version".into()))
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| StoreError::Malformed(error.to_string()))
}
