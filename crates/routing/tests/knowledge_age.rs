//! Age of what an instance knows, as its own calls and other instances confirm it.

use geraniummast_model::MonoTime;
use geraniummast_routing::{KnowledgeAge, KnowledgeReport, RefreshStep, WatcherSelection};
use std::time::Duration;

fn at(ms: u64) -> MonoTime {
    MonoTime(ms * 1_000)
}

fn age_ms(age: &KnowledgeAge, now_ms: u64) -> u128 {
    age.age(at(now_ms)).as_millis()
}

#[test]
fn knowledge_is_confirmed_for_the_time_of_the_call_if_each_revision_is_known() {
    let mut age = KnowledgeAge::default();
    age.record_complete(10.into());
    age.observe(at(1_000), 12.into());
    assert_eq!(age_ms(&age, 1_500), 1_500);
    age.record_change(12.into());
    assert_eq!(age_ms(&age, 1_500), 1_500);
    age.record_change(11.into());
    assert_eq!(age_ms(&age, 1_500), 500);
}

// Guards against a lost change of one kind that is taken for known since a later one of another
// kind is.
#[test]
fn late_change_is_not_hidden_by_a_known_change_after_it() {
    let mut age = KnowledgeAge::default();
    age.record_complete(10.into());
    for (revision, ms) in [(12, 100), (13, 500), (14, 900)] {
        age.record_change(revision.into());
        age.observe(at(ms), revision.into());
    }
    assert!(!age.covers(14.into()));
    assert_eq!(age_ms(&age, 1_200), 1_200);
    assert_eq!(
        age.next_step(true, true, 8, at(1_200), 0.9),
        RefreshStep::AskStore
    );
    age.record_complete(14.into());
    assert_eq!(age_ms(&age, 1_200), 300);
}

#[test]
fn revisions_that_the_store_leaves_out_confirm_nothing() {
    let mut age = KnowledgeAge::default();
    age.record_complete(10.into());
    age.record_change(15.into());
    age.observe(at(1_000), 15.into());
    assert!(!age.covers(11.into()));
    assert_eq!(age_ms(&age, 2_000), 2_000);
}

#[test]
fn older_call_whose_answer_comes_later_is_not_waited_for() {
    let mut age = KnowledgeAge::default();
    age.observe(at(1_000), 20.into());
    age.observe(at(500), 10.into());
    age.record_complete(15.into());
    assert_eq!(age_ms(&age, 1_000), 1_000);
    age.record_complete(20.into());
    assert_eq!(age_ms(&age, 1_000), 0);
}

#[test]
fn confirmation_of_another_instance_never_makes_the_knowledge_older() {
    let mut age = KnowledgeAge::default();
    let report = |ms| KnowledgeReport {
        age: Duration::from_millis(ms),
        hops: 0,
    };
    age.confirm_from(report(100), at(1_000));
    age.confirm_from(report(700), at(1_000));
    assert_eq!(age_ms(&age, 1_000), 100);
}

// Guards against instances that confirm each other's knowledge in circles while none of them hears
// from the store.
#[test]
fn reports_that_go_in_circles_do_not_confirm_each_other() {
    const TRANSIT: Duration = Duration::from_millis(70);
    let mut ages = [KnowledgeAge::default(), KnowledgeAge::default()];
    ages[0].record_complete(1.into());
    ages[0].observe(at(0), 1.into());
    for turn in 0..100_usize {
        let now = at(turn as u64 * 70);
        let report = ages[turn % 2].report(now);
        // The receiver takes the report for sent when it arrives.
        ages[(turn + 1) % 2].confirm_from(report, now.after(TRANSIT));
    }
    let oldest = ages.iter().map(|age| age_ms(age, 7_000));
    assert!(oldest.min().unwrap() >= 7_000 - 2 * TRANSIT.as_millis());
}

#[test]
fn instance_that_knows_less_than_another_one_asks_at_once() {
    let mut age = KnowledgeAge::default();
    age.record_complete(1.into());
    age.observe(at(1_000), 1.into());
    age.doubt(at(1_100));
    assert_eq!(
        age.next_step(false, true, 1, at(1_100), 0.5),
        RefreshStep::AskStore
    );
    age.observe(at(1_200), 1.into());
    assert_eq!(
        age.next_step(false, true, 1, at(1_300), 0.5),
        RefreshStep::Wait
    );
}

#[test]
fn few_of_many_instances_ask_the_store_when_the_knowledge_of_all_is_old() {
    const DRAWS: u32 = 200_000;
    let age = KnowledgeAge::default();
    for instances in [1, 8, 12, 87, 300, 7_800] {
        let share = |is_asked| {
            let draws = (0..DRAWS).map(|draw| f64::from(draw) / f64::from(DRAWS));
            let steps =
                draws.map(|draw| age.next_step(false, is_asked, instances, at(1_700), draw));
            let asking = steps.filter(|step| *step == RefreshStep::AskStore).count();
            assert!(asking > 0);
            asking as f64 / f64::from(DRAWS)
        };
        let asked = instances.min(WatcherSelection::MAX_VOLUNTEERS);
        let expected = share(true) * asked as f64 + share(false) * (instances - asked) as f64;
        assert!(expected <= 4.5, "{expected} of {instances}");
    }
    assert_eq!(
        age.next_step(false, true, 300, at(1_699), 0.0),
        RefreshStep::Wait
    );
}

// Guards against an instance that has just started on a machine that has just started: its clock is
// near its origin, so that what it never knew looks young, and resets the age of all that hear it.
#[test]
fn instance_that_knows_nothing_confirms_nothing() {
    let mut age = KnowledgeAge::default();
    age.record_complete(10.into());
    age.observe(at(90_000), 10.into());
    let unknowing = KnowledgeAge::default().report(at(300));
    age.confirm_from(unknowing, at(95_000));
    assert_eq!(age_ms(&age, 95_000), 5_000);
}

// Guards against a store that was restored from an older copy: its revisions begin again below what
// is known, and its changes are not heard of until they have passed it.
#[test]
fn revision_that_has_gone_back_confirms_nothing() {
    let mut age = KnowledgeAge::default();
    age.record_complete(500.into());
    age.observe(at(1_000), 500.into());
    age.observe(at(2_000), 400.into());
    assert_eq!(age_ms(&age, 2_000), 1_000);
}

// Guards against an instance that goes on asking others which cannot answer, although it could ask the
// store: with 300 instances and 3,000 servers one had a configuration that was 5.7 s old.
#[test]
fn instance_that_others_do_not_help_in_time_asks_the_store() {
    let mut age = KnowledgeAge::default();
    age.record_complete(1.into());
    age.observe(at(1_000), 1.into());
    let step = RefreshStep::AskPeer;
    assert_eq!(
        age.escalate(step, true, at(2_900), 0.0),
        RefreshStep::AskPeer
    );
    assert_eq!(
        age.escalate(step, true, at(3_000), 0.2),
        RefreshStep::AskStore
    );
    assert_eq!(
        age.escalate(step, true, at(3_000), 0.5),
        RefreshStep::AskPeer
    );
    assert_eq!(
        age.escalate(step, false, at(3_000), 0.2),
        RefreshStep::AskPeer
    );
    assert_eq!(
        age.escalate(RefreshStep::Wait, true, at(3_000), 0.2),
        RefreshStep::Wait
    );
}
