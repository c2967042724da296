//! Tests of the quarantine of requests that crash servers.

mod restored_quarantines;

use geraniummast_model::MonoTime;
use geraniummast_routing::*;
use std::time::Duration;

const POISON: RequestIdentity = RequestIdentity(7);

fn at(millis: u64) -> MonoTime {
    MonoTime(1_000_000_000 + millis * 1_000)
}

fn crash(server: u64) -> SuspectReport {
    SuspectReport {
        identity: POISON,
        target: TargetHash(1),
        is_keyed: false,
        server: IncarnationHash(server),
        verdict: CrashVerdict::Crashed,
    }
}

/// Table of an instance that saw servers 1 to `crashes` crash, one each 10 ms.
fn table_after(crashes: u64) -> QuarantineTable {
    let mut table = QuarantineTable::default();
    for server in 1..=crashes {
        table.record_crash(crash(server), at(server * 10));
    }
    table
}

/// Writes the table's quarantines to a new record, and reads them back at `now`.
fn store(table: &mut QuarantineTable, now: MonoTime) -> QuarantineRecord {
    let mut record = QuarantineRecord::default();
    assert!(table.update_record(&mut record, false, 1_000));
    table.apply_record(&record, 1.into(), now);
    record
}

#[test]
fn crash_that_several_instances_report_counts_once() {
    let mut table = table_after(2);
    assert_eq!(table.apply_report(crash(2), at(30)), SuspectChange::None);
    assert_eq!(table.crashes(POISON), 2);
    let third = table.apply_report(crash(3), at(40));
    assert_eq!(third, SuspectChange::Quarantined(3));
}

#[test]
fn request_that_crashed_two_servers_runs_one_copy_at_a_time() {
    let mut table = table_after(2);
    assert_eq!(table.standing(POISON, at(30)), RequestStanding::Suspect);
    table.start(POISON);
    let busy = table.standing(POISON, at(30));
    assert!(matches!(busy, RequestStanding::Busy(_)), "{busy:?}");
    table.end(POISON);
    assert_eq!(table.standing(POISON, at(30)), RequestStanding::Suspect);
}

#[test]
fn answer_to_the_request_ends_all_suspicion_and_is_told() {
    let mut table = table_after(3);
    let mut other = table_after(3);
    let cleared = table.record_success(POISON, at(50));
    assert_eq!(cleared, SuspectChange::Cleared(true));
    assert_eq!(table.standing(POISON, at(50)), RequestStanding::Clear);
    for report in table.reports(false, 16, at(60)) {
        other.apply_report(report, at(70));
    }
    assert_eq!(other.standing(POISON, at(70)), RequestStanding::Clear);
    // A late report of an earlier crash.
    assert_eq!(other.apply_report(crash(2), at(80)), SuspectChange::None);
    assert_eq!(other.crashes(POISON), 0);
}

// Guards against crashes that are not counted because discovery still tells of an earlier start of
// the server (soak seed 31088).
#[test]
fn server_that_crashes_again_under_its_identifier_counts_again() {
    let mut table = QuarantineTable::default();
    let crash_at = |table: &mut QuarantineTable, millis| {
        table.record_crash(crash(1), at(millis));
        table.crashes(POISON)
    };
    assert_eq!(crash_at(&mut table, 0), 1);
    assert_eq!(
        crash_at(&mut table, 20),
        1,
        "another request of the same crash"
    );
    assert_eq!(crash_at(&mut table, 900), 2);
    assert_eq!(crash_at(&mut table, 2_000), 3);
    let mut other = table_after(1);
    for report in table.reports(false, 16, at(2_010)) {
        other.apply_report(report, at(2_020));
    }
    assert_eq!(other.crashes(POISON), 3, "one crash of them was known");
}

// Guards against a leader that tells all instances of crashes which do not count any more, and so
// ends a quarantine (soak seed 31088).
#[test]
fn earlier_answers_are_not_told_with_a_new_quarantine() {
    let mut table = table_after(1);
    table.record_success(POISON, at(20));
    for server in 11..=13 {
        table.record_crash(crash(server), at(5_000));
    }
    let told = table.reports(true, 16, at(9_000));
    assert_eq!(told.len(), 3);
    assert!(
        told.iter()
            .all(|report| report.verdict == CrashVerdict::Crashed)
    );
}

#[test]
fn trials_need_the_store_and_get_rarer() {
    let mut table = table_after(3);
    let unstored = table.standing(POISON, at(60_000));
    assert!(matches!(unstored, RequestStanding::Held(_)), "{unstored:?}");
    let mut record = store(&mut table, at(30));
    let due = |table: &QuarantineTable, millis| table.standing(POISON, at(millis));
    assert!(matches!(due(&table, 500), RequestStanding::Held(_)));
    assert_eq!(due(&table, 600), RequestStanding::TrialDue(0));
    assert!(record.start_trial(POISON, 0));
    assert!(!record.start_trial(POISON, 0), "another instance was first");
    table.apply_record(&record, 2.into(), at(600));
    assert!(matches!(due(&table, 15_500), RequestStanding::Held(_)));
    assert_eq!(due(&table, 15_600), RequestStanding::TrialDue(1));
    assert!(record.start_trial(POISON, 1));
    table.apply_record(&record, 3.into(), at(16_000));
    assert!(matches!(due(&table, 135_000), RequestStanding::Held(_)));
}

#[test]
fn request_with_a_key_gets_no_early_trial() {
    let mut table = QuarantineTable::default();
    for server in 1..=3 {
        let report = SuspectReport {
            is_keyed: true,
            ..crash(server)
        };
        table.record_crash(report, at(10));
    }
    store(&mut table, at(10));
    let held = table.standing(POISON, at(14_000));
    assert!(matches!(held, RequestStanding::Held(_)), "{held:?}");
}

#[test]
fn instance_that_starts_learns_quarantines_from_the_record() {
    let record = store(&mut table_after(3), at(40));
    let mut restarted = QuarantineTable::default();
    let stored = StoredQuarantine::from(&record);
    let read = QuarantineRecord::try_from(stored).unwrap();
    assert_eq!(read, record);
    restarted.apply_record(&read, 9.into(), at(100));
    let held = restarted.standing(POISON, at(100));
    assert!(matches!(held, RequestStanding::Held(_)), "{held:?}");
    restarted.apply_record(&QuarantineRecord::default(), 10.into(), at(200));
    assert_eq!(restarted.standing(POISON, at(200)), RequestStanding::Clear);
}

#[test]
fn table_and_reports_are_bounded_and_keep_what_matters_most() {
    let mut table = table_after(3);
    for number in 0..5_000 {
        let report = SuspectReport {
            identity: RequestIdentity(1_000 + number),
            server: IncarnationHash(9),
            ..crash(9)
        };
        table.record_crash(report, at(100));
    }
    let held = table.standing(POISON, at(100));
    assert!(matches!(held, RequestStanding::Held(_)), "{held:?}");
    let first = RequestIdentity(1_000);
    assert_eq!(table.crashes(first), 0, "it gave way to later ones");
    assert_eq!(table.crashes(RequestIdentity(5_999)), 1);
    let reports = table.reports(false, 16, at(100));
    assert_eq!(reports.len(), 16);
    assert!(reports[..3].iter().all(|report| report.identity == POISON));
}

#[test]
fn identities_differ_in_each_part_of_the_content() {
    let content = RequestContent {
        method: "GET",
        host: "a.example",
        target: "/x?y",
        credentials: b"",
        key: None,
        body: b"",
    };
    let others = [
        RequestContent {
            method: "HEAD",
            ..content
        },
        RequestContent {
            host: "b.example",
            ..content
        },
        RequestContent {
            target: "/x?z",
            ..content
        },
        RequestContent {
            credentials: b"c",
            ..content
        },
        RequestContent {
            key: Some(0),
            ..content
        },
        RequestContent {
            body: b"b",
            ..content
        },
    ];
    for other in others {
        assert_ne!(RequestIdentity::from(content), other.into(), "{other:?}");
    }
    let text = RequestIdentity::from(content).to_string();
    assert_eq!(text.parse(), Ok(RequestIdentity::from(content)));
}

// Guards against an identity that depends on how the body is stored, or differs from the one that
// instances of earlier builds compute for the same request: they compare it.
#[test]
fn identity_does_not_depend_on_the_blocks_of_the_body() {
    let body: Vec<u8> = (0..200_000_u32).map(|index| (index % 251) as u8).collect();
    let content = RequestContent {
        method: "POST",
        host: "a.example",
        target: "/x?y",
        credentials: b"Bearer c",
        key: Some(4_711),
        body: &body,
    };
    let whole = RequestIdentity::from(content);
    assert_eq!(whole.to_string(), "1d3c54bea31cdcf30d21329e877b4338");
    for (first, block_bytes) in [(0, 4_096), (0, 65_536), (7, 65_536), (200_000, 1)] {
        let blocks: Vec<&[u8]> = body[first..].chunks(block_bytes).collect();
        let content = RequestContent {
            body: &body[..first],
            ..content
        };
        assert_eq!(RequestIdentity::with_blocks(content, &blocks), whole);
    }
}

#[test]
fn retries_after_crashes_end_when_a_quarter_of_the_servers_has_crashed() {
    let mut window = CrashWindow::default();
    for server in 0..4 {
        assert!(window.allows_retry(9, at(100)) || server > 2, "{server}");
        window.record(IncarnationHash(server), at(100));
        window.record(IncarnationHash(server), at(100));
    }
    assert!(!window.allows_retry(5, at(200)));
    assert!(window.allows_retry(100, at(200)));
    assert!(window.allows_retry(5, at(200).after(Duration::from_secs(10))));
}

// Guards against a record that arrives late, over another instance, and brings back an earlier
// number of trials.
#[test]
fn older_record_does_not_replace_a_newer_one() {
    let mut table = table_after(3);
    let first = store(&mut table, at(30));
    let mut second = first.clone();
    second.start_trial(POISON, 0);
    table.apply_record(&second, 2.into(), at(1_000));
    table.apply_record(&first, 1.into(), at(1_100));
    let later = table.standing(POISON, at(15_900));
    assert!(matches!(later, RequestStanding::Held(_)), "{later:?}");
    assert_eq!(
        table.standing(POISON, at(16_000)),
        RequestStanding::TrialDue(1)
    );
}

// Guards against a quarantine that starts again because the store's record, which is written later,
// still contains it.
#[test]
fn ended_quarantine_is_not_taken_from_the_record_again() {
    let mut table = table_after(3);
    let record = store(&mut table, at(30));
    table.record_success(POISON, at(700));
    table.apply_record(&record, 2.into(), at(800));
    assert_eq!(table.standing(POISON, at(800)), RequestStanding::Clear);
    let mut next = record;
    assert!(table.update_record(&mut next, false, 1_000));
    assert!(next.requests.is_empty());
}
