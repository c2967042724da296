//! Objects of the store and instances at the beginning of a run.

use super::{
    change_world::ChangeWorld,
    simulated_instance::{LeaderRecord, SimulatedInstance},
};
use crate::prelude::*;

impl ChangeWorld {
    pub(super) fn record(index: usize, incarnation: u64) -> InstanceRecord {
        let address = SocketAddr::from(([127, 0, 0, 1], 1 + index as u16));
        InstanceRecord {
            name: format!("instance-{index:03}.dc{}", index % 3),
            incarnation,
            address,
            feed_address: address,
            relay_address: None,
            data_centre: format!("dc{}", index % 3),
            processor_share: 1.0,
        }
    }

    pub(super) fn index_of(address: SocketAddr) -> usize {
        usize::from(address.port()) - 1
    }

    pub(super) fn fill_store(&mut self) {
        for index in 0..self.settings.instances {
            let record = Self::record(index, 1);
            let name = format!("{}{}", InstanceRecord::PREFIX, record.name);
            let spec = RecordBody::write(&record).unwrap();
            self.store
                .change(ObjectKind::Records, &name, Some(&spec), 0, self.now);
        }
        let leader = LeaderRecord {
            instance: Self::record(0, 1).name,
            incarnation: 1,
            term: 1,
        };
        let spec = RecordBody::write(&leader).unwrap();
        let name = Self::key_record_name();
        self.store
            .change(ObjectKind::Records, &name, Some(&spec), 0, self.now);
        for number in 0..20 {
            let spec = serde_json::json!({ "draining": false, "write": 0 });
            let name = format!("server-{number}");
            self.store
                .change(ObjectKind::Servers, &name, Some(&spec), 0, self.now);
        }
        let spec = self.configuration_spec(0);
        let name = ObjectKind::CONFIGURATION_NAME;
        self.store
            .change(ObjectKind::Configuration, name, Some(&spec), 0, self.now);
    }

    pub(super) fn key_record_name() -> String {
        format!("{}{}", KeyView::PREFIX, SimulatedInstance::SERVICE)
    }
}
