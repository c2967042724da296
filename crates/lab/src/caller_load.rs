//! Callers: an open-loop load whose arrivals do not wait for answers.

use crate::prelude::*;
use uuid::Uuid;

/// Where callers send their requests.
pub(crate) enum CallerPath {
    /// To a random instance.
    Instances(Arc<InstanceDirectory>),
    /// To servers themselves.
    Straight(StraightSender),
}

/// Callers with what they have seen.
pub(crate) struct CallerLoad {
    pool: Arc<WorkerPool>,
    path: CallerPath,
    clients: Mutex<IndexMap<SocketAddr, Arc<HttpClient>>>,
    records: Mutex<Vec<CallerRecord>>,
}

/// What to do after an attempt.
enum AttemptStep {
    Answered,
    Wrong,
    RetryAfter(Duration),
    GiveUp,
}

impl CallerLoad {
    /// Longest time from the schedule to a caller's last attempt.
    const PATIENCE: Duration = Duration::from_secs(4);
    /// Time after which an attempt at a repeatable request is made elsewhere.
    const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_200);
    /// Pause after an attempt that got no answer.
    const RETRY_PAUSE: Duration = Duration::from_millis(10);

    /// Callers that have asked nothing yet.
    pub(crate) fn new(pool: Arc<WorkerPool>, path: CallerPath) -> Arc<Self> {
        Arc::new(Self {
            pool,
            path,
            clients: Mutex::default(),
            records: Mutex::default(),
        })
    }

    /// Sends every request at its time; ends with the last one's start.
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

    /// Records of the requests that have ended.
    pub(crate) fn records(&self) -> Vec<CallerRecord> {
        self.records.lock().unwrap().clone()
    }

    async fn call(&self, call: ScheduledCall, due: MonoTime) -> CallerRecord {
        let deadline = due.after(Self::PATIENCE);
        let mut record = CallerRecord {
            id: Uuid::now_v7().to_string(),
            call,
            due,
            ended: due,
            answered: false,
            attempts: 0,
            claims: Vec::new(),
            wrong: 0,
            cut: 0,
        };
        let mut last = None;
        while let Some(address) = self.address(&record.call, last) {
            last = Some(address);
            let step = self.attempt(&mut record, address, deadline).await;
            record.attempts += 1;
            match step {
                AttemptStep::Answered => record.answered = true,
                AttemptStep::Wrong => record.wrong += 1,
                AttemptStep::RetryAfter(pause) if SteadyClock.now().after(pause) < deadline => {
                    Timer::after(pause).await;
                    continue;
                }
                AttemptStep::RetryAfter(_) | AttemptStep::GiveUp => {}
            }
            break;
        }
        record.ended = SteadyClock.now();
        record
    }

    fn address(&self, call: &ScheduledCall, last: Option<SocketAddr>) -> Option<SocketAddr> {
        match &self.path {
            CallerPath::Instances(directory) => directory.pick(last),
            CallerPath::Straight(sender) => sender.address(call),
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
        let (method, target, body) = message(&record.call);
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
            CallerPath::Straight(sender) => Some(sender.count(address)),
            CallerPath::Instances(_) => None,
        };
        match self.client(address).exchange(request, timeout).await {
            Ok(response) => {
                let answer = ServerAnswer {
                    method: method.as_str(),
                    target: &target,
                    body: &body,
                };
                step_of(record, &answer, &response)
            }
            Err(error) => {
                let cut = matches!(error, ExchangeError::Unclear(_)) && self.is_stopping(address);
                record.cut += u32::from(cut);
                AttemptStep::RetryAfter(Self::RETRY_PAUSE)
            }
        }
    }

    fn is_stopping(&self, address: SocketAddr) -> bool {
        match &self.path {
            CallerPath::Instances(directory) => directory.is_stopping(address),
            CallerPath::Straight(_) => false,
        }
    }
}

/// Method, target and body of a request.
fn message(call: &ScheduledCall) -> (Method, String, Bytes) {
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

/// Notes what a response says and decides what the caller does next.
fn step_of(
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
            false => AttemptStep::Wrong,
        };
    };
    let ran = header("geraniummast-ran").and_then(|text| text.parse().ok());
    let ran = ran.unwrap_or(RunOutcome::Unknown);
    record.claims.push((record.attempts, ran, reason.into()));
    let body: Value = serde_json::from_slice(response.body()).unwrap_or_default();
    match (body["retry_after_ms"].as_u64(), ran) {
        (Some(pause), _) => AttemptStep::RetryAfter(Duration::from_millis(pause)),
        (None, RunOutcome::Unknown) if record.call.repeatable => {
            AttemptStep::RetryAfter(CallerLoad::RETRY_PAUSE)
        }
        (None, _) => AttemptStep::GiveUp,
    }
}
