//! Vocabulary shared by every crate: names, time, hashes, fences and the records kept in the store.
//!
//! Nothing in here performs input or output, and nothing reads a clock. Types that are stored or
//! sent have a wire twin (`…Wire`) with `From` and `TryFrom`, so that a change of format never
//! reaches the decisions.

mod fence_token;
mod instance_id;
mod instance_record;
mod key_hash;
mod mono_time;
mod object_path;
mod part_id;
mod part_record;
mod part_wire;
mod server_name;
mod service_name;
mod slice_entry;
mod slice_range;
mod wire_error;

pub use {
    fence_token::FenceToken, instance_id::InstanceId, instance_record::InstanceRecord,
    key_hash::KeyHash, mono_time::MonoTime, object_path::ObjectPath, part_id::PartId,
    part_record::PartRecord, part_wire::PartWire, server_name::ServerName,
    service_name::ServiceName, slice_entry::SliceEntry, slice_range::SliceRange,
    wire_error::WireError,
};

/// Imports used throughout the crate.
mod prelude {
    pub(crate) use {
        crate::*,
        serde::{Deserialize, Serialize},
        std::{
            fmt::{self, Display, Formatter},
            net::SocketAddr,
            time::Duration,
        },
    };
}
