//! Grants and releases of keys at a simulated server.

use crate::{answer_body::AnswerBody, prelude::*};

impl BackendProcess {
    pub(crate) async fn grant(&self, order: &KeyOrder) -> Response<AnswerBody> {
        self.pass_silent_orders().await;
        let now = SteadyClock.now();
        let may_be_delayed = self.ledger.may_grant_be_delayed(now);
        let is_accepted = self.keys.lock().unwrap().grant(order, now, may_be_delayed);
        if !is_accepted {
            return self.reply(StatusCode::CONFLICT, AnswerHeaders::default());
        }
        let mut recovery = self.ledger.recovery.lock().unwrap();
        recovery.record_grant(order, now);
        drop(recovery);
        self.ledger
            .check_grant(&self.incarnation, order, may_be_delayed);
        self.reply(StatusCode::OK, AnswerHeaders::default())
    }

    pub(crate) async fn release(&self, order: &KeyOrder) -> Response<AnswerBody> {
        self.pass_silent_orders().await;
        self.keys.lock().unwrap().release(order);
        let is_repeating = *self.fault.lock().unwrap() == BackendFault::Repeating;
        let last_handover = self.last_handover.lock().unwrap().clone();
        if let (true, Some(handover)) = (is_repeating, &last_handover) {
            return self.reply_released(handover);
        }
        loop {
            let slot_freed = self.slot_freed.listen();
            if !self.keys.lock().unwrap().is_busy(order) {
                break;
            }
            slot_freed.await;
        }
        let handover = format!("{}-{}", self.incarnation.id, order.fence);
        let last_handover = &mut *self.last_handover.lock().unwrap();
        self.reply_released(last_handover.insert(handover))
    }

    /// Does not return if the server leaves orders unanswered.
    async fn pass_silent_orders(&self) {
        let fault = *self.fault.lock().unwrap();
        if fault == BackendFault::SilentOrders {
            std::future::pending::<()>().await;
        }
    }

    fn reply_released(&self, handover: &str) -> Response<AnswerBody> {
        let headers = AnswerHeaders {
            handover: Some(handover),
            ..AnswerHeaders::default()
        };
        self.reply(StatusCode::OK, headers)
    }
}
