//! Tests of configuration planning through the public API.

use geraniummast_configuration::{
    ChangeMetadata, ConfigurationChange, ConfigurationHead, ConfigurationPlan, DeclarationSet,
    SourceFile,
};
use geraniummast_model::{ServerName, ServiceName};

const COMMON_DECLARATIONS: &str =
    "[place.dc1]\nregion = \"home\"\n[preset.ordinary]\n[preset.peak]\n";

fn service(name: &str, servers: &[u8], slots: u32) -> String {
    let mut text = format!(
        "[service.{name}]\nkind = \"exclusive\"\n[[service.{name}.class]]\nname = \"lookup\"\n\
         methods = [\"GET\"]\n"
    );
    for server in servers {
        text += &format!(
            "[[service.{name}.server]]\nname = \"s{server}\"\naddress = \"10.0.0.{server}:80\"\n\
             data_centre = \"dc1\"\nslots = {slots}\nconnections = 50\n"
        );
    }
    text
}

fn declare_change(text: &str, prune: bool) -> ConfigurationChange {
    let files = [SourceFile::new("a.toml", text)];
    ConfigurationChange::Declare {
        set: Box::new(DeclarationSet::read(&files).unwrap()),
        prune,
        initial_preset: None,
    }
}

fn apply_change(head: &ConfigurationHead, change: &ConfigurationChange) -> ConfigurationHead {
    let revision = head.revision + 1;
    let metadata = ChangeMetadata {
        changed_by: "ada".into(),
        changed_at_ms: revision,
        write_id: format!("w{revision}"),
    };
    ConfigurationPlan::new(head, change)
        .unwrap()
        .into_head(&metadata)
}

fn first_head() -> ConfigurationHead {
    let text = COMMON_DECLARATIONS.to_string() + &service("reports", &[1, 2], 3);
    apply_change(&ConfigurationHead::default(), &declare_change(&text, false))
}

#[test]
fn first_head_has_default_preset_and_unchanged_declarations_give_empty_plan() {
    let head = first_head();
    assert_eq!((head.revision, head.preset.as_str()), (1, "ordinary"));
    let text = COMMON_DECLARATIONS.to_string() + &service("reports", &[1, 2], 3);
    for prune in [false, true] {
        let plan = ConfigurationPlan::new(&head, &declare_change(&text, prune)).unwrap();
        assert!(plan.is_empty(), "{}", plan.summary());
    }
}

#[test]
fn undeclared_objects_without_prune_are_kept_and_listed() {
    let head = first_head();
    let text = COMMON_DECLARATIONS.replace("[preset.peak]\n", "") + &service("reports", &[1], 4);
    let plan = ConfigurationPlan::new(&head, &declare_change(&text, false)).unwrap();
    assert_eq!(plan.undeclared, ["server reports/s2", "preset peak"]);
    assert_eq!(plan.summary(), "changed server reports/s1: slots 3 -> 4");
    let pruned = apply_change(&head, &declare_change(&text, true));
    assert_eq!(
        pruned.services[&ServiceName::new("reports")].servers.len(),
        1
    );
    assert!(!pruned.presets.contains_key("peak"));
    let rolled_back = apply_change(
        &pruned,
        &declare_change(
            &(COMMON_DECLARATIONS.to_string() + &service("reports", &[1, 2], 3)),
            true,
        ),
    );
    assert_eq!(rolled_back.revision, 3);
    assert_eq!(rolled_back.declarations(), head.declarations());
}

#[test]
fn pruning_active_preset_or_unknown_name_is_refused() {
    let head = apply_change(
        &first_head(),
        &ConfigurationChange::UsePreset("peak".into()),
    );
    let text = COMMON_DECLARATIONS.replace("[preset.peak]\n", "") + &service("reports", &[1, 2], 3);
    let findings = ConfigurationPlan::new(&head, &declare_change(&text, true)).unwrap_err();
    assert_eq!(findings[0].field, "preset in force");
    let unknown = ConfigurationPlan::new(&head, &ConfigurationChange::UsePreset("night".into()));
    assert!(unknown.unwrap_err()[0].expected.contains("ordinary, peak"));
    let unknown = ConfigurationPlan::new(&head, &ConfigurationChange::Drain(ServerName::new("s9")));
    assert_eq!(unknown.unwrap_err().len(), 1);
}

#[test]
fn drain_persists_across_changes_and_never_covers_all_servers() {
    let reports = ServiceName::new("reports");
    let head = apply_change(
        &first_head(),
        &ConfigurationChange::Drain(ServerName::new("s1")),
    );
    let head = apply_change(&head, &ConfigurationChange::UsePreset("peak".into()));
    let active: Vec<_> = head
        .active_servers(&reports)
        .iter()
        .map(|s| s.name.clone())
        .collect();
    assert_eq!(active, [ServerName::new("s2")]);
    let second = ConfigurationPlan::new(&head, &ConfigurationChange::Drain(ServerName::new("s2")));
    assert_eq!(second.unwrap_err()[0].field, "drained servers");
    let head = apply_change(&head, &ConfigurationChange::Undrain(ServerName::new("s1")));
    assert_eq!(head.active_servers(&reports).len(), 2);
}

#[test]
fn changed_immutable_field_or_conflict_with_kept_server_is_refused() {
    let head = first_head();
    let text = COMMON_DECLARATIONS.to_string()
        + &service("reports", &[1, 2], 3).replace("\"exclusive\"", "\"exclusive\"\nparts = 2");
    let findings = ConfigurationPlan::new(&head, &declare_change(&text, false)).unwrap_err();
    assert_eq!(findings[0].field, "service.reports.parts");
    let renamed = COMMON_DECLARATIONS.to_string()
        + &service("reports", &[1, 2], 3).replace("\"s2\"", "\"s3\"");
    let findings = ConfigurationPlan::new(&head, &declare_change(&renamed, false)).unwrap_err();
    assert_eq!(findings[0].value, "10.0.0.2:80");
    assert!(
        findings[0]
            .field
            .starts_with("server reports/s2.address (kept though")
    );
    assert!(
        findings[0]
            .expected
            .contains("server reports/s3 has it too")
    );
    assert!(ConfigurationPlan::new(&head, &declare_change(&renamed, true)).is_ok());
}

#[test]
fn history_after_many_changes_keeps_latest_entries() {
    let mut head = first_head();
    for round in 0..200 {
        let preset = ["peak", "ordinary"][round % 2];
        head = apply_change(&head, &ConfigurationChange::UsePreset(preset.into()));
        assert_eq!(head.history.last().unwrap().revision, head.revision);
        assert_eq!(head.find_entry(&head.write_id).unwrap().changed_by, "ada");
    }
    assert_eq!(head.history.len(), ConfigurationHead::MAX_HISTORY_ENTRIES);
    assert!(
        head.history
            .is_sorted_by(|left, right| left.revision + 1 == right.revision)
    );
    assert!(
        head.history
            .last()
            .unwrap()
            .change
            .contains("\"peak\" -> \"ordinary\"")
    );
}
