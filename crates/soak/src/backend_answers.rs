//! Answers of a simulated server, with its load and the limit that it names.

use crate::{
    answer_body::{AnswerBody, full_body},
    prelude::*,
};

impl BackendProcess {
    /// Names a limit of requests per second from now on; returns false if there is one already.
    pub(crate) fn start_limit(&self, per_second: f64) -> bool {
        let mut limit = self.limit.lock().unwrap();
        let is_new = limit.is_none();
        limit.get_or_insert(per_second);
        is_new
    }

    /// Names no limit from now on.
    pub(crate) fn end_limit(&self) {
        *self.limit.lock().unwrap() = None;
    }

    /// Returns the limit for the answer to a request, and records that the answer names it.
    pub(crate) fn named_limit(&self, execution: usize) -> Option<f64> {
        let limit = *self.limit.lock().unwrap();
        if limit.is_some() {
            self.ledger.record_named_limit(execution);
        }
        limit
    }

    pub(crate) fn record_rejection(&self, execution: usize) {
        self.named_limit(execution);
        self.ledger
            .record_end(execution, ExecutionOutcome::Rejected);
    }

    pub(crate) fn load(&self) -> ReportedLoad {
        ReportedLoad {
            running: self.running.load(Ordering::SeqCst) as u32,
            waiting: self.waiting.load(Ordering::SeqCst) as u32,
            slots: Self::SLOTS as u32,
        }
    }

    pub(crate) fn reply_not_executed(
        &self,
        status: StatusCode,
        headers: &http::HeaderMap,
    ) -> Response<AnswerBody> {
        let request_headers = RequestHeaders::from(headers);
        let answer = AnswerHeaders {
            request_id: request_headers.request_id.as_ref(),
            not_executed: true,
            load: Some(self.load()),
            limit: *self.limit.lock().unwrap(),
            ..AnswerHeaders::default()
        };
        self.reply(status, answer)
    }

    pub(crate) fn reply(
        &self,
        status: StatusCode,
        headers: AnswerHeaders<'_>,
    ) -> Response<AnswerBody> {
        let mut response = Response::new(full_body(Bytes::new()));
        *response.status_mut() = status;
        headers.set(response.headers_mut());
        response
    }
}
