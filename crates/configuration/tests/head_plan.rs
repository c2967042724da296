//! Planning of the next head, through the public API.

use geraniummast_configuration::{
    ChangeMetadata, ConfigurationHead, DeclarationSet, HeadChange, HeadPlan, SourceFile,
};
use geraniummast_model::{ServerName, ServiceName};

const PLACE: &str = "[place.dc1]\nregion = \"home\"\n[preset.ordinary]\n[preset.peak]\n";

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

fn declare(text: &str, prune: bool) -> HeadChange {
    let files = [SourceFile::new("a.toml", text)];
    HeadChange::Declare {
        set: Box::new(DeclarationSet::read(&files).unwrap()),
        prune,
        first_preset: None,
    }
}

fn accept(head: &ConfigurationHead, change: &HeadChange) -> ConfigurationHead {
    let revision = head.revision + 1;
    let metadata = ChangeMetadata {
        changed_by: "ada".into(),
        changed_at_ms: revision,
        write_id: format!("w{revision}"),
    };
    HeadPlan::new(head, change).unwrap().into_record(&metadata)
}

fn first() -> ConfigurationHead {
    let text = PLACE.to_string() + &service("reports", &[1, 2], 3);
    accept(&ConfigurationHead::default(), &declare(&text, false))
}

#[test]
fn the_first_head_takes_the_ordinary_preset_and_the_same_files_change_nothing() {
    let head = first();
    assert_eq!((head.revision, head.preset.as_str()), (1, "ordinary"));
    let text = PLACE.to_string() + &service("reports", &[1, 2], 3);
    for prune in [false, true] {
        let plan = HeadPlan::new(&head, &declare(&text, prune)).unwrap();
        assert!(plan.is_empty(), "{}", plan.summary());
    }
}

#[test]
fn undeclared_objects_are_kept_and_named_until_pruned() {
    let head = first();
    let text = PLACE.replace("[preset.peak]\n", "") + &service("reports", &[1], 4);
    let plan = HeadPlan::new(&head, &declare(&text, false)).unwrap();
    assert_eq!(plan.undeclared, ["server reports/s2", "preset peak"]);
    assert_eq!(plan.summary(), "changed server reports/s1: slots 3 -> 4");
    let pruned = accept(&head, &declare(&text, true));
    assert_eq!(
        pruned.services[&ServiceName::new("reports")].servers.len(),
        1
    );
    assert!(!pruned.presets.contains_key("peak"));
    let rolled_back = accept(
        &pruned,
        &declare(&(PLACE.to_string() + &service("reports", &[1, 2], 3)), true),
    );
    assert_eq!(rolled_back.revision, 3);
    assert_eq!(rolled_back.declarations(), head.declarations());
}

#[test]
fn the_preset_in_force_cannot_be_pruned_and_unknown_names_are_refused() {
    let head = accept(&first(), &HeadChange::Preset("peak".into()));
    let text = PLACE.replace("[preset.peak]\n", "") + &service("reports", &[1, 2], 3);
    let findings = HeadPlan::new(&head, &declare(&text, true)).unwrap_err();
    assert_eq!(findings[0].field, "preset in force");
    let unknown = HeadPlan::new(&head, &HeadChange::Preset("night".into()));
    assert!(unknown.unwrap_err()[0].expected.contains("ordinary, peak"));
    let unknown = HeadPlan::new(&head, &HeadChange::Drain(ServerName::new("s9")));
    assert_eq!(unknown.unwrap_err().len(), 1);
}

#[test]
fn a_drain_holds_through_changes_and_never_empties_a_service() {
    let reports = ServiceName::new("reports");
    let head = accept(&first(), &HeadChange::Drain(ServerName::new("s1")));
    let head = accept(&head, &HeadChange::Preset("peak".into()));
    let active: Vec<_> = head
        .active_servers(&reports)
        .iter()
        .map(|s| s.name.clone())
        .collect();
    assert_eq!(active, [ServerName::new("s2")]);
    let second = HeadPlan::new(&head, &HeadChange::Drain(ServerName::new("s2")));
    assert_eq!(second.unwrap_err()[0].field, "drained servers");
    let head = accept(&head, &HeadChange::Return(ServerName::new("s1")));
    assert_eq!(head.active_servers(&reports).len(), 2);
}

#[test]
fn fixed_fields_and_clashes_with_kept_objects_are_refused() {
    let head = first();
    let text = PLACE.to_string()
        + &service("reports", &[1, 2], 3).replace("\"exclusive\"", "\"exclusive\"\nparts = 2");
    let findings = HeadPlan::new(&head, &declare(&text, false)).unwrap_err();
    assert_eq!(findings[0].field, "service.reports.parts");
    let renamed = PLACE.to_string() + &service("reports", &[1, 2], 3).replace("\"s2\"", "\"s3\"");
    let findings = HeadPlan::new(&head, &declare(&renamed, false)).unwrap_err();
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
    assert!(HeadPlan::new(&head, &declare(&renamed, true)).is_ok());
}

#[test]
fn every_accepted_change_is_remembered_up_to_the_bound() {
    let mut head = first();
    for round in 0..200 {
        let preset = ["peak", "ordinary"][round % 2];
        head = accept(&head, &HeadChange::Preset(preset.into()));
        assert_eq!(head.history.last().unwrap().revision, head.revision);
        assert_eq!(head.entry_of(&head.write_id).unwrap().changed_by, "ada");
    }
    assert_eq!(head.history.len(), ConfigurationHead::HISTORY_ENTRIES);
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
