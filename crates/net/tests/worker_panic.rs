//! Tests of a panic in one task of a pool.

use geraniummast_net::WorkerPool;
use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
        mpsc,
    },
    time::Duration,
};

#[test]
fn task_panic_does_not_end_block_on() {
    let pool = WorkerPool::start("worker", 0).unwrap();
    pool.spawn(async { panic!("panic of one task") });
    let run = std::panic::AssertUnwindSafe(|| {
        pool.block_on(async {
            async_io::Timer::after(Duration::from_millis(200)).await;
        });
    });
    assert!(std::panic::catch_unwind(run).is_ok());
}

// Guards against an instance that goes on without one of its workers, for example without sending
// heartbeats, after an unexpected error.
#[test]
fn worker_that_panics_is_started_again() {
    let pool = WorkerPool::start("worker", 1).unwrap();
    let runs = Arc::new(AtomicUsize::new(0));
    let (sender, receiver) = mpsc::channel();
    let counted = runs.clone();
    pool.spawn_restarting("test", move || {
        let run = counted.fetch_add(1, Ordering::SeqCst);
        let sender = sender.clone();
        async move {
            assert!(run >= 2, "panic of run {run}");
            sender.send(()).unwrap();
        }
    });
    receiver.recv_timeout(Duration::from_secs(20)).unwrap();
    assert_eq!(runs.load(Ordering::SeqCst), 3);
    pool.stop();
}
