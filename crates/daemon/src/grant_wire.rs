//! Control messages between the leader of a part and a server, as JSON over HTTP.

use crate::prelude::*;

/// JSON form of [`GrantOrder`], by which a leader grants slices of a part to a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantWire {
    /// Part, as `SERVICE/INDEX`.
    pub part: String,
    /// Fencing token under which the leader grants.
    pub fence: FenceToken,
    /// All ranges of key hashes of the part that the server may serve.
    pub ranges: Vec<SliceRange>,
    /// Time on the server's clock at which the grant expires, in microseconds.
    pub not_after_us: u64,
}

/// Answer of a server to an order, or to a request for its clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantReplyWire {
    /// Whether the server accepted the order.
    pub accepted: bool,
    /// Time on the server's clock, in microseconds.
    pub clock_us: u64,
    /// Number of requests that the server reports as running.
    pub busy: u32,
    /// Whether the server announces that it is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// Highest fencing token that the server has accepted.
    pub fence: FenceToken,
}

impl From<&GrantOrder> for GrantWire {
    fn from(order: &GrantOrder) -> Self {
        Self {
            part: order.part.to_string(),
            fence: order.fence,
            ranges: order.ranges.clone(),
            not_after_us: order.not_after.0,
        }
    }
}

impl TryFrom<GrantWire> for GrantOrder {
    type Error = WireError;

    fn try_from(wire: GrantWire) -> Result<Self, WireError> {
        Ok(Self {
            part: wire.part.parse()?,
            fence: wire.fence,
            ranges: wire.ranges,
            not_after: MonoTime(wire.not_after_us),
        })
    }
}
