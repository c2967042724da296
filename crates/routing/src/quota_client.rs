//! An instance's part of a server's rate limit.
//!
//! A request takes a token that the quota holder granted. Without one, the instance asks the holder
//! and the request waits for the answer; if the holder has no token, requests are refused until it
//! may be asked again. While the holder does not answer, the instance uses an equal share of the
//! limit, whose tokens cannot be saved up.

use crate::prelude::*;

/// What a request to a limited server does next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaStep {
    /// Send the request; it has taken a token.
    Send,
    /// Send this ask to the holder, and wait for its answer.
    Ask(QuotaAsk),
    /// Wait for the answer to an ask.
    Wait,
    /// Refuse the request. It is worth asking again after this time.
    Refuse(Duration),
}

/// Tokens and asks of one instance for one server.
#[derive(Clone, Debug, Default)]
pub struct QuotaClient {
    /// Times at which the unused tokens expire, in ascending order.
    tokens: VecDeque<MonoTime>,
    last_number: u64,
    open_ask: Option<OpenAsk>,
    paused_until: MonoTime,
    /// Time since which asks are unanswered.
    unanswered_since: Option<MonoTime>,
    /// Time of the next token of the equal share.
    next_share_at: Option<MonoTime>,
    /// Times of the latest requests.
    recent: VecDeque<MonoTime>,
}

/// Ask that has not been answered yet.
#[derive(Clone, Copy, Debug)]
struct OpenAsk {
    ask: QuotaAsk,
    first_sent_at: MonoTime,
    sent_at: MonoTime,
}

impl QuotaClient {
    /// Time after which an unanswered ask is sent again.
    pub const REPEAT_TIME: Duration = Duration::from_millis(20);
    /// Time without an answer after which the equal share is used.
    const UNANSWERED_TIME: Duration = Duration::from_millis(300);
    /// Part of the equal share that is used: other instances may still reach the holder.
    const USED_SHARE: f64 = 0.7;
    /// Time within which requests are expected to come as often as before.
    const FORECAST_TIME: Duration = Duration::from_millis(50);
    /// Highest number of tokens that an instance asks for at once.
    const MAX_WANTED: usize = 64;

    /// Returns the next step of a request to a server with the limit `per_second`, which
    /// `instances` instances share. `is_new` is set the first time that a request asks; `draw` is a
    /// random number from 0 to 1.
    pub fn next_step(
        &mut self,
        is_new: bool,
        per_second: f64,
        instances: usize,
        now: MonoTime,
        draw: f64,
    ) -> QuotaStep {
        if is_new {
            self.record_request(now);
        }
        while self.tokens.front().is_some_and(|expiry| *expiry <= now) {
            self.tokens.pop_front();
        }
        if self.tokens.pop_front().is_some() {
            return QuotaStep::Send;
        }
        if now < self.paused_until {
            let pause = self.paused_until.since(now);
            return QuotaStep::Refuse(pause + Self::spread(pause, draw));
        }
        let unanswered = self
            .unanswered_since
            .map_or(Duration::ZERO, |since| now.since(since));
        if unanswered >= Self::UNANSWERED_TIME && self.takes_share(per_second, instances, now, draw)
        {
            return QuotaStep::Send;
        }
        match &mut self.open_ask {
            Some(open) if now.since(open.sent_at) < Self::REPEAT_TIME => {
                match unanswered < Self::UNANSWERED_TIME {
                    true => QuotaStep::Wait,
                    false => QuotaStep::Refuse(
                        Self::UNANSWERED_TIME + Self::spread(Self::UNANSWERED_TIME, draw),
                    ),
                }
            }
            // Its tokens would have expired before they arrive.
            Some(open) if now.since(open.first_sent_at) < QuotaHolder::LEASE_TIME / 2 => {
                open.sent_at = now;
                QuotaStep::Ask(open.ask)
            }
            _ => QuotaStep::Ask(self.begin_ask(now)),
        }
    }

    /// Drops the unused tokens, which were granted for a higher limit.
    pub fn drop_tokens(&mut self) {
        self.tokens.clear();
    }

    /// Applies an answer of the holder; returns false if it is not the answer to the open ask.
    pub fn apply_grant(&mut self, grant: QuotaGrant, now: MonoTime) -> bool {
        let Some(open) = self.open_ask.filter(|open| open.ask.number == grant.number) else {
            return false;
        };
        self.open_ask = None;
        self.unanswered_since = None;
        self.next_share_at = None;
        let expiry = open.first_sent_at.after(QuotaHolder::LEASE_TIME);
        let tokens = grant.tokens.min(open.ask.wanted) as usize;
        self.tokens.extend(std::iter::repeat_n(expiry, tokens));
        if grant.tokens < open.ask.wanted {
            self.paused_until = now.after(grant.pause);
        }
        true
    }

    fn record_request(&mut self, now: MonoTime) {
        self.recent.push_back(now);
        let start = now.before(Self::FORECAST_TIME);
        while self.recent.front().is_some_and(|at| *at < start)
            || self.recent.len() > Self::MAX_WANTED
        {
            self.recent.pop_front();
        }
    }

    fn begin_ask(&mut self, now: MonoTime) -> QuotaAsk {
        self.last_number += 1;
        let start = now.before(Self::FORECAST_TIME);
        let recent = self.recent.iter().filter(|at| **at >= start).count();
        let ask = QuotaAsk {
            number: self.last_number,
            wanted: recent.max(1) as u32,
        };
        self.unanswered_since.get_or_insert(now);
        self.open_ask = Some(OpenAsk {
            ask,
            first_sent_at: now,
            sent_at: now,
        });
        ask
    }

    /// Takes a token of this instance's equal share, if one is due. It cannot be taken later than a
    /// granted one, so that instances without requests do not save any.
    fn takes_share(&mut self, per_second: f64, instances: usize, now: MonoTime, draw: f64) -> bool {
        let rate = per_second.max(QuotaHolder::MIN_RATE) * Self::USED_SHARE;
        let interval = Duration::from_secs_f64(instances.max(1) as f64 / rate);
        let due = *self
            .next_share_at
            .get_or_insert_with(|| now.after(interval.mul_f64(draw)));
        if now < due {
            return false;
        }
        let is_valid = now.since(due) < QuotaHolder::LEASE_TIME;
        // A missed token is replaced by one after a random part of the interval.
        let next = match is_valid {
            true => due.after(interval),
            false => now.after(interval.mul_f64(draw)),
        };
        self.next_share_at = Some(next);
        is_valid
    }

    /// Random time that spreads callers that are refused together.
    fn spread(pause: Duration, draw: f64) -> Duration {
        /// Shortest time over which callers are spread.
        const MIN_SPREAD: Duration = Duration::from_millis(200);
        pause.max(MIN_SPREAD).mul_f64(draw)
    }
}
