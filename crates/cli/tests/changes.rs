//! Checks and changes against the store's stand-in.

mod support;

use {
    geraniummast_cli::{CliSettings, CliVerb, ExitStatus, execute},
    geraniummast_lab::StoreStandin,
    support::{TestFolder, WHOLE, expect, settings, store_with_declarations},
};

fn writes(store: &StoreStandin) -> u64 {
    store.calls().get("write").copied().unwrap_or(0)
}

#[test]
fn five_faults_in_a_directory_give_five_findings_with_places() {
    let first = WHOLE
        .replacen("slots = 3", "slots = 0", 1)
        .replacen("10.0.0.2:80", "view-2", 1)
        .replacen("repeatable", "repeat", 1);
    let second = "[preset.night]\nslot_percent = 200\ndrained_servers = [\"view-7\"]\n";
    let folder = TestFolder::new("five-faults", &[("a.toml", &first), ("b.toml", second)]);
    let verb = CliVerb::Check(folder.path());
    let report = expect(ExitStatus::Refused, &verb, &CliSettings::default());
    let findings = report.json["findings"].as_array().unwrap();
    let places: Vec<_> = findings
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
    assert_eq!(places, expected);
    assert!(report.text.ends_with("5 findings\n"), "{}", report.text);
}

#[test]
fn a_second_apply_writes_nothing() {
    let folder = TestFolder::new("apply-twice", &[("a.toml", WHOLE)]);
    let store = store_with_declarations(&folder);
    let before = writes(&store);
    let verb = CliVerb::Apply(folder.path());
    let report = expect(ExitStatus::Done, &verb, &settings(&store, "ada"));
    assert_eq!(report.json["changed"], false);
    assert_eq!(writes(&store), before);
}

#[test]
fn undeclared_objects_stay_until_pruned_and_a_rollback_is_a_new_revision() {
    let folder = TestFolder::new("prune", &[("a.toml", WHOLE)]);
    let store = store_with_declarations(&folder);
    let mut operator = settings(&store, "ada");
    folder.put("a.toml", &WHOLE.replace("[preset.peak]\n", ""));
    let apply = CliVerb::Apply(folder.path());
    let report = expect(ExitStatus::Done, &apply, &operator);
    assert_eq!(report.json["undeclared"][0], "preset peak");
    assert_eq!(report.json["changed"], false);
    operator.prune = true;
    let report = expect(ExitStatus::Done, &apply, &operator);
    assert_eq!(report.json["entry"]["change"], "removed preset peak");
    folder.put("a.toml", WHOLE);
    let report = expect(ExitStatus::Done, &apply, &operator);
    assert_eq!(report.json["revision"], 3);
    let list = expect(ExitStatus::Done, &CliVerb::PresetList, &operator);
    assert!(list.json["presets"]["peak"].is_object());
}

#[test]
fn the_plan_shows_differences_and_the_apply_of_an_outdated_plan_is_lost() {
    let folder = TestFolder::new("outdated", &[("a.toml", WHOLE)]);
    let store = store_with_declarations(&folder);
    folder.put("a.toml", &WHOLE.replacen("slots = 3", "slots = 4", 1));
    let mut ada = settings(&store, "ada");
    let plan = expect(ExitStatus::Done, &CliVerb::Plan(folder.path()), &ada);
    assert!(
        plan.text.contains("server reports/view-1: slots 3 -> 4"),
        "{}",
        plan.text
    );
    let peak = CliVerb::PresetUse("peak".into());
    expect(ExitStatus::Done, &peak, &settings(&store, "bob"));
    ada.revision = plan.json["revision"].as_u64();
    let report = expect(ExitStatus::LostRace, &CliVerb::Apply(folder.path()), &ada);
    assert_eq!(report.json["winner"]["changed_by"], "bob");
    assert_eq!(report.json["winner"]["revision"], 2);
    assert!(
        report.text.contains("revision 2 by bob at 20"),
        "{}",
        report.text
    );
}

#[test]
fn of_operators_who_race_exactly_one_wins_and_the_others_learn_who() {
    let wanted =
        |round: u64, index: usize| format!("{}{index}", ["even", "odd"][round as usize % 2]);
    let mut text = WHOLE.to_string();
    for round in [0, 1] {
        for index in 0..6 {
            text += &format!("[preset.{}]\n", wanted(round, index));
        }
    }
    let folder = TestFolder::new("race", &[("a.toml", &text)]);
    let store = store_with_declarations(&folder);
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
