//! Receives the signals sent to the process.
//!
//! The pipe behind `async-signal` holds a bounded number of signals and drops the rest. It is used
//! only as a wake-up; a flag per signal records which were sent, so that a long series of one signal
//! hides no other. A signal that is sent again before it was processed counts once. Real-time signals
//! cause no wake-up: they are processed together with the next signal that does.

use crate::{prelude::*, signal_mask::SignalMask};
use async_signal::Signals;
use futures_lite::StreamExt;
use std::sync::atomic::{AtomicBool, Ordering};

/// Counter of received signals by name and phase of the process.
const SIGNALS_METRIC: &str = "geraniummast_signals_total";

/// Receives signals and decides what the process does about each.
pub struct SignalReceiver {
    wakeups: Signals,
    flags: Vec<(ProcessSignal, Arc<AtomicBool>)>,
    limiter: LogRateLimiter,
}

impl SignalReceiver {
    /// Time between two checks of the flags once the source of wake-ups has failed.
    const POLL_INTERVAL: Duration = Duration::from_millis(50);

    /// Installs handlers for the signals whose default action would end the process, except those that
    /// report a fault of the program and those that already have a handler, installed by a library.
    ///
    /// Must be called before any other thread starts: threads inherit which signals are blocked, and
    /// the parent process may have blocked some.
    pub fn open() -> io::Result<Self> {
        let already_handled = SignalMask::handled();
        let mut flags = Vec::new();
        // Registered before the wake-ups, so that the flag is set when a wait ends.
        for signal in ProcessSignal::handled().filter(|signal| !already_handled.contains(*signal)) {
            let flag = Arc::new(AtomicBool::new(false));
            signal_hook::flag::register(signal.number(), flag.clone())?;
            flags.push((signal, flag));
        }
        ProcessSignal::unblock_waking()?;
        Ok(Self {
            wakeups: Signals::new(ProcessSignal::waking())?,
            flags,
            limiter: LogRateLimiter::default(),
        })
    }

    /// Processes signals until one begins a stop, starting with those sent while the process started.
    pub async fn wait_for_stop(&mut self) {
        let mut phase = ProcessPhase::Starting;
        while !self.take_pending(phase).contains(&SignalAction::BeginStop) {
            self.wait_for_wakeup().await;
            phase = ProcessPhase::Running;
        }
    }

    /// Runs `stop` to its end. Signals received meanwhile are logged and counted but have no effect.
    pub async fn run_stop<T>(&mut self, stop: impl Future<Output = T>) -> T {
        let processing = async {
            loop {
                self.take_pending(ProcessPhase::Stopping);
                self.wait_for_wakeup().await;
            }
        };
        let result = future::or(stop, processing).await;
        self.limiter.log_suppressed();
        result
    }

    /// Waits until a signal was sent; may return although none was.
    async fn wait_for_wakeup(&mut self) {
        if let None | Some(Err(_)) = self.wakeups.next().await {
            // Without wake-ups the flags are polled.
            async_io::Timer::after(Self::POLL_INTERVAL).await;
        }
    }

    /// Clears and records all pending signals, and returns the action for each.
    fn take_pending(&self, phase: ProcessPhase) -> Vec<SignalAction> {
        let flags = self.flags.iter();
        let received = flags.filter(|(_, flag)| flag.swap(false, Ordering::SeqCst));
        received
            .map(|(signal, _)| {
                let action = phase.action(*signal);
                self.record(*signal, phase, action);
                action
            })
            .collect()
    }

    fn record(&self, signal: ProcessSignal, phase: ProcessPhase, action: SignalAction) {
        let name = signal.to_string();
        let labels = [("signal", name.clone()), ("phase", phase.label().into())];
        metrics::counter!(SIGNALS_METRIC, &labels).increment(1);
        let now = SteadyClock.now();
        // The signal that begins a stop is logged even when others have used up the rate limit.
        if action == SignalAction::BeginStop || self.limiter.allow("signal", now) {
            log::info!(
                signal = name.as_str(),
                phase = phase.label(),
                effect = action.label();
                "signal taken"
            );
        }
        if action == SignalAction::Reload && self.limiter.allow("reload", now) {
            log::info!("settings reload asked for; flags are read at the start only");
        }
    }
}
