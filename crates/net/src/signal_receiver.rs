//! Signals of the process on their way to what it does about them.
//!
//! The pipe behind `async-signal` holds a bounded number of signals and drops the rest. It only
//! wakes a wait here; what was sent is told by flags, so that a long series of one signal hides no
//! other. A signal that is sent again before it was taken counts once. Real-time signals wake nothing:
//! they are taken with the next signal that does.

use crate::{prelude::*, signal_mask::SignalMask};
use async_signal::Signals;
use futures_lite::StreamExt;
use std::sync::atomic::{AtomicBool, Ordering};

/// Signals by name and the phase of the process.
const SIGNALS: &str = "geraniummast_signals_total";

/// Signals that were sent and not taken yet.
pub struct SignalReceiver {
    wakes: Signals,
    sent: Vec<(ProcessSignal, Arc<AtomicBool>)>,
    events: LogRateLimiter,
}

impl SignalReceiver {
    /// Time between two looks at the flags once the source of wakes has failed.
    const LOOK_INTERVAL: Duration = Duration::from_millis(50);

    /// Takes over the signals whose default action would end the process, but for those that tell
    /// of a fault of it and those that a library has taken before.
    ///
    /// To be called before any other thread starts: threads inherit which signals are blocked, and a
    /// parent may have blocked some.
    pub fn open() -> io::Result<Self> {
        let owned = SignalMask::handled();
        let mut sent = Vec::new();
        // Before the wakes: the flag is up when the wait ends.
        for signal in ProcessSignal::taken().filter(|signal| !owned.contains(*signal)) {
            let flag = Arc::new(AtomicBool::new(false));
            signal_hook::flag::register(signal.number(), flag.clone())?;
            sent.push((signal, flag));
        }
        ProcessSignal::unblock_waking()?;
        Ok(Self {
            wakes: Signals::new(ProcessSignal::waking())?,
            sent,
            events: LogRateLimiter::default(),
        })
    }

    /// Takes signals, those that came while the process started first, until one asks it to stop.
    pub async fn wait_for_stop(&mut self) {
        let mut phase = ProcessPhase::Starting;
        while !self.take(phase).contains(&SignalAction::BeginStop) {
            self.wait_wake().await;
            phase = ProcessPhase::Running;
        }
    }

    /// Runs a stop to its end. Signals that come meanwhile are taken and told, and end nothing.
    pub async fn run_stop<T>(&mut self, stop: impl Future<Output = T>) -> T {
        let signals = async {
            loop {
                self.take(ProcessPhase::Stopping);
                self.wait_wake().await;
            }
        };
        let ended = future::or(stop, signals).await;
        self.events.log_suppressed();
        ended
    }

    /// Ends when a signal was sent, and may end when none was.
    async fn wait_wake(&mut self) {
        if let None | Some(Err(_)) = self.wakes.next().await {
            // The flags go on telling without a wake.
            async_io::Timer::after(Self::LOOK_INTERVAL).await;
        }
    }

    /// Takes all signals that were sent, and tells what each leads to.
    fn take(&self, phase: ProcessPhase) -> Vec<SignalAction> {
        let sent = self.sent.iter();
        let taken = sent.filter(|(_, flag)| flag.swap(false, Ordering::SeqCst));
        taken
            .map(|(signal, _)| {
                let action = phase.action(*signal);
                self.note(*signal, phase, action);
                action
            })
            .collect()
    }

    fn note(&self, signal: ProcessSignal, phase: ProcessPhase, action: SignalAction) {
        let name = signal.to_string();
        let labels = [("signal", name.clone()), ("phase", phase.label().into())];
        metrics::counter!(SIGNALS, &labels).increment(1);
        let now = SteadyClock.now();
        // A series of other signals must not hide the one that begins a stop.
        if action == SignalAction::BeginStop || self.events.allow("signal", now) {
            log::info!(
                signal = name.as_str(),
                phase = phase.label(),
                effect = action.label();
                "signal taken"
            );
        }
        if action == SignalAction::Reload && self.events.allow("reload", now) {
            log::info!("settings reload asked for; flags are read at the start only");
        }
    }
}
