//! Token bucket of a server's rate limit, kept by one instance for all.
//!
//! The holder grants tokens that expire after `LEASE_TIME`, which instances count from the moment
//! they sent the ask. The requests that reach the server in any window are thus at most those of a
//! bucket whose window is longer by one lease. An instance that becomes the holder waits for one
//! lease, since it does not know what the previous holder granted.

use crate::prelude::*;

/// Bucket of one server's limit, and the recent asks of each instance.
#[derive(Clone, Debug)]
pub struct QuotaHolder {
    tokens: f64,
    filled_at: MonoTime,
    askers: IndexMap<InstanceIncarnation, AskerState>,
}

/// Last ask of an instance.
#[derive(Clone, Copy, Debug)]
struct AskerState {
    number: u64,
    tokens: u32,
    asked_at: MonoTime,
}

impl QuotaHolder {
    /// Time after which an unused token expires.
    pub const LEASE_TIME: Duration = Duration::from_millis(500);
    /// Lowest rate at which tokens are granted, per second. A server that accepts nothing must
    /// still get a request at times, since only an answer tells that its limit has changed.
    pub const MIN_RATE: f64 = 0.25;
    /// Size of the bucket in tokens, to which `DEPTH_TIME` of the rate is added.
    const MIN_DEPTH: f64 = 2.0;
    /// Time in which a bucket of a high rate fills, in seconds.
    const DEPTH_TIME_S: f64 = 0.05;
    /// Time for which an instance counts as asking after its last ask.
    const ASKING_TIME: Duration = Duration::from_secs(1);
    /// Asks that the holder answers, as a multiple of the rate of tokens.
    const ASKS_PER_TOKEN: f64 = 3.0;
    const MIN_PAUSE: Duration = Duration::from_millis(20);
    const MAX_PAUSE: Duration = Duration::from_secs(1);

    /// Creates an empty bucket at an instance that became the holder at `held_since`.
    pub fn new(held_since: MonoTime, now: MonoTime) -> Self {
        Self {
            tokens: 0.0,
            filled_at: held_since.after(Self::LEASE_TIME).max(now),
            askers: IndexMap::new(),
        }
    }

    /// Highest rate with which at most `requests` take effect in any window of length `window`.
    pub fn rate_within(requests: f64, window: Duration) -> f64 {
        let rate_time_s = Self::DEPTH_TIME_S + (Self::LEASE_TIME + window).as_secs_f64();
        ((requests - Self::MIN_DEPTH) / rate_time_s).max(0.0)
    }

    /// Answers an ask of an instance; `per_second` is the limit that the server names.
    pub fn answer(
        &mut self,
        instance: &InstanceIncarnation,
        ask: QuotaAsk,
        per_second: f64,
        now: MonoTime,
    ) -> QuotaGrant {
        let rate = per_second.max(Self::MIN_RATE);
        self.fill(rate, now);
        self.askers
            .retain(|_, asker| now.since(asker.asked_at) < Self::ASKING_TIME);
        let last = self.askers.get(instance).copied();
        let tokens = match last {
            Some(last) if ask.number == last.number => last.tokens,
            Some(last) if ask.number < last.number => 0,
            _ => {
                let tokens = ask.wanted.min(self.tokens as u32);
                self.tokens -= f64::from(tokens);
                tokens
            }
        };
        if last.is_none_or(|last| ask.number >= last.number) {
            let asker = AskerState {
                number: ask.number,
                tokens,
                asked_at: now,
            };
            self.askers.insert(instance.clone(), asker);
        }
        QuotaGrant {
            number: ask.number,
            tokens,
            pause: self.pause(rate),
        }
    }

    fn fill(&mut self, rate: f64, now: MonoTime) {
        let depth = Self::MIN_DEPTH + rate * Self::DEPTH_TIME_S;
        let elapsed = now.since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + rate * elapsed).min(depth);
        self.filled_at = self.filled_at.max(now);
    }

    /// Time between two asks of an instance such that all together ask `ASKS_PER_TOKEN` times as
    /// often as there are tokens.
    fn pause(&self, rate: f64) -> Duration {
        let pause = self.askers.len() as f64 / (rate * Self::ASKS_PER_TOKEN);
        Duration::from_secs_f64(pause.min(Self::MAX_PAUSE.as_secs_f64())).max(Self::MIN_PAUSE)
    }
}
