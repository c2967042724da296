//! Tests of requests whose wait for a slot is dropped or expires.

use super::*;

fn slot_request(server: &ServerName) -> SlotRequest<'_> {
    SlotRequest {
        server,
        limit: SlotLimit {
            slots: 1,
            max_queued: 8,
            max_wait: Duration::from_secs(60),
        },
        priority: 0,
        caller: "",
        deadline: SteadyClock.now().after(Duration::from_secs(60)),
    }
}

#[test]
fn dropped_wait_leaves_queue_or_releases_assigned_slot() {
    future::block_on(async {
        let broker = Arc::new(SlotBroker::default());
        let server = ServerName::new("reports-0");
        let held = broker.acquire(slot_request(&server)).await.ok().unwrap();
        let mut dropped = Box::pin(broker.acquire(slot_request(&server)));
        let mut admitted = Box::pin(broker.acquire(slot_request(&server)));
        assert!(future::poll_once(&mut dropped).await.is_none());
        assert!(future::poll_once(&mut admitted).await.is_none());
        drop(dropped);
        assert_eq!(broker.table.lock().unwrap().waiting(&server), 1);
        drop(held);
        assert_eq!(
            broker.running(&server),
            1,
            "the queued request was admitted"
        );
        drop(admitted);
        assert_eq!(broker.running(&server), 0);
        assert!(broker.waiting.lock().unwrap().is_empty());
        assert!(broker.acquire(slot_request(&server)).await.is_ok());
    });
}

#[test]
fn wait_past_deadline_is_refused_as_not_run() {
    future::block_on(async {
        let broker = Arc::new(SlotBroker::default());
        let server = ServerName::new("reports-0");
        let _held = broker.acquire(slot_request(&server)).await.ok().unwrap();
        let mut late = slot_request(&server);
        late.deadline = SteadyClock.now().after(Duration::from_millis(5));
        let notice = broker.acquire(late).await.err().unwrap();
        assert_eq!(notice.outcome, RunOutcome::NotRun);
        assert!(notice.retry_after.is_some());
        assert_eq!(broker.table.lock().unwrap().waiting(&server), 0);
    });
}
