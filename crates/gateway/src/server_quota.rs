//! Rate limit of one server: what is known of it, this instance's tokens, and the bucket for all
//! instances while this one is the holder.

use crate::prelude::*;

/// State of a server's rate limit at this instance.
#[derive(Debug, Default)]
pub(crate) struct ServerQuota {
    /// Limit that the server names itself.
    pub(crate) limit: ServerLimit,
    /// Until when the server is cold, which limits it as well.
    pub(crate) warmup: ServerWarmup,
    pub(crate) client: QuotaClient,
    bucket: Option<HeldBucket>,
}

/// Bucket that this instance keeps as the holder.
#[derive(Debug)]
struct HeldBucket {
    /// Time since which this instance has been the holder without interruption.
    held_since: MonoTime,
    holder: QuotaHolder,
}

impl ServerQuota {
    /// Whether the server has a limit, if that of cold servers applies to it.
    pub(crate) fn may_be_limited(&self, now: MonoTime) -> bool {
        self.warmup.is_cold(now) || self.limit.per_second(now).is_some()
    }

    /// Requests per second that the server may get from all instances together: at most
    /// `cold_rate` while it is cold, and what it names itself. `None` without a limit.
    pub(crate) fn per_second(&self, cold_rate: Option<f64>, now: MonoTime) -> Option<f64> {
        let cold = cold_rate.filter(|_| self.warmup.is_cold(now));
        let limits = cold.into_iter().chain(self.limit.per_second(now));
        limits.reduce(f64::min)
    }

    /// Drops the unused tokens and the bucket of a server that has become cold: both are of a higher
    /// limit, also the tokens that the bucket grants again when an ask is repeated.
    pub(crate) fn drop_tokens(&mut self) {
        self.client.drop_tokens();
        self.bucket = None;
    }

    /// Answers an ask as the holder since `held_since`, for a limit of `per_second`.
    pub(crate) fn answer(
        &mut self,
        instance: &InstanceIncarnation,
        ask: QuotaAsk,
        held_since: MonoTime,
        per_second: f64,
        now: MonoTime,
    ) -> QuotaGrant {
        let is_current = |bucket: &HeldBucket| bucket.held_since == held_since;
        if !self.bucket.as_ref().is_some_and(is_current) {
            self.bucket = None;
        }
        let bucket = self.bucket.get_or_insert_with(|| HeldBucket {
            held_since,
            holder: QuotaHolder::new(held_since, now),
        });
        bucket.holder.answer(instance, ask, per_second, now)
    }
}
