//! Threads that run one instance's tasks.
//!
//! Stopping a pool ends every task at its next poll and closes what the task held; pausing a pool
//! holds its threads between two polls, as a frozen process would stand still.

use crate::prelude::*;
use async_executor::{Executor, Task};
use event_listener::Event;
use std::sync::atomic::{AtomicBool, Ordering};

/// A pool of worker threads over one executor.
pub struct WorkerPool {
    executor: Executor<'static>,
    paused: Mutex<bool>,
    resumed: Condvar,
    stopped: AtomicBool,
    interrupt: Event,
}

impl WorkerPool {
    /// Time between two polls of a stopped pool's remaining tasks.
    const FINISH_INTERVAL: Duration = Duration::from_millis(1);

    /// Starts `threads` workers.
    pub fn start(name: &str, threads: usize) -> io::Result<Arc<Self>> {
        let pool = Arc::new(Self {
            executor: Executor::new(),
            paused: Mutex::new(false),
            resumed: Condvar::new(),
            stopped: AtomicBool::new(false),
            interrupt: Event::new(),
        });
        for _ in 0..threads {
            let worker = pool.clone();
            std::thread::Builder::new()
                .name(name.into())
                .spawn(move || worker.work())?;
        }
        Ok(pool)
    }

    /// Runs all tasks on the calling thread, which also waits for sockets and timers, until `main`
    /// ends.
    pub fn block_on<T>(&self, main: impl Future<Output = T>) -> T {
        async_io::block_on(self.executor.run(main))
    }

    /// Runs a task to its end or until the pool stops.
    pub fn spawn(self: &Arc<Self>, work: impl Future<Output = ()> + Send + 'static) {
        let pool = self.clone();
        self.executor
            .spawn(future::or(work, async move { pool.wait_stopped().await }))
            .detach();
    }

    /// Runs a task that is cancelled when its handle is dropped.
    pub fn spawn_cancellable<T: Send + 'static>(
        &self,
        work: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(work)
    }

    /// Holds all workers between two polls.
    pub fn pause(&self) {
        *self.paused.lock().unwrap() = true;
        self.interrupt.notify(usize::MAX);
    }

    /// Lets paused workers go on.
    pub fn resume(&self) {
        *self.paused.lock().unwrap() = false;
        self.resumed.notify_all();
    }

    /// Ends all tasks and then the workers.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        self.interrupt.notify(usize::MAX);
        self.resume();
    }

    /// Ends when the pool stops.
    pub async fn wait_stopped(&self) {
        loop {
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            let interrupt = self.interrupt.listen();
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            interrupt.await;
        }
    }

    fn work(&self) {
        while self.wait_runnable() {
            future::block_on(self.executor.run(self.interrupted()));
            if self.stopped.load(Ordering::SeqCst) {
                self.finish();
            }
        }
    }

    /// Ends when the pool pauses or stops.
    async fn interrupted(&self) {
        loop {
            let interrupt = self.interrupt.listen();
            if *self.paused.lock().unwrap() || self.stopped.load(Ordering::SeqCst) {
                return;
            }
            interrupt.await;
        }
    }

    /// Polls the remaining tasks, which end because the pool has stopped.
    fn finish(&self) {
        while !self.executor.is_empty() {
            if !self.executor.try_tick() {
                std::thread::sleep(Self::FINISH_INTERVAL);
            }
        }
    }

    /// Waits out a pause; false once the pool is stopped and has no task left.
    fn wait_runnable(&self) -> bool {
        let mut paused = self.paused.lock().unwrap();
        while *paused {
            paused = self.resumed.wait(paused).unwrap();
        }
        !(self.stopped.load(Ordering::SeqCst) && self.executor.is_empty())
    }
}
