//! Compares the status determined for a write afterwards with its actual outcome.

use {
    geraniummast_configuration::{
        ChangeMetadata, ConfigurationChange, ConfigurationHead, ConfigurationPlan,
        PresetDeclaration, WriteStatus,
    },
    quickcheck::{Arbitrary, Gen},
};

const SEED: u64 = 64;

/// Write that was sent, and whether the simulated store accepted it (`None` while in flight).
struct SentWrite {
    base_revision: u64,
    head: ConfigurationHead,
    accepted: Option<bool>,
}

fn planned_head(base_head: &ConfigurationHead, preset: &str, number: usize) -> ConfigurationHead {
    let metadata = ChangeMetadata {
        changed_by: "ada".into(),
        changed_at_ms: 0,
        write_id: format!("w{number}"),
    };
    let change = ConfigurationChange::UsePreset(preset.into());
    ConfigurationPlan::new(base_head, &change)
        .unwrap()
        .into_head(&metadata)
}

#[test]
fn determined_status_of_delayed_writes_matches_actual_outcome() {
    let mut random = Gen::from_size_and_seed(100, SEED);
    let mut outside_history_count = 0;
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
                base_revision: head.revision,
                head: planned_head(&head, preset, number),
                accepted: None,
            });
            // One of the writes in flight arrives; writes may be delayed and reordered.
            let index = match bool::arbitrary(&mut random) {
                true => writes.len() - 1,
                false => usize::arbitrary(&mut random) % writes.len(),
            };
            let write = &mut writes[index];
            if write.accepted.is_none() {
                let is_accepted = write.base_revision == head.revision;
                write.accepted = Some(is_accepted);
                if is_accepted {
                    head = write.head.clone();
                }
            }
            for write in &writes {
                let context = format!("seed {SEED}, round {round}, {}", write.head.write_id);
                let last_revision_in_history =
                    write.base_revision + ConfigurationHead::MAX_HISTORY_ENTRIES as u64;
                match WriteStatus::of(&head, &write.head.write_id, write.base_revision) {
                    WriteStatus::Accepted(entry) => {
                        assert_eq!(write.accepted, Some(true), "{context}");
                        assert_eq!(entry.revision, write.base_revision + 1, "{context}");
                    }
                    WriteStatus::LostTo(entry) => {
                        assert_ne!(write.accepted, Some(true), "{context}");
                        assert_eq!(entry.revision, write.base_revision + 1, "{context}");
                    }
                    WriteStatus::Pending => {
                        assert_eq!(write.accepted, None, "{context}");
                        assert_eq!(write.base_revision, head.revision, "{context}");
                    }
                    WriteStatus::OutsideHistory => {
                        assert!(head.revision > last_revision_in_history, "{context}");
                        outside_history_count += 1;
                    }
                }
            }
        }
    }
    assert!(outside_history_count > 0, "seed {SEED}");
}
