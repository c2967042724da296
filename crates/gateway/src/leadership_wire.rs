//! Protobuf messages about the leadership of keys within a heartbeat.

#[derive(prost::Message)]
pub(crate) struct LeadershipWire {
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    #[prost(uint64, tag = "2")]
    pub(crate) term: u64,
    #[prost(bool, tag = "3")]
    pub(crate) is_leader: bool,
    #[prost(uint64, tag = "4")]
    pub(crate) confirmed_ms: u64,
    /// In microseconds; 0 if no heartbeat has been received.
    #[prost(uint64, tag = "5")]
    pub(crate) leader_heard_at_us: u64,
}

#[derive(prost::Message)]
pub(crate) struct GrantedRangeWire {
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    #[prost(uint32, tag = "2")]
    pub(crate) first: u32,
    #[prost(uint64, tag = "3")]
    pub(crate) fence: u64,
}
