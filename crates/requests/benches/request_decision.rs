//! Cost of the decisions on one request by the number of servers, waiting requests and entries.

use {
    divan::{Bencher, black_box},
    geraniummast_model::{MonoTime, ServerName},
    geraniummast_requests::*,
    std::time::Duration,
    uuid::Uuid,
};

const LIMIT: SlotLimit = SlotLimit {
    slots: 3,
    max_queued: 1_024,
    max_wait: Duration::from_secs(1),
};
const CREATED_AT_MS: u64 = 1_700_000_000_000;

fn main() {
    divan::main();
}

fn request(ticket: u64) -> WaitingRequest {
    WaitingRequest {
        ticket,
        priority: 1,
        caller: (ticket % 16).to_string(),
        deadline: MonoTime(u64::MAX),
    }
}

/// Occupies and frees a slot of one server in a table of `servers` servers.
#[divan::bench(args = [1, 10, 100, 1_000])]
fn start_and_finish(bencher: Bencher, servers: u64) {
    let mut table = AdmissionTable::default();
    let names: Vec<_> = (0..servers)
        .map(|index| ServerName::new(&format!("server-{index}")))
        .collect();
    for name in &names {
        table.admit(name, request(0), LIMIT, MonoTime(0));
    }
    let new_request = request(1);
    bencher.bench_local(|| {
        let name = &names[names.len() / 2];
        black_box(table.admit(name, new_request.clone(), LIMIT, MonoTime(1)));
        table.finish(name, SlotEnd::Failed, LIMIT, MonoTime(2));
        black_box(table.dequeue(name, LIMIT, MonoTime(2)));
    });
}

/// Frees a slot for one of `waiting` queued requests, then queues another request in its place.
#[divan::bench(args = [1, 10, 100, 1_000])]
fn finish_and_dequeue(bencher: Bencher, waiting: u64) {
    let mut table = AdmissionTable::default();
    let server = ServerName::new("server");
    for ticket in 0..waiting + u64::from(LIMIT.slots) {
        table.admit(&server, request(ticket), LIMIT, MonoTime(0));
    }
    let mut ticket = waiting + u64::from(LIMIT.slots);
    bencher.bench_local(|| {
        ticket += 1;
        table.finish(&server, SlotEnd::Failed, LIMIT, MonoTime(2));
        black_box(table.dequeue(&server, LIMIT, MonoTime(2)));
        table.admit(&server, request(ticket), LIMIT, MonoTime(1));
    });
}

/// Begins and finishes a request with a new id in a table of `entries` entries.
#[divan::bench(args = [10, 1_000, 60_000])]
fn begin_and_finish(bencher: Bencher, entries: u64) {
    let mut table = DedupTable::<u64>::new(DedupLimits::default());
    let mut begin = |tail: u64| {
        let id = Uuid::from_u128(
            u128::from(CREATED_AT_MS) << 80 | 0x7 << 76 | 0x8000_0000_0000_0000 | u128::from(tail),
        );
        let query = DedupQuery {
            id,
            digest: 1,
            is_first_attempt: false,
        };
        if let DedupStep::Run { attempt } = table.begin(query, CREATED_AT_MS) {
            table.finish(id, attempt, RunStage::Ran(None));
        }
    };
    (0..entries).for_each(&mut begin);
    let mut tail = entries;
    bencher.bench_local(|| {
        tail += 1;
        begin(tail);
    });
}
