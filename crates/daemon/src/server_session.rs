//! Exchanges with one server: requests, grants and readings of its clock.

use crate::prelude::*;

/// Connections and clock of a server.
pub(crate) struct ServerSession {
    name: ServerName,
    http: HttpClient,
    control: HttpClient,
    clock: Mutex<Option<ServerClock>>,
    timing: TimingPlan,
    steady: SteadyClock,
}

impl ServerSession {
    /// Session with a declared server.
    pub(crate) fn new(node: &Node, server: &ServerDeclaration) -> Self {
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

    /// Runs a request at the server.
    pub(crate) async fn run(
        &self,
        request: &CallerRequest,
        fence: FenceToken,
        not_after: MonoTime,
        remaining: Duration,
    ) -> Result<CallerAnswer, ExchangeError> {
        let unsent = |cause: &str| ExchangeError::NotSent(cause.into());
        let clock = self
            .clock
            .lock()
            .unwrap()
            .ok_or_else(|| unsent("clock unknown"))?;
        let start_before = clock.no_later_than(not_after, &self.timing);
        let mut builder = Request::builder()
            .method(request.method.as_str())
            .uri(&request.target)
            .header("host", self.http.address().to_string())
            .header("geraniummast-request-id", request.id.to_string())
            .header("geraniummast-key-hash", request.hash.to_string())
            .header("geraniummast-fence", fence.to_string())
            .header("geraniummast-start-before-us", start_before.0.to_string())
            .header("geraniummast-timeout-ms", remaining.as_millis().to_string());
        for field in &request.headers {
            builder = builder.header(&field.name, field.value.as_slice());
        }
        let message = builder
            .body(Full::new(request.body.clone()))
            .map_err(|error| unsent(&error.to_string()))?;
        let response = self.http.exchange(message, remaining).await?;
        Ok(self.answer_of(request, response))
    }

    fn answer_of(&self, request: &CallerRequest, response: Response<Bytes>) -> CallerAnswer {
        let header = |name| {
            response
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok())
        };
        if header("geraniummast-request-id") != Some(request.id.to_string().as_str()) {
            let notice = RefusalNotice::unknown(RefusalReason::WrongAnswer);
            return CallerAnswer::Refusal(notice);
        }
        if header("geraniummast-ran") == Some(RunOutcome::NotRun.as_str()) {
            return CallerAnswer::Refusal(RefusalNotice::try_again(
                RefusalReason::ServerRefused,
                Duration::from_secs(1),
            ));
        }
        CallerAnswer::Whole {
            status: response.status().as_u16(),
            headers: HeaderField::passed(response.headers()),
            body: response.into_body(),
        }
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
