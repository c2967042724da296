//! Client of the platform's object store.

use crate::{era_watch::EraWatch, prelude::*};

/// Client of the store at one address, which tracks the store's availability.
pub(crate) struct ObjectClient {
    http: HttpClient,
    clock: SteadyClock,
    pub(crate) health: StoreHealth,
    pub(crate) eras: EraWatch,
}

/// Reason why a store call gave no result.
#[derive(Debug)]
pub(crate) enum StoreCallError {
    /// The store was not reached or gave no usable answer; the call had no effect.
    Unavailable(String),
    /// No answer came: the call may have taken effect or may still do so.
    Unclear(String),
    /// The store no longer has the history after the revision.
    Compacted,
    /// The answer is larger than any that is read.
    TooLarge,
}

impl ObjectClient {
    /// Time without an answer after which the outcome of a call is unclear.
    pub(crate) const TIMEOUT: Duration = Duration::from_millis(1_000);

    /// The same for reads over a kept connection, which may have gone silent: the next call opens a
    /// new one.
    pub(crate) const REUSED_TIMEOUT: Duration = Duration::from_millis(300);

    /// Time without a further piece of an answer after which it counts as lost.
    const STALL_TIMEOUT: Duration = Duration::from_millis(600);

    /// Creates a client of the store at `address`.
    pub(crate) fn new(pool: Arc<WorkerPool>, address: SocketAddr) -> Self {
        Self {
            http: HttpClient::new(pool, TcpDialer::direct(), address),
            clock: SteadyClock,
            health: StoreHealth::default(),
            eras: EraWatch::default(),
        }
    }

    /// Lists all objects of a kind, page by page.
    pub(crate) async fn list(&self, kind: ObjectKind) -> Result<ObjectPage, StoreCallError> {
        let mut listed: ObjectPage = self.list_page(kind, None).await?;
        while let Some(after) = listed.next.take() {
            let page = self.list_page(kind, Some(&after)).await?;
            if page.revision.era != listed.revision.era {
                let cause = "store was restored between two pages".into();
                return Err(StoreCallError::Unavailable(cause));
            }
            if page.next.as_ref() == Some(&after) {
                let cause = format!("next page begins after {after:?} again");
                return Err(StoreCallError::Unavailable(cause));
            }
            listed.objects.extend(page.objects);
            listed.next = page.next;
            // A watch from the first page's revision reports changes between the pages.
            listed.revision = listed.revision.min(page.revision);
        }
        Ok(listed)
    }

    async fn list_page(
        &self,
        kind: ObjectKind,
        after: Option<&str>,
    ) -> Result<ObjectPage, StoreCallError> {
        let request = StoreRequest::list(kind, after);
        self.read_body("list", request, Duration::ZERO).await
    }

    /// Waits up to `wait` for changes of a kind after the revision `after`. Of what comes after a
    /// revision of an earlier era, the store has no history.
    pub(crate) async fn watch(
        &self,
        kind: ObjectKind,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<ObjectChanges, StoreCallError> {
        if after.era != self.era().number {
            return Err(StoreCallError::Compacted);
        }
        let request = StoreRequest::watch(kind, after.number, wait);
        let changes: ObjectChanges = self.read_body("watch", request, wait).await?;
        match changes.revision.era == after.era {
            true => Ok(changes),
            false => Err(StoreCallError::Compacted),
        }
    }

    /// Reads one object; `None` if it does not exist.
    pub(crate) async fn read(
        &self,
        kind: ObjectKind,
        name: &str,
    ) -> Result<Option<PlatformObject>, StoreCallError> {
        let limits = Self::limits(Self::TIMEOUT, Self::REUSED_TIMEOUT);
        let (response, era) = self
            .exchange("read", StoreRequest::read(kind, name), limits)
            .await?;
        match response.status() {
            StatusCode::OK => parse(response.body(), era).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(StoreCallError::Unavailable(format!("status {status}"))),
        }
    }

    /// Creates an object.
    pub(crate) async fn create(
        &self,
        kind: ObjectKind,
        name: &str,
        spec: &serde_json::Value,
    ) -> Result<WriteAnswer, StoreCallError> {
        let (answer, _) = self.write(StoreRequest::create(kind, name, spec)).await?;
        Ok(answer)
    }

    /// Replaces an object if it is still at `revision`. The store gives revisions of an earlier era
    /// out again: one of them says nothing about the object that it has now.
    pub(crate) async fn replace(
        &self,
        kind: ObjectKind,
        name: &str,
        revision: StoreRevision,
        spec: &serde_json::Value,
    ) -> Result<WriteAnswer, StoreCallError> {
        if revision.era != self.era().number {
            return Ok(WriteAnswer::Conflict);
        }
        let request = StoreRequest::replace(kind, name, revision.number, spec);
        let (answer, era) = self.write(request).await?;
        match era == revision.era {
            true => Ok(answer),
            false => Ok(WriteAnswer::Conflict),
        }
    }

    async fn write(&self, request: Request<Bytes>) -> Result<(WriteAnswer, u64), StoreCallError> {
        let limits = Self::limits(Self::TIMEOUT, Self::TIMEOUT);
        let (response, era) = self.exchange("write", request, limits).await?;
        Ok((WriteAnswer::read(&response, era), era))
    }

    async fn read_body<T>(
        &self,
        kind: &'static str,
        request: Request<Bytes>,
        wait: Duration,
    ) -> Result<T, StoreCallError>
    where
        T: for<'a> TryFrom<EraBody<'a>, Error = BodyError>,
    {
        let timeout = Self::TIMEOUT + wait;
        let reused_timeout = match wait < Self::REUSED_TIMEOUT {
            true => Self::REUSED_TIMEOUT + wait,
            false => timeout,
        };
        let limits = Self::limits(timeout, reused_timeout);
        let (response, era) = self.exchange(kind, request, limits).await?;
        match response.status() {
            StatusCode::OK => parse(response.body(), era),
            StatusCode::GONE => Err(StoreCallError::Compacted),
            status => Err(StoreCallError::Unavailable(format!("status {status}"))),
        }
    }

    fn limits(timeout: Duration, reused_timeout: Duration) -> ExchangeLimits {
        ExchangeLimits {
            timeout,
            reused_timeout,
            stall_timeout: Some(Self::STALL_TIMEOUT),
            max_answer_bytes: HttpClient::MAX_ANSWER_BYTES,
        }
    }

    /// Sends one call. Returns the answer and the number of the era of which it is.
    async fn exchange(
        &self,
        kind: &'static str,
        request: Request<Bytes>,
        limits: ExchangeLimits,
    ) -> Result<(Response<Bytes>, u64), StoreCallError> {
        let request = request.map(Full::new);
        let asked_at = self.clock.now();
        let result = self.http.exchange_within(request, limits).await;
        let now = self.clock.now();
        let outcome = match &result {
            Ok(response) if response.status().is_server_error() => "refused",
            Ok(response) if response.status() == StatusCode::TOO_MANY_REQUESTS => "refused",
            Ok(_) => "answered",
            Err(_) => "lost",
        };
        metrics::counter!(STORE_CALLS, "kind" => kind, "result" => outcome).increment(1);
        match (&result, outcome) {
            (_, "answered") => self.health.record_success(now),
            (Ok(response), _) => {
                let cause = format!("{kind}: status {}", response.status());
                self.health.record_failure(now, &cause);
            }
            (Err(error), _) => self.health.record_failure(now, &format!("{kind}: {error}")),
        }
        match result {
            Ok(response) => {
                let notice = EraHeader::read(response.headers());
                match self.eras.observe(kind, notice, asked_at, now) {
                    EraVerdict::Current | EraVerdict::Begun { .. } => {
                        Ok((response, self.era().number))
                    }
                    EraVerdict::Stale => {
                        Err(StoreCallError::Unclear("answer of another era".into()))
                    }
                }
            }
            Err(error @ (ExchangeError::ConnectionRefused(_) | ExchangeError::NotSent(_))) => {
                Err(StoreCallError::Unavailable(error.to_string()))
            }
            Err(ExchangeError::AnswerTooLarge(_)) => Err(StoreCallError::TooLarge),
            Err(error) => Err(StoreCallError::Unclear(error.to_string())),
        }
    }

    /// Era of the store that is in force.
    pub(crate) fn era(&self) -> StoreEra {
        self.eras.era()
    }

    /// Takes over the era that another instance knows, if it is later.
    pub(crate) fn learn_era(&self, era: StoreEra) {
        self.eras.learn(era, self.clock.now());
    }
}

fn parse<T>(body: &[u8], era: u64) -> Result<T, StoreCallError>
where
    T: for<'a> TryFrom<EraBody<'a>, Error = BodyError>,
{
    T::try_from(EraBody { era, body })
        .map_err(|error| StoreCallError::Unavailable(format!("unreadable body: {error}")))
}

impl std::fmt::Display for StoreCallError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Self::Unavailable(cause) => write!(f, "store unavailable: {cause}"),
            Self::Unclear(cause) => write!(f, "store gave no answer: {cause}"),
            Self::Compacted => write!(f, "store no longer has the history after the revision"),
            Self::TooLarge => write!(f, "answer of the store is too large"),
        }
    }
}

impl std::error::Error for StoreCallError {}
