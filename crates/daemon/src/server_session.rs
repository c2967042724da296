//! Exchanges with one server: requests, grants and readings of its clock.

use crate::prelude::*;

/// Authority and bounds of one request to a server.
pub(crate) struct ServerCallOptions {
    pub(crate) fence: FenceToken,
    /// Our reading before which the server must have started the request.
    pub(crate) not_after: MonoTime,
    /// Time left to the caller's deadline.
    pub(crate) remaining: Duration,
    /// Longest silence on a connection that was used before.
    pub(crate) reused_timeout: Duration,
    /// Largest body of the answer, in bytes.
    pub(crate) max_answer_bytes: usize,
}

/// Connections and clock of a server.
pub(crate) struct ServerSession {
    name: ServerName,
    http: HttpClient,
    control: HttpClient,
    clock: Mutex<Option<ServerClock>>,
    timing: TimingSettings,
    steady: SteadyClock,
}

impl ServerSession {
    /// Session with a declared server.
    pub(crate) fn new(node: &InstanceNode, server: &ServerDeclaration) -> Self {
        let client = || HttpClient::new(node.pool.clone(), node.dialer.clone(), server.address);
        Self {
            name: server.name.clone(),
            http: client(),
            control: client(),
            clock: Mutex::default(),
            timing: node.settings.timing,
            steady: node.clock,
        }
    }

    /// Name of the server.
    pub(crate) fn name(&self) -> &ServerName {
        &self.name
    }

    /// When a caller may come back after a refusal that doesn't say it.
    const REFUSED_RETRY: Duration = Duration::from_millis(250);

    /// Runs a request at the server.
    pub(crate) async fn run(
        &self,
        request: &CallerRequest,
        options: ServerCallOptions,
    ) -> Result<CallerAnswer, AttemptError> {
        let message = self.message(request, &options)?;
        let limits = ExchangeLimits {
            timeout: options.remaining,
            reused_timeout: options.reused_timeout,
            max_answer_bytes: options.max_answer_bytes,
        };
        let answer = self.http.exchange_within(message, limits).await;
        match answer {
            Ok(response) => self.answer_of(request, response),
            Err(ExchangeError::ConnectionRefused(cause) | ExchangeError::NotSent(cause)) => {
                log::debug!("{}: request not sent: {cause}", self.name);
                Err(AttemptError::NotSent)
            }
            Err(ExchangeError::Unclear(cause)) => {
                log::debug!("{}: no whole answer: {cause}", self.name);
                Err(AttemptError::ConnectionLost)
            }
            Err(ExchangeError::TimedOut) => Err(AttemptError::TimedOut),
            Err(ExchangeError::AnswerTooLarge(headers)) => Self::too_large(request, &headers),
        }
    }

    fn message(
        &self,
        request: &CallerRequest,
        options: &ServerCallOptions,
    ) -> Result<Request<Full<Bytes>>, AttemptError> {
        let clock = *self.clock.lock().unwrap();
        let clock = clock.ok_or(AttemptError::NotSent)?;
        let start_before = clock.no_later_than(options.not_after, &self.timing);
        let mut builder = Request::builder()
            .method(request.method.as_str())
            .uri(&request.target)
            .header("host", self.http.address().to_string())
            .header("geraniummast-request-id", request.id.to_string())
            .header("geraniummast-key-hash", request.hash.to_string())
            .header("geraniummast-fence", options.fence.to_string())
            .header("geraniummast-start-before-us", start_before.0.to_string())
            .header(
                "geraniummast-timeout-ms",
                options.remaining.as_millis().to_string(),
            );
        for field in &request.headers {
            builder = builder.header(&field.name, field.value.as_slice());
        }
        builder
            .body(Full::new(request.body.clone()))
            .map_err(|_| AttemptError::NotSent)
    }

    fn answer_of(
        &self,
        request: &CallerRequest,
        response: Response<Bytes>,
    ) -> Result<CallerAnswer, AttemptError> {
        let headers = response.headers();
        if !Self::echoes(request, headers) {
            metrics::counter!(metric_table::WRONG_ANSWERS).increment(1);
            return Err(AttemptError::WrongAnswer);
        }
        if Self::field(headers, "geraniummast-ran") == Some(RunOutcome::NotRun.as_str()) {
            return Ok(CallerAnswer::Refusal(RefusalNotice::try_again(
                RefusalReason::ServerRefused,
                Self::retry_after(headers),
            )));
        }
        Ok(CallerAnswer::Complete {
            status: response.status().as_u16(),
            headers: HeaderField::forwarded(headers),
            body: response.into_body(),
        })
    }

    /// A request whose answer was too large to read ran where the answer was its own.
    fn too_large(
        request: &CallerRequest,
        headers: &http::HeaderMap,
    ) -> Result<CallerAnswer, AttemptError> {
        if !Self::echoes(request, headers) {
            return Err(AttemptError::WrongAnswer);
        }
        let not_run = Self::field(headers, "geraniummast-ran") == Some(RunOutcome::NotRun.as_str());
        Ok(CallerAnswer::Refusal(RefusalNotice {
            reason: RefusalReason::AnswerTooLarge,
            outcome: match not_run {
                true => RunOutcome::NotRun,
                false => RunOutcome::Ran,
            },
            retry_after: None,
        }))
    }

    /// Whether an answer names the request's id.
    fn echoes(request: &CallerRequest, headers: &http::HeaderMap) -> bool {
        let echo = Self::field(headers, "geraniummast-request-id");
        echo.and_then(|text| Uuid::parse_str(text).ok()) == Some(request.id)
    }

    fn field<'a>(headers: &'a http::HeaderMap, name: &str) -> Option<&'a str> {
        headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// When the server lets its callers come back.
    fn retry_after(headers: &http::HeaderMap) -> Duration {
        Self::field(headers, "retry-after")
            .and_then(|text| text.parse().ok())
            .map_or(Self::REFUSED_RETRY, Duration::from_secs)
    }

    /// Closes connections that have not been used for a while.
    pub(crate) fn close_idle(&self) {
        self.http.close_idle();
        self.control.close_idle();
    }

    /// Sends a grant.
    pub(crate) async fn grant(&self, order: &GrantOrder) -> Result<GrantReplyWire, ExchangeError> {
        let body = serde_json::to_vec(&GrantWire::from(order)).unwrap_or_default();
        self.control_call("POST", "/control/grant", body.into())
            .await
    }

    /// Reads the server's clock.
    pub(crate) async fn read_clock(&self) -> Result<GrantReplyWire, ExchangeError> {
        self.control_call("GET", "/control/clock", Bytes::new())
            .await
    }

    async fn control_call(
        &self,
        method: &str,
        target: &str,
        body: Bytes,
    ) -> Result<GrantReplyWire, ExchangeError> {
        let unclear = |error: &dyn Display| ExchangeError::Unclear(error.to_string());
        let request = Request::builder()
            .method(method)
            .uri(target)
            .header("host", self.control.address().to_string())
            .body(Full::new(body))
            .map_err(|error| unclear(&error))?;
        let response = self
            .control
            .exchange(request, self.timing.grant_renewal)
            .await?;
        let reply: GrantReplyWire =
            serde_json::from_slice(response.body()).map_err(|error| unclear(&error))?;
        let reading = ServerClock::new(MonoTime(reply.clock_us), self.steady.now());
        *self.clock.lock().unwrap() = Some(reading);
        Ok(reply)
    }
}
