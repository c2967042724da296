//! Tests of changes for which the store's responses are lost.

mod support;

use {
    futures_lite::future::block_on,
    geraniummast_cli::{ChangeOutcome, CliVerb, ConfigurationStore, ExitStatus, execute},
    geraniummast_configuration::{ConfigurationChange, ConfigurationPlan},
    geraniummast_lab::StoreFault,
    geraniummast_net::WorkerPool,
    std::time::Duration,
    support::{TestDirectory, VALID_DECLARATIONS, expect, settings, store_with_declarations},
};

fn peak() -> CliVerb {
    CliVerb::PresetUse("peak".into())
}

#[test]
fn change_with_lost_response_is_resolved_before_command_ends() {
    let directory = TestDirectory::new("lost-answer", &[("a.toml", VALID_DECLARATIONS)]);
    let store = store_with_declarations(&directory);
    store.set_fault(StoreFault::LostAnswers);
    let report = expect(ExitStatus::Done, &peak(), &settings(&store, "ada"));
    assert_eq!(report.json["revision"], 2);
    let again = expect(ExitStatus::Done, &peak(), &settings(&store, "ada"));
    assert_eq!(again.json["changed"], false);
}

#[test]
fn change_with_lost_response_is_recognised_after_later_change() {
    let directory = TestDirectory::new("overwritten", &[("a.toml", VALID_DECLARATIONS)]);
    let store = store_with_declarations(&directory);
    store.set_fault(StoreFault::LostAnswers);
    let report = std::thread::scope(|scope| {
        let ada = scope.spawn(|| execute(&peak(), &settings(&store, "ada")));
        let bob = settings(&store, "bob");
        while execute(&CliVerb::PresetList, &bob).json["in_force"] != "peak" {}
        store.set_fault(StoreFault::None);
        expect(
            ExitStatus::Done,
            &CliVerb::PresetUse("ordinary".into()),
            &bob,
        );
        ada.join().unwrap()
    });
    assert_eq!(report.status, ExitStatus::Done, "{}", report.text);
    assert_eq!(report.json["revision"], 2);
    let list = expect(
        ExitStatus::Done,
        &CliVerb::PresetList,
        &settings(&store, "bob"),
    );
    assert_eq!(list.json["in_force"], "ordinary");
    assert_eq!(list.json["revision"], 3);
}

#[test]
fn change_with_store_down_is_reported_as_unreachable_or_unclear() {
    let directory = TestDirectory::new("down", &[("a.toml", VALID_DECLARATIONS)]);
    let store = store_with_declarations(&directory);
    let pool = WorkerPool::start("test", 1).unwrap();
    let configuration_store =
        ConfigurationStore::new(pool.clone(), store.address(), Duration::from_millis(600));
    let stored = block_on(configuration_store.read_head()).unwrap();
    store.set_fault(StoreFault::Down);

    let mut ada = settings(&store, "ada");
    ada.timeout = Duration::from_millis(600);
    expect(ExitStatus::Unreachable, &peak(), &ada);

    let plan = ConfigurationPlan::new(&stored.head, &ConfigurationChange::UsePreset("peak".into()))
        .unwrap();
    let outcome = block_on(configuration_store.write(&stored, plan, "ada"));
    let ChangeOutcome::Unclear { write_id, .. } = outcome else {
        panic!("{outcome:?}");
    };
    store.set_fault(StoreFault::None);
    let mut query_settings = settings(&store, "ada");
    query_settings.write_id = Some(write_id);
    let open = expect(ExitStatus::Unclear, &CliVerb::History, &query_settings);
    assert_eq!(open.json["fate"], "open");
    expect(ExitStatus::Done, &peak(), &settings(&store, "bob"));
    let lost = expect(ExitStatus::Refused, &CliVerb::History, &query_settings);
    assert_eq!(lost.json["fate"], "lost");
    pool.stop();
}
