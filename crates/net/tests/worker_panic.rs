//! Tests of a panic in one task of a pool.

use geraniummast_net::WorkerPool;
use std::time::Duration;

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
