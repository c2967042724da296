//! Stand-in for the platform's store.

use crate::{prelude::*, store_objects::WriteError};
use hyper::body::Incoming;

/// The store on a loopback port.
pub(crate) struct SimulatedStore {
    pub(crate) address: SocketAddr,
    pub(crate) shelf: Mutex<StoreObjects>,
    fault: Mutex<StoreFault>,
    changed: Event,
    writes: AtomicU64,
}

impl SimulatedStore {
    /// Each how many writes one loses its answer, under that fault.
    const LOSE_EACH: u64 = 3;

    /// Starts an empty store.
    pub(crate) async fn start(pool: &Arc<WorkerPool>) -> eyre::Result<Arc<Self>> {
        let limits = HttpLimits::default();
        let listener = HttpListener::bind((Ipv4Addr::LOCALHOST, 0).into(), limits).await?;
        let store = Arc::new(Self {
            address: listener.local_address()?,
            shelf: Mutex::default(),
            fault: Mutex::default(),
            changed: Event::new(),
            writes: AtomicU64::new(0),
        });
        let shared = store.clone();
        let answer = move |request| {
            let store = shared.clone();
            async move { store.answer(request).await }
        };
        pool.spawn(listener.serve(pool.clone(), answer));
        Ok(store)
    }

    /// Changes how the store answers.
    pub(crate) fn set_fault(&self, fault: StoreFault) {
        *self.fault.lock().unwrap() = fault;
        self.changed.notify(usize::MAX);
    }

    /// Works on the objects and tells the watches.
    pub(crate) fn change<T>(&self, work: impl FnOnce(&mut StoreObjects) -> T) -> T {
        let result = work(&mut self.shelf.lock().unwrap());
        self.changed.notify(usize::MAX);
        result
    }

    fn fault(&self) -> StoreFault {
        *self.fault.lock().unwrap()
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return reply(StatusCode::BAD_REQUEST, None);
        };
        match self.fault() {
            StoreFault::Silent => std::future::pending::<()>().await,
            StoreFault::Refusing => return reply(StatusCode::SERVICE_UNAVAILABLE, None),
            StoreFault::Slow(delay) => {
                Timer::after(delay).await;
            }
            StoreFault::None | StoreFault::LosingAnswers => {}
        }
        let Some(call) = StoreOperation::read(&head.method, &head.uri, &body.to_bytes()) else {
            return reply(StatusCode::NOT_FOUND, None);
        };
        match call {
            StoreOperation::List(kind, _) => {
                let page = self.shelf.lock().unwrap().list(kind);
                reply(StatusCode::OK, Some(&page.to_value()))
            }
            StoreOperation::Read(kind, name) => {
                let object = self.shelf.lock().unwrap().get(kind, &name).cloned();
                match object {
                    Some(object) => reply(StatusCode::OK, Some(&object.to_value())),
                    None => reply(StatusCode::NOT_FOUND, None),
                }
            }
            StoreOperation::Watch(kind, after, wait) => self.watch(kind, after, wait).await,
            StoreOperation::Create(kind, name, spec) => {
                self.write(|shelf| shelf.create(kind, &name, spec)).await
            }
            StoreOperation::Replace(kind, name, revision, spec) => {
                self.write(|shelf| shelf.write(kind, &name, revision, spec))
                    .await
            }
            StoreOperation::Remove(kind, name, _) => {
                self.write(|shelf| shelf.remove(kind, &name).ok_or(WriteError::Missing))
                    .await
            }
        }
    }

    async fn write(
        &self,
        work: impl FnOnce(&mut StoreObjects) -> Result<PlatformObject, WriteError>,
    ) -> Response<Full<Bytes>> {
        let result = self.change(work);
        let count = self.writes.fetch_add(1, Ordering::Relaxed);
        if self.fault() == StoreFault::LosingAnswers && count.is_multiple_of(Self::LOSE_EACH) {
            std::future::pending::<()>().await;
        }
        match result {
            Ok(object) => reply(StatusCode::OK, Some(&object.to_value())),
            Err(WriteError::Conflict) => reply(StatusCode::CONFLICT, None),
            Err(WriteError::Missing) => reply(StatusCode::NOT_FOUND, None),
        }
    }

    async fn watch(&self, kind: ObjectKind, after: u64, wait: Duration) -> Response<Full<Bytes>> {
        let late = async {
            Timer::after(wait).await;
            self.shelf.lock().unwrap().changes(kind, after)
        };
        let news = async {
            loop {
                let changed = self.changed.listen();
                let changes = self.shelf.lock().unwrap().changes(kind, after);
                let is_due = changes.as_ref().is_none_or(|now| !now.events.is_empty());
                if is_due && self.fault() != StoreFault::Silent {
                    return changes;
                }
                changed.await;
            }
        };
        match future::or(news, late).await {
            Some(changes) => reply(StatusCode::OK, Some(&changes.to_value())),
            None => reply(StatusCode::GONE, None),
        }
    }
}

fn reply(status: StatusCode, body: Option<&serde_json::Value>) -> Response<Full<Bytes>> {
    let text = body.map(ToString::to_string).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
