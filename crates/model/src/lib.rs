//! Types shared by the other crates: names, time, hashes, fences and the records kept in the store.
//!
//! The crate performs no input or output and reads no clock. [`PartRecord`] has a separate
//! serialised form, [`PartWire`], and conversions between the two, so that a change of the stored
//! format does not affect the code that works with the record.

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

/// Common imports of the crate's modules.
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
