//! The fate of a write, judged afterwards, against what really happened.

use {
    geraniummast_configuration::{
        ChangeMetadata, ConfigurationHead, HeadChange, HeadPlan, PresetDeclaration, WriteFate,
    },
    quickcheck::{Arbitrary, Gen},
};

const SEED: u64 = 64;

/// A write on its way, and whether the store took it.
struct SentWrite {
    base: u64,
    record: ConfigurationHead,
    accepted: Option<bool>,
}

fn record(head: &ConfigurationHead, preset: &str, number: usize) -> ConfigurationHead {
    let metadata = ChangeMetadata {
        changed_by: "ada".into(),
        changed_at_ms: 0,
        write_id: format!("w{number}"),
    };
    let change = HeadChange::Preset(preset.into());
    HeadPlan::new(head, &change).unwrap().into_record(&metadata)
}

#[test]
fn the_judged_fate_is_what_happened() {
    let mut random = Gen::from_size_and_seed(100, SEED);
    let mut forgotten = 0;
    for round in 0..8 {
        let presets = ["ordinary", "peak", "maintenance"];
        let mut head = ConfigurationHead {
            revision: 1,
            preset: "ordinary".into(),
            presets: presets
                .map(|name| (name.to_string(), PresetDeclaration::default()))
                .into(),
            ..ConfigurationHead::default()
        };
        let mut writes: Vec<SentWrite> = Vec::new();
        for number in 0..200 {
            let preset = random.choose(&presets).unwrap();
            writes.push(SentWrite {
                base: head.revision,
                record: record(&head, preset, number),
                accepted: None,
            });
            // Any write that is still under way may arrive now, in any order and late.
            let arriving = match bool::arbitrary(&mut random) {
                true => writes.len() - 1,
                false => usize::arbitrary(&mut random) % writes.len(),
            };
            let write = &mut writes[arriving];
            if write.accepted.is_none() {
                let holds = write.base == head.revision;
                write.accepted = Some(holds);
                if holds {
                    head = write.record.clone();
                }
            }
            for write in &writes {
                let context = format!("seed {SEED}, round {round}, {}", write.record.write_id);
                let reach = write.base + ConfigurationHead::HISTORY_ENTRIES as u64;
                match WriteFate::of(&head, &write.record.write_id, write.base) {
                    WriteFate::Accepted(entry) => {
                        assert_eq!(write.accepted, Some(true), "{context}");
                        assert_eq!(entry.revision, write.base + 1, "{context}");
                    }
                    WriteFate::LostTo(entry) => {
                        assert_ne!(write.accepted, Some(true), "{context}");
                        assert_eq!(entry.revision, write.base + 1, "{context}");
                    }
                    WriteFate::Open => {
                        assert_eq!(write.accepted, None, "{context}");
                        assert_eq!(write.base, head.revision, "{context}");
                    }
                    WriteFate::Forgotten => {
                        assert!(head.revision > reach, "{context}");
                        forgotten += 1;
                    }
                }
            }
        }
    }
    assert!(forgotten > 0, "seed {SEED}");
}
