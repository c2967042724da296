//! What a panic in one task does to the others of its pool.

use geraniummast_net::WorkerPool;
use std::time::Duration;

#[test]
fn a_panic_in_one_task_ends_no_other_on_the_driving_thread() {
    let pool = WorkerPool::start("worker", 0).unwrap();
    pool.spawn(async { panic!("one request's fault") });
    let other = std::panic::AssertUnwindSafe(|| {
        pool.block_on(async {
            async_io::Timer::after(Duration::from_millis(200)).await;
        });
    });
    assert!(std::panic::catch_unwind(other).is_ok());
}
