//! Control messages between a leader and a server, as JSON over HTTP.

use crate::prelude::*;

/// JSON form of [`GrantOrder`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantWire {
    /// Part, as `SERVICE/INDEX`.
    pub part: String,
    /// Authority.
    pub fence: FenceToken,
    /// All ranges of hashes that the server may serve.
    pub ranges: Vec<SliceRange>,
    /// Reading of the server's clock from which the grant no longer stands, in microseconds.
    pub not_after_us: u64,
}

/// Answer of a server to a control message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantReplyWire {
    /// Whether the order was accepted.
    pub accepted: bool,
    /// Reading of the server's clock, in microseconds.
    pub clock_us: u64,
    /// Requests running at the server, as it says.
    pub busy: u32,
    /// Whether the server is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// Highest fence accepted.
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
