//! Rate limit of one server: what is known of it, this instance's tokens, and the bucket for all
//! instances while this one is the holder.

use crate::prelude::*;

/// State of a server's rate limit at this instance.
#[derive(Debug, Default)]
pub(crate) struct ServerQuota {
    pub(crate) limit: ServerLimit,
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
    /// Answers an ask as the holder since `held_since`. Without a limit there is no answer.
    pub(crate) fn answer(
        &mut self,
        instance: &InstanceIncarnation,
        ask: QuotaAsk,
        held_since: MonoTime,
        now: MonoTime,
    ) -> Option<QuotaGrant> {
        let per_second = self.limit.per_second(now)?;
        let is_current = |bucket: &HeldBucket| bucket.held_since == held_since;
        if !self.bucket.as_ref().is_some_and(is_current) {
            self.bucket = None;
        }
        let bucket = self.bucket.get_or_insert_with(|| HeldBucket {
            held_since,
            holder: QuotaHolder::new(held_since, now),
        });
        Some(bucket.holder.answer(instance, ask, per_second, now))
    }
}
