//! Exchanges with one server: requests, grants and readings of its clock.

use crate::prelude::*;

/// Authority and limits of one request to a server.
pub(crate) struct ServerCallOptions {
    /// Fencing token under which the request is sent.
    pub(crate) fence: FenceToken,
    /// Time on this instance's clock by which the server must have started the request.
    pub(crate) not_after: MonoTime,
    /// Time left to the caller's deadline.
    pub(crate) remaining: Duration,
    /// Longest wait for an answer on a reused connection.
    pub(crate) reused_timeout: Duration,
    /// Largest body of an answer.
    pub(crate) max_answer_bytes: usize,
}

/// Connections to a server and the latest reading of its clock.
pub(crate) struct ServerSession {
    name: ServerName,
    /// Connections for callers' requests.
    http: HttpClient,
    /// Connections for grants and clock readings.
    control: HttpClient,
    clock: Mutex<Option<ServerClock>>,
    timing: TimingSettings,
    own_clock: SteadyClock,
}

impl ServerSession {
    /// Session with a declared server, not connected yet.
    pub(crate) fn new(node: &InstanceNode, server: &ServerDeclaration) -> Self {
        let client = || HttpClient::new(node.pool.clone(), node.dialer.clone(), server.address);
        Self {
            name: server.name.clone(),
            http: client(),
            control: client(),
            clock: Mutex::default(),
            timing: node.settings.timing,
            own_clock: node.clock,
        }
    }

    /// Name of the server.
    pub(crate) fn name(&self) -> &ServerName {
        &self.name
    }

    /// Retry delay offered when a server refuses a request without naming one.
    const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

    /// Sends a request to the server and reads its answer.
    pub(crate) async fn run(
        &self,
        request: &CallerRequest,
        options: ServerCallOptions,
    ) -> Result<CallerAnswer, AttemptError> {
        let message = self.build_message(request, &options)?;
        let limits = ExchangeLimits {
            timeout: options.remaining,
            reused_timeout: options.reused_timeout,
            stall_timeout: None,
            max_answer_bytes: options.max_answer_bytes,
        };
        let answer = self.http.exchange_within(message, limits).await;
        match answer {
            Ok(response) => self.read_answer(request, response),
            Err(ExchangeError::ConnectionRefused(cause) | ExchangeError::NotSent(cause)) => {
                log::debug!("{}: request not sent: {cause}", self.name);
                Err(AttemptError::NotSent)
            }
            Err(ExchangeError::Unclear(cause) | ExchangeError::ConnectionLost(cause)) => {
                log::debug!("{}: incomplete answer: {cause}", self.name);
                Err(AttemptError::ConnectionLost)
            }
            Err(ExchangeError::TimedOut) => Err(AttemptError::TimedOut),
            Err(ExchangeError::AnswerTooLarge(headers)) => {
                Self::read_oversized_answer(request, &headers)
            }
        }
    }

    /// Request as the server gets it; fails while the server's clock has not been read.
    fn build_message(
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

    /// Answer or refusal of the server; an answer without the request's id is a wrong answer.
    fn read_answer(
        &self,
        request: &CallerRequest,
        response: Response<Bytes>,
    ) -> Result<CallerAnswer, AttemptError> {
        let headers = response.headers();
        if !Self::echoes_request_id(request, headers) {
            metrics::counter!(metric_table::WRONG_ANSWERS).increment(1);
            return Err(AttemptError::WrongAnswer);
        }
        if Self::header(headers, "geraniummast-ran") == Some(RunOutcome::NotRun.as_str()) {
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

    /// Refusal for an answer that exceeds the size limit. The request ran, unless the answer's
    /// headers say otherwise or belong to another request.
    fn read_oversized_answer(
        request: &CallerRequest,
        headers: &http::HeaderMap,
    ) -> Result<CallerAnswer, AttemptError> {
        if !Self::echoes_request_id(request, headers) {
            return Err(AttemptError::WrongAnswer);
        }
        let not_run =
            Self::header(headers, "geraniummast-ran") == Some(RunOutcome::NotRun.as_str());
        Ok(CallerAnswer::Refusal(RefusalNotice {
            reason: RefusalReason::AnswerTooLarge,
            outcome: match not_run {
                true => RunOutcome::NotRun,
                false => RunOutcome::Ran,
            },
            retry_after: None,
        }))
    }

    /// Whether an answer carries the request's id.
    fn echoes_request_id(request: &CallerRequest, headers: &http::HeaderMap) -> bool {
        let echo = Self::header(headers, "geraniummast-request-id");
        echo.and_then(|text| Uuid::parse_str(text).ok()) == Some(request.id)
    }

    /// Value of a header, if present and visible ASCII.
    fn header<'a>(headers: &'a http::HeaderMap, name: &str) -> Option<&'a str> {
        headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Retry delay that the server names.
    fn retry_after(headers: &http::HeaderMap) -> Duration {
        Self::header(headers, "retry-after")
            .and_then(|text| text.parse().ok())
            .map_or(Self::DEFAULT_RETRY_AFTER, Duration::from_secs)
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_idle(&self) {
        self.http.close_idle();
        self.control.close_idle();
    }

    /// Sends a grant to the server.
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

    /// Sends a request to the server's control interface and stores the clock reading of its reply.
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
        let server_clock = ServerClock::new(MonoTime(reply.clock_us), self.own_clock.now());
        *self.clock.lock().unwrap() = Some(server_clock);
        Ok(reply)
    }
}
