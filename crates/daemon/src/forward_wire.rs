//! Wire form of forwarded requests and their answers, between instances.

use crate::prelude::*;

/// Request that is forwarded to the part's leader.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ForwardWire {
    #[prost(bytes = "vec", tag = "1")]
    pub(crate) id: Vec<u8>,
    #[prost(bool, tag = "2")]
    pub(crate) id_from_caller: bool,
    #[prost(string, tag = "3")]
    pub(crate) caller: String,
    #[prost(string, tag = "4")]
    pub(crate) service: String,
    #[prost(string, tag = "5")]
    pub(crate) class: String,
    #[prost(fixed64, tag = "6")]
    pub(crate) hash: u64,
    #[prost(string, tag = "7")]
    pub(crate) method: String,
    #[prost(string, tag = "8")]
    pub(crate) target: String,
    #[prost(message, repeated, tag = "9")]
    pub(crate) headers: Vec<HeaderWire>,
    #[prost(bytes = "bytes", tag = "10")]
    pub(crate) body: Bytes,
    /// Time left to the caller's deadline, in microseconds.
    #[prost(uint64, tag = "11")]
    pub(crate) remaining_us: u64,
    /// Term of the leader that the request is sent to.
    #[prost(uint64, tag = "12")]
    pub(crate) term: u64,
    /// Whether an earlier attempt may have reached a leader.
    #[prost(bool, tag = "13")]
    pub(crate) is_retry: bool,
}

/// One HTTP header.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct HeaderWire {
    #[prost(string, tag = "1")]
    pub(crate) name: String,
    #[prost(bytes = "vec", tag = "2")]
    pub(crate) value: Vec<u8>,
}

/// Answer of a leader: the server's answer or a refusal.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ForwardReplyWire {
    /// HTTP status of the server's answer; 0 for a refusal.
    #[prost(uint32, tag = "1")]
    pub(crate) status: u32,
    #[prost(message, repeated, tag = "2")]
    pub(crate) headers: Vec<HeaderWire>,
    #[prost(bytes = "bytes", tag = "3")]
    pub(crate) body: Bytes,
    #[prost(string, tag = "4")]
    pub(crate) reason: String,
    #[prost(string, tag = "5")]
    pub(crate) ran: String,
    #[prost(uint64, optional, tag = "6")]
    pub(crate) retry_after_ms: Option<u64>,
}

impl ForwardWire {
    /// Wire form of a request with the time left to its deadline.
    pub(crate) fn new(request: &CallerRequest, remaining: Duration, term: u64) -> Self {
        Self {
            id: request.id.as_bytes().to_vec(),
            id_from_caller: request.id_from_caller,
            caller: request.caller.clone(),
            service: request.service.to_string(),
            class: request.class.clone(),
            hash: request.hash.0,
            method: request.method.clone(),
            target: request.target.clone(),
            headers: request.headers.iter().map(HeaderWire::from).collect(),
            body: request.body.clone(),
            remaining_us: remaining.as_micros() as u64,
            term,
            is_retry: request.is_retry,
        }
    }
}

impl TryFrom<ForwardWire> for CallerRequest {
    type Error = WireError;

    fn try_from(wire: ForwardWire) -> Result<Self, WireError> {
        let id = Uuid::from_slice(&wire.id).map_err(|_| WireError::new("id", "", "16 bytes"))?;
        Ok(Self {
            id,
            id_from_caller: wire.id_from_caller,
            is_retry: wire.is_retry,
            caller: wire.caller,
            service: ServiceName::new(&wire.service),
            class: wire.class,
            hash: KeyHash(wire.hash),
            method: wire.method,
            target: wire.target,
            headers: wire.headers.into_iter().map(HeaderField::from).collect(),
            body: wire.body,
        })
    }
}

impl From<&HeaderField> for HeaderWire {
    fn from(field: &HeaderField) -> Self {
        Self {
            name: field.name.clone(),
            value: field.value.clone(),
        }
    }
}

impl From<HeaderWire> for HeaderField {
    fn from(wire: HeaderWire) -> Self {
        Self {
            name: wire.name,
            value: wire.value,
        }
    }
}

impl From<&CallerAnswer> for ForwardReplyWire {
    fn from(answer: &CallerAnswer) -> Self {
        match answer {
            CallerAnswer::Complete {
                status,
                headers,
                body,
            } => Self {
                status: u32::from(*status),
                headers: headers.iter().map(HeaderWire::from).collect(),
                body: body.clone(),
                ..Self::default()
            },
            CallerAnswer::Refusal(notice) => Self {
                reason: notice.reason.to_string(),
                ran: notice.outcome.to_string(),
                retry_after_ms: notice.retry_after.map(|delay| delay.as_millis() as u64),
                ..Self::default()
            },
        }
    }
}

impl TryFrom<ForwardReplyWire> for CallerAnswer {
    type Error = WireError;

    fn try_from(wire: ForwardReplyWire) -> Result<Self, WireError> {
        if wire.status != 0 {
            return Ok(Self::Complete {
                status: u16::try_from(wire.status)
                    .map_err(|_| WireError::new("status", "", "an HTTP status"))?,
                headers: wire.headers.into_iter().map(HeaderField::from).collect(),
                body: wire.body,
            });
        }
        Ok(Self::Refusal(RefusalNotice {
            reason: wire
                .reason
                .parse()
                .map_err(|()| WireError::new("reason", &wire.reason, "a refusal's reason"))?,
            outcome: wire
                .ran
                .parse()
                .map_err(|()| WireError::new("ran", &wire.ran, "yes, no or unknown"))?,
            retry_after: wire.retry_after_ms.map(Duration::from_millis),
        }))
    }
}
