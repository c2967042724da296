//! Headers with which instances send each other requests, and their answers.

use crate::prelude::*;
use http::{HeaderMap, HeaderName, HeaderValue, header};

const SERVICE: HeaderName = HeaderName::from_static("geraniummast-relay-service");
const MAX_ATTEMPTS: HeaderName = HeaderName::from_static("geraniummast-relay-attempts");
const ATTEMPTS_SENT: HeaderName = HeaderName::from_static("geraniummast-relay-sent");
const IDEMPOTENT: HeaderName = HeaderName::from_static("geraniummast-relay-idempotent");
const REVISION: HeaderName = HeaderName::from_static("geraniummast-relay-revision");
const OUTCOME: HeaderName = HeaderName::from_static("geraniummast-relay-outcome");

/// What the instance that took the request from its caller has decided.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RelayTerms {
    /// Service selected from those of the route.
    pub(crate) service: String,
    /// Number of servers that the request may still be sent to.
    pub(crate) max_attempts: u32,
    /// Whether the request may run more than once.
    pub(crate) is_idempotent: bool,
    /// Revision of the sending instance's configuration.
    pub(crate) revision: u64,
}

/// What became of the request at the helper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RelayOutcome {
    /// A server answered; the answer is the server's.
    Served,
    /// The request has not run, and the refusal is final.
    Refused,
    /// The request has not run, and another helper may run it.
    Declined,
    /// The request may have run, and there is no answer.
    Failed,
}

impl RelayTerms {
    /// Sets the headers on a request to a helper.
    pub(crate) fn set(&self, headers: &mut HeaderMap) {
        if let Ok(service) = HeaderValue::from_str(&self.service) {
            headers.insert(SERVICE, service);
        }
        headers.insert(MAX_ATTEMPTS, HeaderValue::from(self.max_attempts));
        headers.insert(IDEMPOTENT, HeaderValue::from(u16::from(self.is_idempotent)));
        headers.insert(REVISION, HeaderValue::from(self.revision));
    }

    /// Takes the headers from a request of another instance; `None` if they are not readable.
    pub(crate) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let service = headers.remove(SERVICE)?;
        let max_attempts = headers.remove(MAX_ATTEMPTS)?;
        let idempotent = headers.remove(IDEMPOTENT)?;
        let revision = headers.remove(REVISION)?;
        Some(Self {
            service: service.to_str().ok()?.into(),
            max_attempts: max_attempts.to_str().ok()?.parse().ok()?,
            is_idempotent: idempotent == "1",
            revision: revision.to_str().ok()?.parse().ok()?,
        })
    }
}

impl RelayOutcome {
    /// Time after which a caller may come back if a refusal states none.
    pub(crate) const DEFAULT_PAUSE: Duration = Duration::from_millis(300);
    const ALL: [(Self, &'static str); 4] = [
        (Self::Served, "served"),
        (Self::Refused, "refused"),
        (Self::Declined, "declined"),
        (Self::Failed, "failed"),
    ];

    /// Sets the number of servers that the helper sent the request to.
    pub(crate) fn set_attempts(attempts: usize, headers: &mut HeaderMap) {
        headers.insert(ATTEMPTS_SENT, HeaderValue::from(attempts));
    }

    /// Takes the number of servers that the helper sent the request to.
    pub(crate) fn take_attempts(headers: &mut HeaderMap) -> usize {
        let value = headers.remove(ATTEMPTS_SENT);
        let attempts = value.and_then(|value| value.to_str().ok()?.parse().ok());
        attempts.unwrap_or_default()
    }

    /// Sets the revision of the helper's configuration.
    pub(crate) fn set_revision(revision: u64, headers: &mut HeaderMap) {
        headers.insert(REVISION, HeaderValue::from(revision));
    }

    /// Takes the revision of the helper's configuration; 0 if it is missing.
    pub(crate) fn take_revision(headers: &mut HeaderMap) -> u64 {
        let value = headers.remove(REVISION);
        let revision = value.and_then(|value| value.to_str().ok()?.parse().ok());
        revision.unwrap_or_default()
    }

    /// Sets the header on a helper's answer.
    pub(crate) fn set(self, headers: &mut HeaderMap) {
        let label = Self::ALL.into_iter().find(|(outcome, _)| *outcome == self);
        if let Some((_, label)) = label {
            headers.insert(OUTCOME, HeaderValue::from_static(label));
        }
    }

    /// Marks an answer that was given before the request was looked at as declined.
    pub(crate) fn set_if_missing(headers: &mut HeaderMap) {
        if !headers.contains_key(OUTCOME) {
            Self::Declined.set(headers);
        }
    }

    /// Takes the header from a helper's answer; `None` if it is missing or unknown.
    pub(crate) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let value = headers.remove(OUTCOME)?;
        let known = Self::ALL.into_iter().find(|(_, label)| value == *label);
        known.map(|(outcome, _)| outcome)
    }

    /// Time after which a caller may come back, as a helper's refusal says.
    pub(crate) fn retry_after(headers: &HeaderMap) -> Duration {
        let value = headers.get(header::RETRY_AFTER);
        let seconds = value.and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
        let readable = seconds.filter(|seconds| seconds.is_finite() && *seconds >= 0.0);
        readable.map_or(Self::DEFAULT_PAUSE, |seconds| {
            Duration::from_secs_f64(seconds.min(86_400.0))
        })
    }
}

impl From<&CallOutcome> for RelayOutcome {
    fn from(outcome: &CallOutcome) -> Self {
        match outcome {
            CallOutcome::Served(_) => Self::Served,
            CallOutcome::Failed(_) => Self::Failed,
            CallOutcome::Refused(reason, ..) => match reason {
                RefusalReason::NoConfiguration
                | RefusalReason::Stopping
                | RefusalReason::OtherConfiguration
                | RefusalReason::NoMemory
                | RefusalReason::Unreachable => Self::Declined,
                _ => Self::Refused,
            },
        }
    }
}
