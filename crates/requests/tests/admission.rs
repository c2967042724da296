//! Admission control, queueing and load shedding, partly over seeded random histories.

use {
    geraniummast_model::{MonoTime, ServerName},
    geraniummast_requests::*,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::HashMap, time::Duration},
};

const LIMIT: SlotLimit = SlotLimit {
    slots: 3,
    max_queued: 8,
    max_wait: Duration::from_secs(1),
};

fn request(ticket: u64, priority: u8, caller: &str) -> WaitingRequest {
    WaitingRequest {
        ticket,
        priority,
        caller: caller.into(),
        deadline: MonoTime(u64::MAX),
    }
}

fn server() -> ServerName {
    ServerName::new("reports-0")
}

#[test]
fn random_history_keeps_slot_limit_and_ends_each_request_once() {
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut table = AdmissionTable::default();
        let (mut running, mut waiting) = (Vec::new(), Vec::new());
        let mut now = MonoTime(1_000_000);
        for ticket in 0..600_u64 {
            now = now.after(Duration::from_micros(random.random_range(0..2_000)));
            let mut new_request = request(ticket, random.random_range(0..4), "");
            new_request.caller = random.random_range(0..3).to_string();
            new_request.deadline = now.after(Duration::from_millis(random.random_range(1..50)));
            match random.random_range(0..4) {
                0 | 1 => match table.admit(&server(), new_request, LIMIT, now) {
                    AdmissionStep::Start => running.push(ticket),
                    AdmissionStep::Wait => waiting.push(ticket),
                    AdmissionStep::Refuse { retry_after, .. } => assert!(!retry_after.is_zero()),
                },
                2 if !running.is_empty() => {
                    running.swap_remove(random.random_range(0..running.len()));
                    let end = match random.random_range(0..4) {
                        0 => SlotEnd::Shed,
                        1 => SlotEnd::Failed,
                        _ => SlotEnd::Answered(Duration::from_millis(2)),
                    };
                    table.finish(&server(), end, LIMIT, now);
                }
                _ if !waiting.is_empty() => {
                    let ticket = waiting.swap_remove(random.random_range(0..waiting.len()));
                    assert!(
                        table.cancel(&server(), ticket),
                        "seed {seed}: waiting ticket {ticket} not found"
                    );
                    assert!(!table.cancel(&server(), ticket), "seed {seed}");
                }
                _ => {}
            }
            while let Some(step) = table.dequeue(&server(), LIMIT, now) {
                let (DequeueStep::Start(dequeued) | DequeueStep::Expire(dequeued)) = step;
                let position = waiting.iter().position(|ticket| *ticket == dequeued);
                waiting.swap_remove(
                    position
                        .unwrap_or_else(|| panic!("seed {seed}: ticket {dequeued} did not wait")),
                );
                if matches!(step, DequeueStep::Start(_)) {
                    running.push(dequeued);
                }
            }
            assert_eq!(
                table.running(&server()) as usize,
                running.len(),
                "seed {seed}"
            );
            assert_eq!(table.waiting(&server()), waiting.len(), "seed {seed}");
            assert!(running.len() <= LIMIT.slots as usize, "seed {seed}");
            assert!(
                !running.is_empty() || waiting.is_empty(),
                "seed {seed}: requests wait at an idle server"
            );
        }
    }
}

#[test]
fn lowest_waiting_priority_gets_one_start_in_eight() {
    let mut queue = ServerQueue::default();
    for ticket in 0..200 {
        queue.push(request(ticket, u8::from(ticket >= 100) * 3, "a"));
    }
    let starts: Vec<_> = (0..80).map(|_| queue.pop().unwrap().priority).collect();
    for window in starts.chunks(ServerQueue::LOWEST_PRIORITY_INTERVAL as usize) {
        assert_eq!(window.iter().filter(|priority| **priority == 3).count(), 1);
    }
}

#[test]
fn callers_of_same_priority_take_turns() {
    for seed in 0..50 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut queue = ServerQueue::default();
        for ticket in 0..100 {
            queue.push(request(ticket, 1, "greedy"));
        }
        let modest = random.random_range(1..10);
        for ticket in 100..100 + modest {
            queue.push(request(ticket, 1, "modest"));
        }
        let mut starts: HashMap<String, u64> = HashMap::new();
        for _ in 0..2 * modest {
            *starts.entry(queue.pop().unwrap().caller).or_default() += 1;
        }
        assert_eq!(starts["modest"], modest, "seed {seed}");
    }
}

#[test]
fn greedy_caller_leaves_queue_places_and_turns_to_others() {
    let mut table = AdmissionTable::default();
    let now = MonoTime(0);
    for ticket in 0..LIMIT.slots.into() {
        table.admit(&server(), request(ticket, 1, "greedy"), LIMIT, now);
    }
    let steps: Vec<_> = (10..20)
        .map(|ticket| table.admit(&server(), request(ticket, 1, "greedy"), LIMIT, now))
        .collect();
    let waits = steps.iter().filter(|step| **step == AdmissionStep::Wait);
    assert_eq!(
        waits.count(),
        LIMIT.max_queued / AdmissionTable::CALLER_QUEUE_DIVISOR
    );
    let is_over_caller_limit = |step: &AdmissionStep| {
        matches!(
            step,
            AdmissionStep::Refuse {
                reason: RefusalReason::CallerLimit,
                ..
            }
        )
    };
    assert!(is_over_caller_limit(steps.last().unwrap()));
    let modest = table.admit(&server(), request(99, 1, "modest"), LIMIT, now);
    assert_eq!(modest, AdmissionStep::Wait);
    let dequeued: Vec<_> = (0..2)
        .map(|_| {
            table.finish(&server(), SlotEnd::Failed, LIMIT, now);
            table.dequeue(&server(), LIMIT, now)
        })
        .collect();
    assert!(
        dequeued.contains(&Some(DequeueStep::Start(99))),
        "{dequeued:?}"
    );
}

#[test]
fn consecutive_refusals_get_increasing_retry_delays() {
    let mut table = AdmissionTable::default();
    let now = MonoTime(1_000_000);
    let answered = SlotEnd::Answered(Duration::from_millis(30));
    table.admit(&server(), request(0, 0, "a"), LIMIT, now);
    table.finish(&server(), answered, LIMIT, now);
    let mut refuse = |ticket: u64, now| {
        let caller = (ticket % 4).to_string();
        match table.admit(&server(), request(ticket, 0, &caller), LIMIT, now) {
            AdmissionStep::Refuse { retry_after, .. } => Some(retry_after),
            AdmissionStep::Start | AdmissionStep::Wait => None,
        }
    };
    let delays: Vec<_> = (0..30).filter_map(|ticket| refuse(ticket, now)).collect();
    assert!(delays.len() > 10 && delays.is_sorted_by(|first, next| first < next));
    let later_delay = refuse(99, now.after(Duration::from_secs(1))).unwrap();
    assert!(
        later_delay <= delays[0],
        "{later_delay:?} after the refused work could complete"
    );
}

#[test]
fn requests_of_shared_service_spread_evenly() {
    for seed in 0..20 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut table = AdmissionTable::default();
        let names: Vec<_> = (0..10)
            .map(|index| ServerName::new(&format!("archives-{index}")))
            .collect();
        let mut run_us: HashMap<&ServerName, u64> = HashMap::new();
        let mut ends: Vec<(u64, &ServerName, u64)> = Vec::new();
        for step in 0..4_000_u64 {
            let now = step * 1_000;
            ends.retain(|(end, server, took)| {
                let has_ended = *end <= now;
                if has_ended {
                    let answered = SlotEnd::Answered(Duration::from_micros(*took));
                    table.finish(server, answered, LIMIT, MonoTime(now));
                }
                !has_ended
            });
            let load_score = |name: &&ServerName| table.load_score(name, MonoTime(now));
            let server = names.iter().min_by_key(load_score).unwrap();
            if table.admit(server, request(step, 1, ""), LIMIT, MonoTime(now))
                == AdmissionStep::Start
            {
                let took = random.random_range(5_000..35_000);
                ends.push((now + took, server, took));
                *run_us.entry(server).or_default() += took;
            }
        }
        let (most, sum) = (run_us.values().max().unwrap(), run_us.values().sum::<u64>());
        assert!(most * 10 * 100 <= sum * 110, "seed {seed}: {run_us:?}");
    }
}

#[test]
fn full_queue_of_low_priority_admits_high_priority_first() {
    let mut table = AdmissionTable::default();
    for ticket in 0..40 {
        table.admit(&server(), request(ticket, 3, "a"), LIMIT, MonoTime(0));
    }
    let step = table.admit(&server(), request(99, 0, "b"), LIMIT, MonoTime(0));
    assert_eq!(step, AdmissionStep::Wait);
    table.finish(&server(), SlotEnd::Failed, LIMIT, MonoTime(0));
    let dequeued = table.dequeue(&server(), LIMIT, MonoTime(0));
    assert_eq!(dequeued, Some(DequeueStep::Start(99)));
}

#[test]
fn request_that_cannot_meet_deadline_is_refused_at_once() {
    let mut table = AdmissionTable::default();
    let now = MonoTime(1_000_000);
    let answered = SlotEnd::Answered(Duration::from_millis(30));
    table.admit(&server(), request(0, 0, "a"), LIMIT, now);
    table.finish(&server(), answered, LIMIT, now);
    for ticket in 1..=3 {
        table.admit(&server(), request(ticket, 0, "a"), LIMIT, now);
    }
    let mut late = request(4, 0, "a");
    late.deadline = now.after(Duration::from_millis(35));
    let step = table.admit(&server(), late, LIMIT, now);
    let AdmissionStep::Refuse {
        reason,
        retry_after,
    } = step
    else {
        panic!("{step:?}");
    };
    assert_eq!(reason, RefusalReason::DeadlineBeforeSend);
    assert!(retry_after >= Duration::from_millis(10));
}

#[test]
fn shed_limit_falls_on_refusals_and_recovers_on_answers() {
    let mut limit = ShedLimit::default();
    limit.record_refusal(3, 3, MonoTime(1_000_000));
    limit.record_refusal(3, 3, MonoTime(1_000_001));
    assert_eq!(
        limit.effective_slots(3),
        2,
        "refusals within the window count once"
    );
    limit.record_refusal(2, 3, MonoTime(2_000_000));
    limit.record_refusal(1, 3, MonoTime(3_000_000));
    assert_eq!(
        limit.effective_slots(3),
        1,
        "one slot remains for probing the server"
    );
    for _ in 0..20 {
        limit.record_answer(3);
    }
    assert_eq!(limit.effective_slots(3), 3);
}
