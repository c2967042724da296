//! Cached objects of the store, with the times of the last contact with store and peers.

use crate::{feed_worker::FeedRole, prelude::*};
use event_listener::Event;

/// State of the change feed of an instance.
pub(crate) struct FeedState {
    /// Locked before all tables of [`NodeTables`].
    cache: Mutex<ObjectCache>,
    /// Notified when the cache has advanced.
    changed: Event,
    contact_times: Mutex<ContactTimes>,
    /// Peers that did not answer, with the time at which they may be asked again.
    unresponsive: Mutex<IndexMap<String, MonoTime>>,
    /// Configuration revision that each peer last reported.
    revisions: Mutex<IndexMap<String, u64>>,
    /// Role in the feed, as last computed.
    pub(crate) role: Mutex<Option<FeedRole>>,
    is_confirmed: AtomicBool,
    pub(crate) hints: Arc<FeedHints>,
    /// Total size of the batches received from peers.
    pub(crate) bytes_in: AtomicU64,
    /// Total size of the batches sent to peers.
    pub(crate) bytes_out: AtomicU64,
}

/// Send times of the last calls that the store and any peer answered.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ContactTimes {
    pub(crate) store: MonoTime,
    pub(crate) peer: MonoTime,
}

impl ContactTimes {
    /// Returns the later of both times.
    pub(crate) fn latest(self) -> MonoTime {
        self.store.max(self.peer)
    }
}

impl FeedState {
    /// Time for which a peer that did not answer is not asked again.
    const EXCLUSION_TIME: Duration = Duration::from_secs(5);
    /// Maximum number of peers whose revision is kept.
    const MAX_REVISIONS: usize = 4_096;

    /// Returns the state of an instance that starts at `now` with an empty cache.
    pub(crate) fn new(now: MonoTime) -> Self {
        Self {
            cache: Mutex::default(),
            changed: Event::new(),
            contact_times: Mutex::new(ContactTimes {
                store: now,
                peer: now,
            }),
            unresponsive: Mutex::default(),
            revisions: Mutex::default(),
            role: Mutex::default(),
            is_confirmed: AtomicBool::new(false),
            hints: Arc::default(),
            bytes_in: AtomicU64::new(0),
            bytes_out: AtomicU64::new(0),
        }
    }

    /// Returns up to which version the cache knows the store's changes.
    pub(crate) fn progress(&self) -> CacheProgress {
        self.cache.lock().unwrap().progress()
    }

    /// Returns whether the store or enough peers have confirmed the configuration since the start.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.is_confirmed.load(Ordering::SeqCst)
    }

    /// Records that the configuration is confirmed.
    pub(crate) fn set_confirmed(&self) {
        self.is_confirmed.store(true, Ordering::SeqCst);
    }

    /// Returns the times of the last contact with store and peers.
    pub(crate) fn contact_times(&self) -> ContactTimes {
        *self.contact_times.lock().unwrap()
    }

    /// Records that the store answered a call sent at `sent_at`.
    pub(crate) fn record_store_answer(&self, sent_at: MonoTime) {
        let mut times = self.contact_times.lock().unwrap();
        times.store = times.store.max(sent_at);
    }

    /// Records that the peer `name` answered a call sent at `sent_at`.
    pub(crate) fn record_peer_answer(&self, name: &str, sent_at: MonoTime) {
        self.unresponsive.lock().unwrap().swap_remove(name);
        let mut times = self.contact_times.lock().unwrap();
        times.peer = times.peer.max(sent_at);
    }

    /// Excludes the peer `name`, which did not answer, for [`Self::EXCLUSION_TIME`].
    pub(crate) fn exclude_peer(&self, name: &str, now: MonoTime) {
        let until = now.after(Self::EXCLUSION_TIME);
        self.unresponsive.lock().unwrap().insert(name.into(), until);
    }

    /// Returns the names of the peers that are excluded now.
    pub(crate) fn excluded_peers(&self, now: MonoTime) -> Vec<String> {
        let mut unresponsive = self.unresponsive.lock().unwrap();
        unresponsive.retain(|_, until| *until > now);
        unresponsive.keys().cloned().collect()
    }

    /// Records the configuration revision in force at the peer `name`.
    pub(crate) fn record_revision(&self, name: &str, revision: u64) {
        let mut revisions = self.revisions.lock().unwrap();
        if revisions.len() < Self::MAX_REVISIONS || revisions.contains_key(name) {
            revisions.insert(name.into(), revision);
        }
    }

    /// Returns the configuration revision that the peer `name` last reported.
    pub(crate) fn peer_revision(&self, name: &str) -> Option<u64> {
        self.revisions.lock().unwrap().get(name).copied()
    }

    /// Adds a batch to the cache and calls `apply` for each change that is new.
    ///
    /// The cache stays locked meanwhile, so that no later change is applied before an earlier one.
    pub(crate) fn merge(
        &self,
        batch: WatchBatch,
        snapshot: bool,
        mut apply: impl FnMut(WatchEvent),
    ) {
        let mut cache = self.cache.lock().unwrap();
        let before = cache.progress();
        let new_events = match snapshot {
            true => cache.apply_snapshot(batch),
            false => cache.apply_batch(batch),
        };
        new_events.into_iter().for_each(&mut apply);
        let after = cache.progress();
        drop(cache);
        self.hints.raise_own_version(after.newest.0);
        if before.is_behind(&after) {
            self.changed.notify(usize::MAX);
        }
    }

    /// Answers a pull with the changes that the peer lacks, once there are some or its wait is
    /// over.
    pub(crate) async fn answer_pull(
        &self,
        pull: &FeedPull,
        revision: impl Fn() -> u64,
    ) -> FeedBatch {
        let peer_progress = CacheProgress {
            complete: ObjectVersion(pull.complete),
            newest: ObjectVersion(pull.newest),
        };
        let wait = Duration::from_millis(pull.wait_ms).min(Self::MAX_WAIT);
        let changed = async {
            loop {
                let listener = self.changed.listen();
                if peer_progress.is_behind(&self.progress()) {
                    return;
                }
                listener.await;
            }
        };
        let wait_over = async {
            Timer::after(wait).await;
        };
        future::or(changed, wait_over).await;
        let cache = self.cache.lock().unwrap();
        let after = if peer_progress.is_behind(&cache.progress()) {
            peer_progress.complete
        } else {
            peer_progress.complete.max(cache.progress().newest)
        };
        let batch = FeedBatch::since(&cache, after, 0);
        drop(cache);
        FeedBatch {
            revision: revision(),
            ..batch
        }
    }

    /// Maximum time that a pull waits for a change.
    const MAX_WAIT: Duration = Duration::from_secs(5);
}
