//! Open-loop load of callers: requests are sent on schedule, without waiting for earlier answers.

use crate::prelude::*;
use uuid::Uuid;

/// Destination of the callers' requests.
pub(crate) enum CallerPath {
    /// Instances that the balancer selects.
    Instances(Arc<SimulatedBalancer>),
    /// Servers directly, without instances.
    Direct(DirectSender),
}

/// Load that sends scheduled requests and records their outcomes.
pub(crate) struct CallerLoad {
    pool: Arc<WorkerPool>,
    path: CallerPath,
    clients: Mutex<IndexMap<SocketAddr, Arc<HttpClient>>>,
    records: Mutex<Vec<CallerRecord>>,
}

/// Next step of a caller after an attempt.
enum AttemptStep {
    Answered,
    WrongAnswer,
    RetryAfter(Duration),
    GiveUp,
}

impl CallerLoad {
    /// Time limit of a request with all its attempts, counted from its scheduled time.
    const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
    /// Time limit of one attempt; the next one goes to another instance if there is one.
    const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_200);
    /// Delay of the next attempt after one without an answer.
    const RETRY_BACKOFF: Duration = Duration::from_millis(10);

    /// Creates a load that has sent nothing yet.
    pub(crate) fn new(pool: Arc<WorkerPool>, path: CallerPath) -> Arc<Self> {
        Arc::new(Self {
            pool,
            path,
            clients: Mutex::default(),
            records: Mutex::default(),
        })
    }

    /// Sends every request at its scheduled time; returns once the last one has started.
    pub(crate) async fn run(self: &Arc<Self>, calls: Vec<ScheduledCall>, start: MonoTime) {
        for call in calls {
            let due = start.after(call.at);
            let now = SteadyClock.now();
            if due > now {
                Timer::after(due.since(now)).await;
            }
            let load = self.clone();
            self.pool.spawn(async move {
                let record = load.call(call, due).await;
                load.records.lock().unwrap().push(record);
            });
        }
    }

    /// Records of all requests that have ended so far.
    pub(crate) fn records(&self) -> Vec<CallerRecord> {
        self.records.lock().unwrap().clone()
    }

    async fn call(&self, call: ScheduledCall, due: MonoTime) -> CallerRecord {
        let deadline = due.after(Self::REQUEST_TIMEOUT);
        let mut record = CallerRecord {
            id: Uuid::now_v7().to_string(),
            call,
            due,
            ended: due,
            answered: false,
            attempts: 0,
            refusals: Vec::new(),
            wrong_answers: 0,
            cut_attempts: 0,
        };
        let mut last = None;
        while let Some(address) = self.next_address(&record.call, last) {
            last = Some(address);
            let step = self.attempt(&mut record, address, deadline).await;
            record.attempts += 1;
            match step {
                AttemptStep::Answered => record.answered = true,
                AttemptStep::WrongAnswer => record.wrong_answers += 1,
                AttemptStep::RetryAfter(delay) if SteadyClock.now().after(delay) < deadline => {
                    Timer::after(delay).await;
                    continue;
                }
                AttemptStep::RetryAfter(_) | AttemptStep::GiveUp => {}
            }
            break;
        }
        record.ended = SteadyClock.now();
        record
    }

    fn next_address(&self, call: &ScheduledCall, last: Option<SocketAddr>) -> Option<SocketAddr> {
        match &self.path {
            CallerPath::Instances(balancer) => balancer.select(last),
            CallerPath::Direct(sender) => sender.select_address(call),
        }
    }

    fn client(&self, address: SocketAddr) -> Arc<HttpClient> {
        let mut clients = self.clients.lock().unwrap();
        let open = || HttpClient::new(self.pool.clone(), TcpDialer::direct(), address);
        let client = clients.entry(address).or_insert_with(|| Arc::new(open()));
        client.clone()
    }

    async fn attempt(
        &self,
        record: &mut CallerRecord,
        address: SocketAddr,
        deadline: MonoTime,
    ) -> AttemptStep {
        let remaining = deadline.since(SteadyClock.now());
        let timeout = remaining.min(Self::ATTEMPT_TIMEOUT);
        let (method, target, body) = request_parts(&record.call);
        let request = Request::builder()
            .method(method.as_str())
            .uri(&target)
            .header("host", "callers")
            .header("geraniummast-request-id", &record.id)
            .header("geraniummast-caller", &record.call.caller)
            .header(ServerAnswer::ATTEMPT_HEADER, record.attempts)
            .header(
                "geraniummast-key-hash",
                KeyHash::of(&record.call.key).to_string(),
            )
            .body(Full::new(body.clone()));
        let Ok(request) = request else {
            return AttemptStep::GiveUp;
        };
        let _sent = match &self.path {
            CallerPath::Direct(sender) => Some(sender.count_in_flight(address)),
            CallerPath::Instances(_) => None,
        };
        match self.client(address).exchange(request, timeout).await {
            Ok(response) => {
                let answer = ServerAnswer {
                    method: method.as_str(),
                    target: &target,
                    body: &body,
                };
                next_step(record, &answer, &response)
            }
            Err(error) => {
                let is_cut = matches!(
                    error,
                    ExchangeError::Unclear(_) | ExchangeError::ConnectionLost(_)
                ) && self.is_stopping(address);
                record.cut_attempts += u32::from(is_cut);
                AttemptStep::RetryAfter(Self::RETRY_BACKOFF)
            }
        }
    }

    fn is_stopping(&self, address: SocketAddr) -> bool {
        match &self.path {
            CallerPath::Instances(balancer) => balancer.is_stopping(address),
            CallerPath::Direct(_) => false,
        }
    }
}

/// Builds method, target and body of a request.
fn request_parts(call: &ScheduledCall) -> (Method, String, Bytes) {
    let payload = format!("{:016x}", call.payload);
    match call.repeatable {
        true => {
            let target = format!("/{}/{}?p={payload}", call.service, call.key);
            (Method::GET, target, Bytes::new())
        }
        false => {
            let target = format!("/{}/{}", call.service, call.key);
            (Method::POST, target, payload.into())
        }
    }
}

/// Records a refusal in `record` and determines the caller's next step.
fn next_step(
    record: &mut CallerRecord,
    answer: &ServerAnswer,
    response: &Response<Bytes>,
) -> AttemptStep {
    let header = |name| {
        let value = response.headers().get(name);
        value.and_then(|value: &http::HeaderValue| value.to_str().ok())
    };
    let Some(reason) = header("geraniummast-reason") else {
        return match response.status() == StatusCode::OK && answer.matches(response.body()) {
            true => AttemptStep::Answered,
            false => AttemptStep::WrongAnswer,
        };
    };
    let ran = header("geraniummast-ran").and_then(|text| text.parse().ok());
    let ran = ran.unwrap_or(RunOutcome::Unknown);
    record.refusals.push((record.attempts, ran, reason.into()));
    let body: Value = serde_json::from_slice(response.body()).unwrap_or_default();
    match (body["retry_after_ms"].as_u64(), ran) {
        (Some(delay), _) => AttemptStep::RetryAfter(Duration::from_millis(delay)),
        (None, RunOutcome::Unknown) if record.call.repeatable => {
            AttemptStep::RetryAfter(CallerLoad::RETRY_BACKOFF)
        }
        (None, _) => AttemptStep::GiveUp,
    }
}
