//! Simulation of the platform's object store.

use crate::{foreign_entry, prelude::*, store_objects::WriteError};
use hyper::body::Incoming;

/// Object store that answers the HTTP interface of the platform on a loopback port.
pub struct SimulatedStore {
    /// Address on which it answers.
    pub address: SocketAddr,
    pub(crate) objects: Mutex<StoreObjects>,
    fault: Mutex<StoreFault>,
    /// Whether watches that were open at a restore wait until the store has passed their revision
    /// again.
    holds_watches: AtomicBool,
    /// Whether writes that arrive while the store is silent are executed some time after it.
    executes_late: AtomicBool,
    pool: Arc<WorkerPool>,
    changed: Event,
    write_count: AtomicU64,
}

impl SimulatedStore {
    /// Under `StoreFault::LosingAnswers`, one in this many writes gets no answer.
    const LOST_ANSWER_EVERY: u64 = 3;
    /// Time after a silence at which writes that arrived during it are executed, in milliseconds.
    const LATE_WRITE_MS: std::ops::Range<u64> = 0..1_500;

    /// Starts an empty store on `host`; fails if no port can be bound.
    pub async fn start(pool: &Arc<WorkerPool>, host: Ipv4Addr) -> eyre::Result<Arc<Self>> {
        let limits = HttpLimits::default();
        let listener = HttpListener::bind((host, 0).into(), limits).await?;
        let store = Arc::new(Self {
            address: listener.local_address()?,
            objects: Mutex::default(),
            fault: Mutex::default(),
            holds_watches: AtomicBool::new(false),
            executes_late: AtomicBool::new(false),
            pool: pool.clone(),
            changed: Event::new(),
            write_count: AtomicU64::new(0),
        });
        let shared = store.clone();
        let handler = move |request| {
            let store = shared.clone();
            async move { store.handle(request).await }
        };
        pool.spawn(listener.serve(pool.clone(), handler));
        Ok(store)
    }

    /// Sets the current fault and wakes up the watches.
    pub(crate) fn set_fault(&self, fault: StoreFault) {
        *self.fault.lock().unwrap() = fault;
        self.changed.notify(usize::MAX);
    }

    /// Creates or overwrites an object without any check.
    pub fn put(
        &self,
        kind: ObjectKind,
        name: &str,
        spec: serde_json::Value,
        status: serde_json::Value,
    ) {
        self.update(|objects| objects.put(kind, name, spec, status));
    }

    /// Applies a change to the objects and wakes up the watches.
    pub(crate) fn update<T>(&self, apply: impl FnOnce(&mut StoreObjects) -> T) -> T {
        let result = apply(&mut self.objects.lock().unwrap());
        self.changed.notify(usize::MAX);
        result
    }

    /// Sets whether watches that are open at a restore are held.
    pub(crate) fn hold_watches(&self, holds: bool) {
        self.holds_watches.store(holds, Ordering::SeqCst);
    }

    /// Sets whether writes that arrive while the store is silent are executed after it.
    pub(crate) fn execute_late(&self, is_late: bool) {
        self.executes_late.store(is_late, Ordering::SeqCst);
    }

    fn fault(&self) -> StoreFault {
        *self.fault.lock().unwrap()
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let body = body.collect().await;
        match self.fault() {
            StoreFault::Silent => {
                if let (Ok(body), true) = (body, self.executes_late.load(Ordering::SeqCst)) {
                    let operation = StoreOperation::read(&head.method, &head.uri, &body.to_bytes());
                    // The caller gives up before, and its connection ends.
                    let late = operation.map(|write| self.clone().write_late(write));
                    late.into_iter().for_each(|write| self.pool.spawn(write));
                }
                return std::future::pending().await;
            }
            StoreFault::Refusing => return self.reject(StatusCode::SERVICE_UNAVAILABLE),
            StoreFault::Slow(delay) => {
                Timer::after(delay).await;
            }
            StoreFault::None | StoreFault::LosingAnswers => {}
        }
        let Ok(body) = body else {
            return self.reject(StatusCode::BAD_REQUEST);
        };
        let Some(operation) = StoreOperation::read(&head.method, &head.uri, &body.to_bytes())
        else {
            return self.reject(StatusCode::NOT_FOUND);
        };
        match operation {
            StoreOperation::List(kind, after) => self.answer(|objects| {
                let page = objects.list(kind, after.as_deref());
                build_reply(StatusCode::OK, Some(&page.to_value()))
            }),
            StoreOperation::Read(kind, name) => self.answer(|objects| {
                let object = objects.get(kind, &name).map(PlatformObject::to_value);
                match object {
                    Some(object) => build_reply(StatusCode::OK, Some(&object)),
                    None => build_reply(StatusCode::NOT_FOUND, None),
                }
            }),
            StoreOperation::Watch(kind, after, wait) => self.watch(kind, after, wait).await,
            write => self.write(|objects| execute(objects, write)).await,
        }
    }

    /// Executes a write without an answer, some time after the store has come back.
    async fn write_late(self: Arc<Self>, write: StoreOperation) {
        loop {
            let changed = self.changed.listen();
            if self.fault() != StoreFault::Silent {
                break;
            }
            changed.await;
        }
        let delay = rand::random_range(Self::LATE_WRITE_MS);
        Timer::after(Duration::from_millis(delay)).await;
        let _ = self.update(|objects| execute(objects, write));
    }

    /// Builds an answer from the objects, with the era that they are of.
    fn answer(
        &self,
        build: impl FnOnce(&mut StoreObjects) -> Response<Full<Bytes>>,
    ) -> Response<Full<Bytes>> {
        let mut objects = self.objects.lock().unwrap();
        let mut response = build(&mut objects);
        EraHeader::set(response.headers_mut(), objects.era());
        response
    }

    fn reject(&self, status: StatusCode) -> Response<Full<Bytes>> {
        self.answer(|_| build_reply(status, None))
    }

    async fn write(
        &self,
        apply: impl FnOnce(&mut StoreObjects) -> Result<PlatformObject, WriteError>,
    ) -> Response<Full<Bytes>> {
        let response = self.answer(|objects| match apply(objects) {
            Ok(object) => build_reply(StatusCode::OK, Some(&object.to_value())),
            Err(WriteError::Conflict) => build_reply(StatusCode::CONFLICT, None),
            Err(WriteError::NotFound) => build_reply(StatusCode::NOT_FOUND, None),
        });
        self.changed.notify(usize::MAX);
        let count = self.write_count.fetch_add(1, Ordering::Relaxed);
        if self.fault() == StoreFault::LosingAnswers
            && count.is_multiple_of(Self::LOST_ANSWER_EVERY)
        {
            std::future::pending::<()>().await;
        }
        response
    }

    async fn watch(&self, kind: ObjectKind, after: u64, wait: Duration) -> Response<Full<Bytes>> {
        let asked_in = self.objects.lock().unwrap().era();
        let reply = |objects: &mut StoreObjects| match objects.changes(kind, after) {
            Some(changes) => build_reply(StatusCode::OK, Some(&changes.to_value())),
            None => build_reply(StatusCode::GONE, None),
        };
        let timed_out = async {
            Timer::after(wait).await;
            self.answer(reply)
        };
        let updated = async {
            loop {
                let changed = self.changed.listen();
                if self.fault() != StoreFault::Silent && self.is_watch_due(asked_in, kind, after) {
                    return self.answer(reply);
                }
                changed.await;
            }
        };
        future::or(updated, timed_out).await
    }

    /// Whether a watch that was asked for in an era is answered now.
    fn is_watch_due(&self, asked_in: u64, kind: ObjectKind, after: u64) -> bool {
        let objects = self.objects.lock().unwrap();
        let is_held = objects.era() != asked_in
            && objects.is_unknown(after)
            && self.holds_watches.load(Ordering::SeqCst);
        let changes = objects.changes(kind, after);
        !is_held && changes.is_none_or(|changes| !changes.events.is_empty())
    }
}

/// Executes a write; other operations find nothing.
fn execute(
    objects: &mut StoreObjects,
    write: StoreOperation,
) -> Result<PlatformObject, WriteError> {
    match write {
        StoreOperation::Create(kind, name, spec) => objects.create(kind, &name, spec),
        StoreOperation::Replace(kind, name, revision, spec) => {
            objects.replace(kind, &name, revision, spec)
        }
        StoreOperation::Remove(kind, name, revision) => objects.remove_at(kind, &name, revision),
        StoreOperation::List(..) | StoreOperation::Watch(..) | StoreOperation::Read(..) => {
            Err(WriteError::NotFound)
        }
    }
}

fn build_reply(status: StatusCode, body: Option<&serde_json::Value>) -> Response<Full<Bytes>> {
    let text = body.map(ToString::to_string).unwrap_or_default();
    let text = foreign_entry::fill_in(&text);
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
