//! Sizes of stored records and the time to parse them, for docs/CAPACITY.md.

use {
    geraniummast_configuration::{
        ConfigurationHead, ServerDeclaration, ServiceDeclaration, ServiceKind,
    },
    geraniummast_model::{
        InstanceId, InstanceRecord, PartId, PartRecord, PartWire, ServerName, ServiceName,
        SliceEntry,
    },
    geraniummast_net::SteadyClock,
    indexmap::IndexMap,
    serde_json::json,
};

/// Numbers of slices of the measured part records.
const SLICES: [usize; 4] = [64, 256, 1_024, 4_096];
/// Numbers of servers of the measured configurations.
const SERVERS: [usize; 4] = [35, 350, 1_400, 5_600];
/// Number of times that each record is parsed.
const ROUNDS: u32 = 50;

fn main() {
    for slices in SLICES {
        let text = serde_json::to_vec(&PartWire::from(&part_record(slices)))
            .expect("the record can be serialized");
        let started = SteadyClock.now();
        for _ in 0..ROUNDS {
            let wire: PartWire =
                serde_json::from_slice(&text).expect("the record was just serialized");
            PartRecord::try_from(wire).expect("the record was just serialized");
        }
        let micros = SteadyClock.now().since(started).as_micros() as f64 / f64::from(ROUNDS);
        let bytes = text.len();
        println!(
            "{}",
            json!({ "slices": slices, "part_bytes": bytes, "read_us": micros })
        );
    }
    for servers in SERVERS {
        let text =
            serde_json::to_vec(&configuration_head(servers)).expect("the record can be serialized");
        let started = SteadyClock.now();
        for _ in 0..ROUNDS {
            let _: ConfigurationHead =
                serde_json::from_slice(&text).expect("the record was just serialized");
        }
        let micros = SteadyClock.now().since(started).as_micros() as f64 / f64::from(ROUNDS);
        let bytes = text.len();
        println!(
            "{}",
            json!({ "servers": servers, "head_bytes": bytes, "read_us": micros })
        );
    }
    let record = InstanceRecord {
        id: InstanceId::new("dc1-rack07-i31", 1_796_333_874_043),
        peer_address: ([10, 100, 100, 100], 4_000).into(),
        data_centre: "region1-dc1".into(),
        leaving: false,
    };
    let bytes = serde_json::to_vec(&record)
        .expect("the record can be serialized")
        .len();
    println!("{}", json!({ "instance_bytes": bytes }));
}

fn server_name(index: usize) -> ServerName {
    ServerName::new(&format!("dc1-rack07-s{index}"))
}

fn part_record(slices: usize) -> PartRecord {
    let width = u64::MAX / slices as u64;
    PartRecord {
        id: PartId::new(ServiceName::new("reports"), 117),
        term: 17,
        edition: 40_000,
        leader: InstanceId::new("dc1-rack07-i31", 1_796_333_874_043),
        standbys: vec![
            InstanceId::new("dc2-rack07-i31", 1_796_333_874_043),
            InstanceId::new("dc3-rack07-i31", 1_796_333_874_043),
        ],
        slices: (0..slices)
            .map(|index| SliceEntry {
                start: width * index as u64,
                owner: Some(server_name(index % 8)),
            })
            .collect(),
        end: u64::MAX,
        former_members: Vec::new(),
        moving: Vec::new(),
        write_id: "01a23dd7-b435-70c9-b969-80e6afb383a2".into(),
    }
}

fn configuration_head(servers: usize) -> ConfigurationHead {
    let servers = (0..servers).map(|index| ServerDeclaration {
        name: server_name(index),
        address: ([10, 100, 100, 100], 4_000).into(),
        data_centre: "region1-dc1".into(),
        slots: 6,
        connections: 65,
        checks_fences: true,
    });
    let service = ServiceDeclaration {
        kind: ServiceKind::Exclusive,
        parts: 1,
        classes: Vec::new(),
        servers: servers.collect(),
    };
    ConfigurationHead {
        revision: 1,
        preset: "ordinary".into(),
        services: IndexMap::from([(ServiceName::new("reports"), service)]),
        ..ConfigurationHead::default()
    }
}
