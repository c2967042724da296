//! Tests of checks and changes against a simulated store.

mod support;

use {
    geraniummast_cli::{CliSettings, CliVerb, ExitStatus, execute},
    geraniummast_lab::SimulatedStore,
    support::{TestDirectory, VALID_DECLARATIONS, expect, settings, store_with_declarations},
};

fn write_count(store: &SimulatedStore) -> u64 {
    store.calls().get("write").copied().unwrap_or(0)
}

#[test]
fn check_with_five_errors_reports_five_located_findings() {
    let first = VALID_DECLARATIONS
        .replacen("slots = 3", "slots = 0", 1)
        .replacen("10.0.0.2:80", "view-2", 1)
        .replacen("repeatable", "repeat", 1);
    let second = "[preset.night]\nslot_percent = 200\ndrained_servers = [\"view-7\"]\n";
    let directory = TestDirectory::new("five-findings", &[("a.toml", &first), ("b.toml", second)]);
    let verb = CliVerb::Check(directory.path());
    let report = expect(ExitStatus::Refused, &verb, &CliSettings::default());
    let findings = report.json["findings"].as_array().unwrap();
    let locations: Vec<_> = findings
        .iter()
        .map(|finding| {
            let file = finding["file"]
                .as_str()
                .unwrap()
                .rsplit('/')
                .next()
                .unwrap();
            (
                file,
                finding["line"].as_u64(),
                finding["field"].as_str().unwrap(),
            )
        })
        .collect();
    let expected = [
        ("a.toml", Some(9), "service.reports.class[0].repeat"),
        ("a.toml", Some(14), "service.reports.server[0].slots"),
        ("a.toml", Some(18), "service.reports.server[1].address"),
        ("b.toml", Some(2), "preset.night.slot_percent"),
        ("b.toml", Some(3), "preset.night.drained_servers[0]"),
    ];
    assert_eq!(locations, expected);
    assert!(report.text.ends_with("5 findings\n"), "{}", report.text);
}

#[test]
fn apply_of_unchanged_directory_writes_nothing() {
    let directory = TestDirectory::new("apply-twice", &[("a.toml", VALID_DECLARATIONS)]);
    let store = store_with_declarations(&directory);
    let count_before = write_count(&store);
    let verb = CliVerb::Apply(directory.path());
    let report = expect(ExitStatus::Done, &verb, &settings(&store, "ada"));
    assert_eq!(report.json["changed"], false);
    assert_eq!(write_count(&store), count_before);
}

#[test]
fn undeclared_objects_stay_until_pruned_and_rollback_adds_a_revision() {
    let directory = TestDirectory::new("prune", &[("a.toml", VALID_DECLARATIONS)]);
    let store = store_with_declarations(&directory);
    let mut operator = settings(&store, "ada");
    directory.put("a.toml", &VALID_DECLARATIONS.replace("[preset.peak]\n", ""));
    let apply = CliVerb::Apply(directory.path());
    let report = expect(ExitStatus::Done, &apply, &operator);
    assert_eq!(report.json["undeclared"][0], "preset peak");
    assert_eq!(report.json["changed"], false);
    operator.prune = true;
    let report = expect(ExitStatus::Done, &apply, &operator);
    assert_eq!(report.json["entry"]["change"], "removed preset peak");
    directory.put("a.toml", VALID_DECLARATIONS);
    let report = expect(ExitStatus::Done, &apply, &operator);
    assert_eq!(report.json["revision"], 3);
    let list = expect(ExitStatus::Done, &CliVerb::PresetList, &operator);
    assert!(list.json["presets"]["peak"].is_object());
}

#[test]
fn plan_shows_differences_and_apply_of_outdated_plan_loses_race() {
    let directory = TestDirectory::new("outdated", &[("a.toml", VALID_DECLARATIONS)]);
    let store = store_with_declarations(&directory);
    directory.put(
        "a.toml",
        &VALID_DECLARATIONS.replacen("slots = 3", "slots = 4", 1),
    );
    let mut ada = settings(&store, "ada");
    let plan = expect(ExitStatus::Done, &CliVerb::Plan(directory.path()), &ada);
    assert!(
        plan.text.contains("server reports/view-1: slots 3 -> 4"),
        "{}",
        plan.text
    );
    let peak = CliVerb::PresetUse("peak".into());
    expect(ExitStatus::Done, &peak, &settings(&store, "bob"));
    ada.revision = plan.json["revision"].as_u64();
    let report = expect(
        ExitStatus::LostRace,
        &CliVerb::Apply(directory.path()),
        &ada,
    );
    assert_eq!(report.json["winner"]["changed_by"], "bob");
    assert_eq!(report.json["winner"]["revision"], 2);
    assert!(
        report.text.contains("revision 2 by bob at 20"),
        "{}",
        report.text
    );
}

#[test]
fn concurrent_changes_have_one_winner_that_the_losers_report() {
    let wanted =
        |round: u64, index: usize| format!("{}{index}", ["even", "odd"][round as usize % 2]);
    let mut text = VALID_DECLARATIONS.to_string();
    for round in [0, 1] {
        for index in 0..6 {
            text += &format!("[preset.{}]\n", wanted(round, index));
        }
    }
    let directory = TestDirectory::new("race", &[("a.toml", &text)]);
    let store = store_with_declarations(&directory);
    for round in 0..8 {
        let run = |index: usize| {
            let mut settings = settings(&store, &format!("operator-{index}"));
            settings.revision = Some(round + 1);
            execute(&CliVerb::PresetUse(wanted(round, index)), &settings)
        };
        let reports: Vec<_> = std::thread::scope(|scope| {
            let threads: Vec<_> = (0..6)
                .map(|index| scope.spawn(move || run(index)))
                .collect();
            threads
                .into_iter()
                .map(|thread| thread.join().unwrap())
                .collect()
        });
        let won = |index: &usize| reports[*index].status == ExitStatus::Done;
        let winners: Vec<usize> = (0..6).filter(won).collect();
        assert_eq!(winners.len(), 1, "round {round}: {reports:#?}");
        let name = format!("operator-{}", winners[0]);
        for report in reports
            .iter()
            .filter(|report| report.status != ExitStatus::Done)
        {
            assert_eq!(report.status, ExitStatus::LostRace, "{}", report.text);
            assert_eq!(report.json["winner"]["changed_by"], name);
            assert_eq!(report.json["winner"]["revision"], round + 2);
        }
        let list = execute(&CliVerb::PresetList, &settings(&store, "ada"));
        assert_eq!(list.json["in_force"], wanted(round, winners[0]));
    }
}
