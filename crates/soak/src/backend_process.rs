//! Simulated process of a backend server.

use crate::{
    answer_body::{AnswerBody, build_body, endless_body, full_body, truncated_body},
    backend_connection::{BackendConnection, RejectionStep},
    poison_request,
    prelude::*,
    running_request::RunningRequest,
    soak_routes,
};
use async_executor::Task;
use hyper::body::Incoming;
use smol_hyper::rt::FuturesIo;

/// Server from its start to its end; it crashes when its tasks are dropped.
pub(crate) struct BackendProcess {
    pub(crate) incarnation: ServerIncarnation,
    pub(crate) service: &'static str,
    pub(crate) keys: Mutex<BackendKeys>,
    pub(crate) fault: Mutex<BackendFault>,
    pub(crate) leaving_since: Mutex<Option<MonoTime>>,
    /// Identifier of the last executed request.
    last_id: Mutex<Option<http::HeaderValue>>,
    /// Handover of the last answered release.
    pub(crate) last_handover: Mutex<Option<String>>,
    /// Requests per second that the server names as its limit.
    pub(crate) limit: Mutex<Option<f64>>,
    /// Whether the server says in its answers that it leaves.
    pub(crate) is_leaving: AtomicBool,
    /// Time until which the server wants no requests.
    pub(crate) rests_until: Mutex<Option<MonoTime>>,
    /// Number of the poison request that the server is about to crash from.
    pub(crate) poisoned_by: Mutex<Option<usize>>,
    pub(crate) ledger: Arc<SoakLedger>,
    pub(crate) running: AtomicUsize,
    pub(crate) waiting: AtomicUsize,
    request_count: AtomicU64,
    pub(crate) slot_freed: Event,
    tasks: Mutex<Vec<Task<()>>>,
}

impl BackendProcess {
    /// Number of requests that are processed concurrently.
    pub(crate) const SLOTS: usize = 4;
    /// Largest number of requests that wait for a slot.
    const MAX_WAITING: usize = 6;
    /// Service time of a request, in milliseconds.
    const SERVICE_TIME_MS: std::ops::Range<u64> = 5..60;

    /// Starts a process on `host` and returns it with the address that it listens on.
    pub(crate) async fn start(
        pool: &Arc<WorkerPool>,
        host: IpAddr,
        ledger: &Arc<SoakLedger>,
        service: &'static str,
        incarnation: ServerIncarnation,
    ) -> eyre::Result<(Arc<Self>, SocketAddr)> {
        let listener = async_net::TcpListener::bind((host, 0)).await?;
        let address = listener.local_addr()?;
        let process = Arc::new(Self {
            incarnation,
            service,
            keys: Mutex::new(BackendKeys::new()),
            fault: Mutex::default(),
            leaving_since: Mutex::default(),
            last_id: Mutex::default(),
            last_handover: Mutex::default(),
            limit: Mutex::default(),
            is_leaving: AtomicBool::new(false),
            rests_until: Mutex::default(),
            poisoned_by: Mutex::default(),
            ledger: ledger.clone(),
            running: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            request_count: AtomicU64::new(0),
            slot_freed: Event::new(),
            tasks: Mutex::default(),
        });
        let (shared, workers) = (Arc::downgrade(&process), pool.clone());
        let accept_task = pool.spawn_cancellable(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let Some(process) = shared.upgrade() else {
                    return;
                };
                let _ = stream.set_nodelay(true);
                let served = Arc::downgrade(&process);
                let task = workers.spawn_cancellable(async move {
                    let connection = BackendConnection::default();
                    let service = hyper::service::service_fn(|request| {
                        let (process, connection) = (served.clone(), &connection);
                        async move {
                            let process = process.upgrade().ok_or("the server has ended")?;
                            Ok::<_, &'static str>(process.handle(request, connection).await)
                        }
                    });
                    let _ = hyper::server::conn::http1::Builder::new()
                        .serve_connection(FuturesIo::new(stream), service)
                        .await;
                });
                let mut tasks = process.tasks.lock().unwrap();
                tasks.retain(|task| !task.is_finished());
                tasks.push(task);
            }
        });
        process.tasks.lock().unwrap().push(accept_task);
        Ok((process, address))
    }

    /// Ends the process and aborts all its connections and requests.
    pub(crate) fn crash(&self) {
        // The tasks are dropped outside of the lock, because dropping a request acquires other
        // locks.
        let tasks = std::mem::take(&mut *self.tasks.lock().unwrap());
        drop(tasks);
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        connection: &BackendConnection,
    ) -> Response<AnswerBody> {
        let (head, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return self.reply(StatusCode::BAD_REQUEST, AnswerHeaders::default());
        };
        if ServerCall::is_misdirected(&head.headers, &self.incarnation.id) {
            return self.reply_not_executed(StatusCode::MISDIRECTED_REQUEST, &head.headers);
        }
        if head.uri.path() == soak_routes::HEALTH_PATH {
            return self.reply(StatusCode::OK, AnswerHeaders::default());
        }
        match ServerCall::read(head.uri.path(), &body.to_bytes()) {
            None => self.reply(StatusCode::BAD_REQUEST, AnswerHeaders::default()),
            Some(ServerCall::Grant(order)) => self.grant(&order).await,
            Some(ServerCall::Release(order)) => self.release(&order).await,
            Some(ServerCall::Request) => {
                let path = head.uri.path();
                self.execute(&head.headers, path, connection).await
            }
        }
    }

    async fn execute(
        &self,
        headers: &http::HeaderMap,
        path: &str,
        connection: &BackendConnection,
    ) -> Response<AnswerBody> {
        let poison = poison_request::number_of(path);
        let request_headers = RequestHeaders::from(headers);
        // The path tells who may have sent a request that has no identifier.
        let id = match request_headers.request_id {
            Some(_) => request_headers.id_text().into(),
            None => format!("request for {path}"),
        };
        let execution = self.ledger.record_arrival(ExecutionRecord {
            id,
            service: self.service,
            server: self.incarnation.clone(),
            arrived_at: SteadyClock.now(),
            allowed_time: request_headers.caller_timeout,
            started_at: None,
            ended_at: None,
            outcome: ExecutionOutcome::Unfinished,
            leaving_since: *self.leaving_since.lock().unwrap(),
            names_limit: false,
            poison,
            notice: None,
        });
        let key = request_headers
            .key
            .filter(|_| self.service == soak_routes::KEYED_SERVICE);
        if let Some(rest) = self.rest_left() {
            return self.reject_until_rested(execution, headers, rest);
        }
        let step = match *self.fault.lock().unwrap() {
            BackendFault::RepeatingRejections => {
                connection.next_step(request_headers.request_id.as_ref())
            }
            _ => RejectionStep::Answer,
        };
        if step == RejectionStep::Reject {
            self.record_rejection(execution);
            return self.reply_not_executed(StatusCode::SERVICE_UNAVAILABLE, headers);
        }
        if !self.wait_for_slot().await {
            self.record_rejection(execution);
            return self.reply_not_executed(StatusCode::SERVICE_UNAVAILABLE, headers);
        }
        if let Some(key) = key {
            let now = SteadyClock.now();
            let mut keys = self.keys.lock().unwrap();
            let Some(fence) = keys.valid_fence(key, now) else {
                drop(keys);
                self.running.fetch_sub(1, Ordering::SeqCst);
                self.slot_freed.notify(usize::MAX);
                self.record_rejection(execution);
                return self.reply_not_executed(StatusCode::MISDIRECTED_REQUEST, headers);
            };
            keys.adjust_running(key, 1);
            let may_be_delayed = keys.state(key).may_be_delayed;
            drop(keys);
            self.ledger
                .check_key_use(&self.incarnation, key, fence, may_be_delayed);
        }
        self.ledger.record_start(execution);
        let mut running = RunningRequest {
            process: self,
            execution,
            key,
            is_answered: false,
        };
        let number = self.request_count.fetch_add(1, Ordering::Relaxed);
        let fault = match number.is_multiple_of(4) {
            true => *self.fault.lock().unwrap(),
            false => BackendFault::None,
        };
        let mut service_time = Duration::from_millis(rand::random_range(Self::SERVICE_TIME_MS));
        match *self.fault.lock().unwrap() {
            BackendFault::Slow(factor) => service_time *= factor,
            // Long enough that keys are in use when their release is answered too early.
            BackendFault::Repeating => service_time *= 4,
            _ => {}
        }
        Timer::after(service_time).await;
        if poison.is_some() {
            *self.poisoned_by.lock().unwrap() = poison;
            std::future::pending::<()>().await;
        }
        if step == RejectionStep::RepeatRejection {
            return self.reply_not_executed(StatusCode::SERVICE_UNAVAILABLE, headers);
        }
        let is_silent = *self.fault.lock().unwrap() == BackendFault::Silent;
        if is_silent || fault == BackendFault::Hanging {
            std::future::pending::<()>().await;
        }
        let signature = format!("{}.{number}", self.incarnation.id);
        let answer = AnswerHeaders {
            request_id: request_headers.request_id.as_ref(),
            signature: Some(&signature),
            load: Some(self.load()),
            limit: self.named_limit(execution),
            is_leaving: self.named_leaving(execution),
            ..AnswerHeaders::default()
        };
        running.is_answered = fault == BackendFault::None;
        let last_id = self.last_id.lock().unwrap().replace(
            request_headers
                .request_id
                .clone()
                .unwrap_or(http::HeaderValue::from_static("none")),
        );
        if let (BackendFault::Repeating, Some(last_id)) = (fault, &last_id) {
            let rejection = AnswerHeaders {
                request_id: Some(last_id),
                not_executed: true,
                ..AnswerHeaders::default()
            };
            return self.reply(StatusCode::SERVICE_UNAVAILABLE, rejection);
        }
        if fault == BackendFault::Failing {
            return self.reply(StatusCode::INTERNAL_SERVER_ERROR, answer);
        }
        let mut response = self.reply(StatusCode::OK, answer);
        let body = build_body(request_headers.id_text(), &self.incarnation);
        *response.body_mut() = match fault {
            BackendFault::Cutting => truncated_body(&body),
            BackendFault::Endless => endless_body(),
            _ => full_body(body),
        };
        response
    }

    /// Acquires a slot, waiting in the queue if none is free; returns false if the queue is full.
    async fn wait_for_slot(&self) -> bool {
        let mut is_waiting = false;
        loop {
            let slot_freed = self.slot_freed.listen();
            let take = |running| (running < Self::SLOTS).then_some(running + 1);
            let order = Ordering::SeqCst;
            if self.running.fetch_update(order, order, take).is_ok() {
                if is_waiting {
                    self.waiting.fetch_sub(1, order);
                }
                return true;
            }
            if !is_waiting {
                if self.waiting.load(order) >= Self::MAX_WAITING {
                    return false;
                }
                self.waiting.fetch_add(1, order);
                is_waiting = true;
            }
            slot_freed.await;
        }
    }
}
