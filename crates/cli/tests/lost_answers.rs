//! Changes whose answers from the store are lost.

mod support;

use {
    futures_lite::future::block_on,
    geraniummast_cli::{ChangeOutcome, CliVerb, ExitStatus, HeadStore, execute},
    geraniummast_configuration::{ConfigurationChange, ConfigurationPlan},
    geraniummast_lab::StoreFault,
    geraniummast_net::WorkerPool,
    std::time::Duration,
    support::{TestFolder, WHOLE, expect, settings, store_with_declarations},
};

fn peak() -> CliVerb {
    CliVerb::PresetUse("peak".into())
}

#[test]
fn a_lost_answer_is_resolved_before_the_command_ends() {
    let folder = TestFolder::new("lost-answer", &[("a.toml", WHOLE)]);
    let store = store_with_declarations(&folder);
    store.set_fault(StoreFault::LostAnswers);
    let report = expect(ExitStatus::Done, &peak(), &settings(&store, "ada"));
    assert_eq!(report.json["revision"], 2);
    let again = expect(ExitStatus::Done, &peak(), &settings(&store, "ada"));
    assert_eq!(again.json["changed"], false);
}

#[test]
fn a_lost_answer_is_recognised_under_another_operators_later_change() {
    let folder = TestFolder::new("overwritten", &[("a.toml", WHOLE)]);
    let store = store_with_declarations(&folder);
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
fn a_store_that_is_down_leaves_the_change_undone_or_unclear_and_says_which() {
    let folder = TestFolder::new("down", &[("a.toml", WHOLE)]);
    let store = store_with_declarations(&folder);
    let pool = WorkerPool::start("test", 1).unwrap();
    let heads = HeadStore::new(pool.clone(), store.address(), Duration::from_millis(600));
    let found = block_on(heads.find()).unwrap();
    store.set_fault(StoreFault::Down);

    let mut ada = settings(&store, "ada");
    ada.timeout = Duration::from_millis(600);
    expect(ExitStatus::Unreachable, &peak(), &ada);

    let plan = ConfigurationPlan::new(&found.head, &ConfigurationChange::UsePreset("peak".into()))
        .unwrap();
    let outcome = block_on(heads.write(&found, plan, "ada"));
    let ChangeOutcome::Unclear { write_id, .. } = outcome else {
        panic!("{outcome:?}");
    };
    store.set_fault(StoreFault::None);
    let mut ask = settings(&store, "ada");
    ask.write_id = Some(write_id);
    let open = expect(ExitStatus::Unclear, &CliVerb::History, &ask);
    assert_eq!(open.json["fate"], "open");
    expect(ExitStatus::Done, &peak(), &settings(&store, "bob"));
    let lost = expect(ExitStatus::Refused, &CliVerb::History, &ask);
    assert_eq!(lost.json["fate"], "lost");
    pool.stop();
}
