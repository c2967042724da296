//! Answers of a simulated server, with its load and the limit that it names.

use crate::{
    answer_body::{AnswerBody, full_body},
    notice_checker::ServerNotice,
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

    /// Whether the server leaves; records that the answer to a request says so.
    pub(crate) fn named_leaving(&self, execution: usize) -> bool {
        let is_leaving = self.is_leaving.load(Ordering::SeqCst);
        if is_leaving {
            self.ledger.record_notice(execution, ServerNotice::Leaving);
        }
        is_leaving
    }

    /// Time for which the server still wants no requests, if it does.
    pub(crate) fn rest_left(&self) -> Option<Duration> {
        let until = (*self.rests_until.lock().unwrap())?;
        let left = until.since(SteadyClock.now());
        (!left.is_zero()).then_some(left)
    }

    /// Rejects a request and asks for none until `rest` has passed.
    pub(crate) fn reject_until_rested(
        &self,
        execution: usize,
        headers: &http::HeaderMap,
        rest: Duration,
    ) -> Response<AnswerBody> {
        self.record_rejection(execution);
        self.ledger
            .record_notice(execution, ServerNotice::Rest(rest));
        let mut response = self.reply_not_executed(StatusCode::SERVICE_UNAVAILABLE, headers);
        let answer = AnswerHeaders {
            retry_after: Some(rest),
            ..AnswerHeaders::default()
        };
        answer.set(response.headers_mut());
        response
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
            run_time_percent: None,
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
