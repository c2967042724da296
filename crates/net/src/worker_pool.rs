//! Threads that run the tasks of one instance.
//!
//! Stopping a pool ends every task at its next poll and drops what the task owned. Pausing a pool
//! stops its threads between two polls, which simulates a frozen process.

use crate::prelude::*;
use async_executor::{Executor, Task};
use event_listener::Event;
use futures_lite::FutureExt;
use std::panic::AssertUnwindSafe;
use std::sync::atomic::{AtomicBool, Ordering};

/// Pool of worker threads that share one executor.
pub struct WorkerPool {
    executor: Executor<'static>,
    paused: Mutex<bool>,
    resumed: Condvar,
    stopped: AtomicBool,
    interrupt: Event,
}

impl WorkerPool {
    /// Time between two polls of the remaining tasks of a stopped pool.
    const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(1);

    /// Pause before a task that panicked is started again.
    const RESTART_PAUSE: Duration = Duration::from_millis(200);

    /// Starts a pool of `threads` workers whose threads are named `name`.
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
                .spawn(move || worker.run_worker())?;
        }
        Ok(pool)
    }

    /// Runs `main` and all tasks on the calling thread, which also polls sockets and timers, until
    /// `main` ends.
    pub fn block_on<T>(&self, main: impl Future<Output = T>) -> T {
        async_io::block_on(self.executor.run(main))
    }

    /// Starts a task that runs to its end or until the pool stops.
    pub fn spawn(self: &Arc<Self>, work: impl Future<Output = ()> + Send + 'static) {
        let pool = self.clone();
        self.executor
            .spawn(future::or(work, async move { pool.wait_stopped().await }))
            .detach();
    }

    /// Starts a task for the lifetime of the pool. If it panics, it is logged under `name` and
    /// started again by `start` after a pause.
    pub fn spawn_restarting<W>(
        self: &Arc<Self>,
        name: &'static str,
        mut start: impl FnMut() -> W + Send + 'static,
    ) where
        W: Future<Output = ()> + Send + 'static,
    {
        self.spawn(async move {
            while AssertUnwindSafe(start()).catch_unwind().await.is_err() {
                log::error!(worker = name; "worker panicked, starting it again");
                async_io::Timer::after(Self::RESTART_PAUSE).await;
            }
        });
    }

    /// Starts a task that is cancelled when the returned handle is dropped.
    pub fn spawn_cancellable<T: Send + 'static>(
        &self,
        work: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(work)
    }

    /// Pauses all workers between two polls.
    pub fn pause(&self) {
        *self.paused.lock().unwrap() = true;
        self.interrupt.notify(usize::MAX);
    }

    /// Resumes the paused workers.
    pub fn resume(&self) {
        *self.paused.lock().unwrap() = false;
        self.resumed.notify_all();
    }

    /// Ends all tasks, then the worker threads; resumes paused workers for this.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        self.interrupt.notify(usize::MAX);
        self.resume();
    }

    /// Waits until the pool is stopped.
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

    fn run_worker(&self) {
        while self.wait_runnable() {
            future::block_on(self.executor.run(self.wait_interrupted()));
            if self.stopped.load(Ordering::SeqCst) {
                self.finish_tasks();
            }
        }
    }

    /// Waits until the pool is paused or stopped.
    async fn wait_interrupted(&self) {
        loop {
            let interrupt = self.interrupt.listen();
            if *self.paused.lock().unwrap() || self.stopped.load(Ordering::SeqCst) {
                return;
            }
            interrupt.await;
        }
    }

    /// Polls the remaining tasks until all have ended; each ends because the pool is stopped.
    fn finish_tasks(&self) {
        while !self.executor.is_empty() {
            if !self.executor.try_tick() {
                std::thread::sleep(Self::FINISH_POLL_INTERVAL);
            }
        }
    }

    /// Waits while the pool is paused; false once it is stopped and has no task left.
    fn wait_runnable(&self) -> bool {
        let mut paused = self.paused.lock().unwrap();
        while *paused {
            paused = self.resumed.wait(paused).unwrap();
        }
        !(self.stopped.load(Ordering::SeqCst) && self.executor.is_empty())
    }
}
