//! Protobuf encoding of the messages about rate limits, one datagram each.
//!
//! A datagram with such a message has no field of a heartbeat, so that an instance of an earlier
//! version, which skips the unknown field, finds a heartbeat of nobody.

use crate::{
    limit_wire::{InvalidLimit, LimitReportWire, read_cold_time, write_cold_time},
    prelude::*,
};

/// Message about the rate limit of one server.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct QuotaMessage {
    /// Identity of the sender.
    pub(crate) sender: InstanceIncarnation,
    pub(crate) server: ServerIncarnation,
    /// What the sender knows of the limit.
    pub(crate) report: Option<LimitReport>,
    /// Time for which the server is still cold, if the sender keeps the bound for cold servers and
    /// takes it for cold.
    pub(crate) cold_left: Option<Duration>,
    pub(crate) body: QuotaBody,
}

/// Ask for tokens, or the holder's answer to one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum QuotaBody {
    /// Ask of an instance.
    Ask(QuotaAsk),
    /// Answer of the holder.
    Grant(QuotaGrant),
}

#[derive(prost::Message)]
struct QuotaEnvelopeWire {
    #[prost(message, optional, tag = "100")]
    message: Option<QuotaMessageWire>,
}

#[derive(prost::Message)]
struct QuotaMessageWire {
    #[prost(string, tag = "1")]
    instance: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(string, tag = "3")]
    server: String,
    #[prost(uint64, tag = "4")]
    born: u64,
    #[prost(message, optional, tag = "5")]
    report: Option<LimitReportWire>,
    #[prost(message, optional, tag = "6")]
    ask: Option<QuotaAskWire>,
    #[prost(message, optional, tag = "7")]
    grant: Option<QuotaGrantWire>,
    #[prost(uint32, optional, tag = "8")]
    cold_left_ms: Option<u32>,
}

#[derive(prost::Message)]
struct QuotaAskWire {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(uint32, tag = "2")]
    wanted: u32,
}

#[derive(prost::Message)]
struct QuotaGrantWire {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(uint32, tag = "2")]
    tokens: u32,
    #[prost(uint32, tag = "3")]
    pause_ms: u32,
}

impl QuotaMessage {
    /// Encodes the message as a datagram.
    pub(crate) fn encode(self) -> Vec<u8> {
        let envelope = QuotaEnvelopeWire {
            message: Some(self.into()),
        };
        prost::Message::encode_to_vec(&envelope)
    }

    /// Decodes a datagram; `None` if it holds no valid message about a rate limit.
    pub(crate) fn decode(datagram: &[u8]) -> Option<Self> {
        <QuotaEnvelopeWire as prost::Message>::decode(datagram)
            .ok()?
            .message?
            .try_into()
            .ok()
    }
}

impl From<QuotaMessage> for QuotaMessageWire {
    fn from(message: QuotaMessage) -> Self {
        let (ask, grant) = match message.body {
            QuotaBody::Ask(ask) => (Some(ask), None),
            QuotaBody::Grant(grant) => (None, Some(grant)),
        };
        Self {
            instance: message.sender.instance,
            incarnation: message.sender.incarnation,
            server: message.server.id,
            born: message.server.born,
            report: message.report.map(LimitReportWire::from),
            cold_left_ms: message.cold_left.map(write_cold_time),
            ask: ask.map(|ask| QuotaAskWire {
                number: ask.number,
                wanted: ask.wanted,
            }),
            grant: grant.map(|grant| QuotaGrantWire {
                number: grant.number,
                tokens: grant.tokens,
                pause_ms: grant.pause.as_millis() as u32,
            }),
        }
    }
}

/// The message holds neither or both of an ask and a grant, or an impossible limit.
#[derive(Debug)]
pub(crate) struct InvalidQuotaMessage;

impl From<InvalidLimit> for InvalidQuotaMessage {
    fn from(_: InvalidLimit) -> Self {
        Self
    }
}

impl TryFrom<QuotaMessageWire> for QuotaMessage {
    type Error = InvalidQuotaMessage;

    fn try_from(wire: QuotaMessageWire) -> Result<Self, Self::Error> {
        let body = match (wire.ask, wire.grant) {
            (Some(ask), None) => QuotaBody::Ask(QuotaAsk {
                number: ask.number,
                wanted: ask.wanted,
            }),
            (None, Some(grant)) => QuotaBody::Grant(QuotaGrant {
                number: grant.number,
                tokens: grant.tokens,
                pause: Duration::from_millis(grant.pause_ms.into()),
            }),
            _ => return Err(InvalidQuotaMessage),
        };
        Ok(Self {
            sender: InstanceIncarnation {
                instance: wire.instance,
                incarnation: wire.incarnation,
            },
            server: ServerIncarnation {
                id: wire.server,
                born: wire.born,
            },
            report: wire.report.map(LimitReport::try_from).transpose()?,
            cold_left: wire.cold_left_ms.map(read_cold_time),
            body,
        })
    }
}
