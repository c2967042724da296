//! Protobuf encoding of the era of the store that an instance knows.

use crate::prelude::*;

/// Era of the store.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct EraWire {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(uint64, tag = "2")]
    stated: u64,
}

impl From<StoreEra> for EraWire {
    fn from(era: StoreEra) -> Self {
        Self {
            number: era.number,
            stated: era.stated,
        }
    }
}

impl From<EraWire> for StoreEra {
    fn from(wire: EraWire) -> Self {
        Self {
            number: wire.number,
            stated: wire.stated,
        }
    }
}
