//! One life of a server stand-in.

use crate::{
    answer_body::{AnswerBody, body_of, cut, whole},
    prelude::*,
};
use async_executor::Task;
use hyper::body::Incoming;
use smol_hyper::rt::FuturesIo;

/// A server from its start to its end; dropping its tasks is a crash.
pub(crate) struct BackendProcess {
    pub(crate) mark: ServerIncarnation,
    pub(crate) service: &'static str,
    pub(crate) keys: Mutex<BackendKeys>,
    pub(crate) fault: Mutex<BackendFault>,
    pub(crate) leaving_since: Mutex<Option<MonoTime>>,
    ledger: Arc<SoakLedger>,
    running: AtomicUsize,
    waiting: AtomicUsize,
    count: AtomicU64,
    freed: Event,
    tasks: Mutex<Vec<Task<()>>>,
}

/// A request at work; ends when dropped, also when its connection has gone.
struct RunningRequest<'a> {
    life: &'a BackendProcess,
    run: usize,
    key: Option<u16>,
    is_done: bool,
}

impl Drop for RunningRequest<'_> {
    fn drop(&mut self) {
        let end = match self.is_done {
            true => ExecutionOutcome::Answered,
            false => ExecutionOutcome::Interrupted,
        };
        self.life.ledger.run_ended(self.run, end);
        if let Some(key) = self.key {
            self.life.keys.lock().unwrap().count(key, -1);
        }
        self.life.running.fetch_sub(1, Ordering::SeqCst);
        self.life.freed.notify(usize::MAX);
    }
}

impl BackendProcess {
    /// Requests that run at once.
    pub(crate) const SLOTS: usize = 4;
    /// Requests that wait beyond them.
    const QUEUE: usize = 6;
    /// Shortest and longest work, in milliseconds.
    const WORK_MS: std::ops::Range<u64> = 5..60;

    /// Starts a life, and gives the address that it listens on.
    pub(crate) async fn start(
        pool: &Arc<WorkerPool>,
        ledger: &Arc<SoakLedger>,
        service: &'static str,
        mark: ServerIncarnation,
    ) -> eyre::Result<(Arc<Self>, SocketAddr)> {
        let listener = async_net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let life = Arc::new(Self {
            mark,
            service,
            keys: Mutex::new(BackendKeys::new()),
            fault: Mutex::default(),
            leaving_since: Mutex::default(),
            ledger: ledger.clone(),
            running: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            count: AtomicU64::new(0),
            freed: Event::new(),
            tasks: Mutex::default(),
        });
        let (shared, workers) = (Arc::downgrade(&life), pool.clone());
        let accepting = pool.spawn_cancellable(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let Some(life) = shared.upgrade() else { return };
                let _ = stream.set_nodelay(true);
                let served = Arc::downgrade(&life);
                let task = workers.spawn_cancellable(async move {
                    let service = hyper::service::service_fn(|request| {
                        let life = served.clone();
                        async move {
                            let life = life.upgrade().ok_or("the server has ended")?;
                            Ok::<_, &'static str>(life.answer(request).await)
                        }
                    });
                    let _ = hyper::server::conn::http1::Builder::new()
                        .serve_connection(FuturesIo::new(stream), service)
                        .await;
                });
                let mut tasks = life.tasks.lock().unwrap();
                tasks.retain(|task| !task.is_finished());
                tasks.push(task);
            }
        });
        life.tasks.lock().unwrap().push(accepting);
        Ok((life, address))
    }

    /// Ends the life with all that runs.
    pub(crate) fn end(&self) {
        // Taken out first: what ends with a task asks for the lock of others.
        let tasks = std::mem::take(&mut *self.tasks.lock().unwrap());
        drop(tasks);
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let (head, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return self.reply(StatusCode::BAD_REQUEST, AnswerHeaders::default());
        };
        if ServerCall::is_misdirected(&head.headers, &self.mark.id) {
            return self.not_run(StatusCode::MISDIRECTED_REQUEST, &head.headers);
        }
        match ServerCall::read(head.uri.path(), &body.to_bytes()) {
            None => self.reply(StatusCode::BAD_REQUEST, AnswerHeaders::default()),
            Some(ServerCall::Grant(order)) => self.grant(&order),
            Some(ServerCall::Release(order)) => self.release(&order).await,
            Some(ServerCall::Request) => self.run(&head.headers).await,
        }
    }

    fn grant(&self, order: &KeyOrder) -> Response<AnswerBody> {
        let now = SteadyClock.now();
        let is_excused = self.ledger.is_late_excused(now);
        let taken = self.keys.lock().unwrap().grant(order, now, is_excused);
        if !taken {
            return self.reply(StatusCode::CONFLICT, AnswerHeaders::default());
        }
        self.ledger.granted(&self.mark, order, is_excused);
        self.reply(StatusCode::OK, AnswerHeaders::default())
    }

    async fn release(&self, order: &KeyOrder) -> Response<AnswerBody> {
        self.keys.lock().unwrap().release(order);
        loop {
            let freed = self.freed.listen();
            if !self.keys.lock().unwrap().is_busy(order) {
                break;
            }
            freed.await;
        }
        let handover = format!("{}-{}", self.mark.id, order.fence);
        let headers = AnswerHeaders {
            handover: Some(&handover),
            ..AnswerHeaders::default()
        };
        self.reply(StatusCode::OK, headers)
    }

    async fn run(&self, headers: &http::HeaderMap) -> Response<AnswerBody> {
        let facts = RequestHeaders::from(headers);
        let run = self.ledger.arrived(ExecutionRecord {
            id: facts.id_text().into(),
            service: self.service,
            server: self.mark.clone(),
            arrived: SteadyClock.now(),
            patience: facts.caller_timeout,
            began: None,
            ended: None,
            end: ExecutionOutcome::Unfinished,
            leaving_since: *self.leaving_since.lock().unwrap(),
        });
        let key = facts
            .key
            .filter(|_| self.service == crate::soak_routes::KEYED);
        if !self.wait_for_slot().await {
            self.ledger.run_ended(run, ExecutionOutcome::Rejected);
            return self.not_run(StatusCode::SERVICE_UNAVAILABLE, headers);
        }
        if let Some(key) = key {
            let now = SteadyClock.now();
            let mut keys = self.keys.lock().unwrap();
            let Some(fence) = keys.held(key, now) else {
                drop(keys);
                self.running.fetch_sub(1, Ordering::SeqCst);
                self.freed.notify(usize::MAX);
                self.ledger.run_ended(run, ExecutionOutcome::Rejected);
                return self.not_run(StatusCode::MISDIRECTED_REQUEST, headers);
            };
            keys.count(key, 1);
            let is_excused = keys.cell(key).is_excused;
            drop(keys);
            self.ledger.key_begun(&self.mark, key, fence, is_excused);
        }
        self.ledger.began(run);
        let mut running = RunningRequest {
            life: self,
            run,
            key,
            is_done: false,
        };
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        let fault = match number.is_multiple_of(4) {
            true => *self.fault.lock().unwrap(),
            false => BackendFault::None,
        };
        let mut work = Duration::from_millis(rand::random_range(Self::WORK_MS));
        if let BackendFault::Slow(times) = *self.fault.lock().unwrap() {
            work *= times;
        }
        Timer::after(work).await;
        let is_silent = *self.fault.lock().unwrap() == BackendFault::Silent;
        if is_silent || fault == BackendFault::Hanging {
            std::future::pending::<()>().await;
        }
        let signature = format!("{}.{number}", self.mark.id);
        let answer = AnswerHeaders {
            request_id: facts.request_id.as_ref(),
            signature: Some(&signature),
            load: Some(self.load()),
            ..AnswerHeaders::default()
        };
        running.is_done = fault == BackendFault::None;
        if fault == BackendFault::Failing {
            return self.reply(StatusCode::INTERNAL_SERVER_ERROR, answer);
        }
        let mut response = self.reply(StatusCode::OK, answer);
        let body = body_of(facts.id_text(), &self.mark);
        *response.body_mut() = match fault {
            BackendFault::Cutting => cut(&body),
            _ => whole(body),
        };
        response
    }

    /// Takes a slot, after waiting for it in the queue; false when that is full.
    async fn wait_for_slot(&self) -> bool {
        let mut is_waiting = false;
        loop {
            let freed = self.freed.listen();
            let take = |running| (running < Self::SLOTS).then_some(running + 1);
            let order = Ordering::SeqCst;
            if self.running.fetch_update(order, order, take).is_ok() {
                if is_waiting {
                    self.waiting.fetch_sub(1, order);
                }
                return true;
            }
            if !is_waiting {
                if self.waiting.load(order) >= Self::QUEUE {
                    return false;
                }
                self.waiting.fetch_add(1, order);
                is_waiting = true;
            }
            freed.await;
        }
    }

    fn load(&self) -> ReportedLoad {
        ReportedLoad {
            running: self.running.load(Ordering::SeqCst) as u32,
            waiting: self.waiting.load(Ordering::SeqCst) as u32,
            slots: Self::SLOTS as u32,
        }
    }

    fn not_run(&self, status: StatusCode, headers: &http::HeaderMap) -> Response<AnswerBody> {
        let facts = RequestHeaders::from(headers);
        let answer = AnswerHeaders {
            request_id: facts.request_id.as_ref(),
            not_executed: true,
            load: Some(self.load()),
            ..AnswerHeaders::default()
        };
        self.reply(status, answer)
    }

    fn reply(&self, status: StatusCode, headers: AnswerHeaders<'_>) -> Response<AnswerBody> {
        let mut response = Response::new(whole(Bytes::new()));
        *response.status_mut() = status;
        headers.set(response.headers_mut());
        response
    }
}
