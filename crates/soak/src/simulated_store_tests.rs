//! Tests of the answers of a simulated store that is restored from a copy.

use crate::prelude::*;
use serde_json::{Value, json};

/// Time after which a watch that has no answer counts as open.
const HOLD_TIME: Duration = Duration::from_millis(200);
/// Time within which an answer comes that is not held back.
const ANSWER_TIME: Duration = Duration::from_secs(10);

/// Store with one configuration, and a copy from before its last change.
struct RestoredStore {
    pool: Arc<WorkerPool>,
    store: Arc<SimulatedStore>,
    copy: StoreObjects,
}

/// Status and era of an answer.
type StatedEra = (StatusCode, EraNotice);

impl RestoredStore {
    fn start() -> Self {
        let pool = WorkerPool::start("store", 1).unwrap();
        let store = future::block_on(SimulatedStore::start(&pool, Ipv4Addr::LOCALHOST)).unwrap();
        write(&store, 1);
        let copy = store.objects.lock().unwrap().clone();
        write(&store, 2);
        Self { pool, store, copy }
    }

    fn restore(&self) {
        self.store.update(|objects| objects.restore(&self.copy));
    }

    /// Sends a request; returns the answer when it arrives.
    async fn send(&self, request: Request<Bytes>) -> StatedEra {
        let dialer = TcpDialer::direct();
        let opened = HttpConnection::open(&self.pool, &dialer, self.store.address, ANSWER_TIME);
        let mut connection = opened.await.unwrap();
        let response = connection
            .exchange(request.map(Full::new), 1 << 20)
            .await
            .unwrap();
        (response.status(), EraHeader::read(response.headers()))
    }

    /// Answer to a request that is answered at once.
    fn answer(&self, request: Request<Bytes>) -> StatedEra {
        let target = request.uri().to_string();
        let expired = async {
            Timer::after(ANSWER_TIME).await;
            panic!("{target} was not answered");
        };
        future::block_on(future::or(self.send(request), expired))
    }
}

impl Drop for RestoredStore {
    fn drop(&mut self) {
        self.pool.stop();
    }
}

fn write(store: &SimulatedStore, value: u64) {
    store.update(|objects| objects.put(KIND, "main", json!(value), Value::Null));
}

const KIND: ObjectKind = ObjectKind::Configuration;

/// Watch from a revision.
fn watch_from(revision: u64) -> Request<Bytes> {
    StoreRequest::watch(KIND, revision, Duration::from_secs(9))
}

#[test]
fn all_answers_state_the_era() {
    let restored = RestoredStore::start();
    for era in [1, 2] {
        let stated = EraNotice::Stated(era);
        let unknown = Request::builder().uri("/nothing").body(Bytes::new());
        let answers = [
            (StoreRequest::list(KIND, None), StatusCode::OK),
            (StoreRequest::read(KIND, "main"), StatusCode::OK),
            (StoreRequest::read(KIND, "none"), StatusCode::NOT_FOUND),
            (unknown.unwrap(), StatusCode::NOT_FOUND),
            (StoreRequest::remove(KIND, "none", 1), StatusCode::NOT_FOUND),
            (watch_from(99), StatusCode::GONE),
        ];
        for (request, status) in answers {
            let target = request.uri().to_string();
            assert_eq!(restored.answer(request), (status, stated), "{target}");
        }
        restored.store.set_fault(StoreFault::Refusing);
        let refused = restored.answer(StoreRequest::list(KIND, None));
        assert_eq!(refused, (StatusCode::SERVICE_UNAVAILABLE, stated));
        restored.store.set_fault(StoreFault::None);
        restored.restore();
    }
}

#[test]
fn watch_from_a_lost_revision_is_rejected() {
    let restored = RestoredStore::start();
    restored.restore();
    let gone = (StatusCode::GONE, EraNotice::Stated(2));
    assert_eq!(restored.answer(watch_from(2)), gone);
}

#[test]
fn watch_that_is_open_at_a_restore_is_checked_again() {
    let restored = RestoredStore::start();
    let answer = future::block_on(future::zip(restored.send(watch_from(2)), async {
        Timer::after(HOLD_TIME).await;
        restored.restore();
    }));
    assert_eq!(answer.0, (StatusCode::GONE, EraNotice::Stated(2)));
}

#[test]
fn held_watch_is_answered_once_the_store_has_passed_its_revision_again() {
    let restored = RestoredStore::start();
    restored.store.hold_watches(true);
    let is_answered = AtomicBool::new(false);
    let watch = async {
        let answer = restored.send(watch_from(2)).await;
        is_answered.store(true, Ordering::SeqCst);
        answer
    };
    let changes = async {
        Timer::after(HOLD_TIME).await;
        restored.restore();
        write(&restored.store, 3);
        Timer::after(HOLD_TIME).await;
        assert!(!is_answered.load(Ordering::SeqCst), "revision 2 again");
        write(&restored.store, 4);
    };
    let (answer, ()) = future::block_on(future::zip(watch, changes));
    assert_eq!(answer, (StatusCode::OK, EraNotice::Stated(2)));
}

#[test]
fn write_during_a_silence_is_executed_after_it_if_its_condition_holds() {
    let restored = RestoredStore::start();
    for (is_late, expected) in [(false, Some(json!(2))), (true, None)] {
        restored.store.execute_late(is_late);
        restored.store.set_fault(StoreFault::Silent);
        let removal = restored.send(StoreRequest::remove(KIND, "main", 2));
        let unanswered = async {
            Timer::after(HOLD_TIME).await;
            (StatusCode::REQUEST_TIMEOUT, EraNotice::Missing)
        };
        let answer = future::block_on(future::or(removal, unanswered));
        assert_eq!(answer.0, StatusCode::REQUEST_TIMEOUT);
        restored.store.set_fault(StoreFault::None);
        std::thread::sleep(Duration::from_secs(2));
        let objects = restored.store.objects.lock().unwrap();
        let value = objects.get(KIND, "main").map(|known| known.spec.clone());
        assert_eq!(value, expected, "executed late: {is_late}");
    }
}
