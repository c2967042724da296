//! The head in the store: read, and changed by one conditional update.
//!
//! A write keeps one identity through all its attempts. Whatever answer is lost, the head's history
//! says later whether the write was accepted, also when another change has come on top of it.

use crate::prelude::*;

/// Access to the head.
pub struct HeadStore {
    client: StoreClient,
    timeout: Duration,
}

/// The head as found, with the condition on which it may be replaced.
#[derive(Clone, Debug)]
pub struct FoundHead {
    /// Head, the empty one at revision 0 when there is none yet.
    pub head: ConfigurationHead,
    condition: WriteCondition,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// Accepted.
    Accepted(AuditEntry),
    /// Another change came first.
    LostTo(AuditEntry),
    /// Not found out within the time.
    Unclear {
        /// Identity of the write.
        write_id: String,
        /// Latest failure.
        cause: String,
    },
    /// Surely not in effect.
    Unreachable(String),
}

impl HeadStore {
    /// Pause between two attempts.
    const RETRY_INTERVAL: Duration = Duration::from_millis(100);

    /// The head in the store at `address`.
    pub fn new(pool: Arc<WorkerPool>, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: StoreClient::new(pool, TcpDialer::direct(), address),
            timeout,
        }
    }

    /// Reads the head, again and again until the time is over.
    pub async fn find(&self) -> Result<FoundHead, StoreError> {
        let started = Instant::now();
        loop {
            match self.client.read(&ObjectPath::configuration_head()).await {
                Ok(None) => {
                    return Ok(FoundHead {
                        head: ConfigurationHead::default(),
                        condition: WriteCondition::Absent,
                    });
                }
                Ok(Some(object)) => {
                    return Ok(FoundHead {
                        head: object.decode()?,
                        condition: WriteCondition::Version(object.version),
                    });
                }
                Err(error) if started.elapsed() >= self.timeout => return Err(error),
                Err(_) => async_io::Timer::after(Self::RETRY_INTERVAL).await,
            };
        }
    }

    /// Records of all parts.
    pub async fn parts(&self) -> Result<Vec<PartRecord>, StoreError> {
        let batch = self
            .client
            .watch(ObjectPath::PARTS, ObjectVersion::default(), Duration::ZERO)
            .await?;
        let records = batch.events.into_iter().filter_map(|event| event.value);
        let read =
            |value| PartRecord::try_from(serde_json::from_value::<PartWire>(value).ok()?).ok();
        Ok(records.filter_map(read).collect())
    }

    /// Writes what a plan leads to, on the condition that the head is still the one found.
    pub async fn write(
        &self,
        found: &FoundHead,
        plan: ConfigurationPlan,
        operator: &str,
    ) -> ChangeOutcome {
        let base = plan.base_revision;
        let metadata = ChangeMetadata {
            changed_by: operator.into(),
            changed_at_ms: local_time::now_ms(),
            write_id: Self::write_id(base),
        };
        let record = plan.into_head(&metadata);
        let entry = record.history.last().cloned();
        let path = ObjectPath::configuration_head();
        let started = Instant::now();
        let mut may_have_arrived = false;
        loop {
            let attempt = self
                .client
                .write(&path, found.condition, &record, &record.write_id);
            let cause = match (attempt.await, &entry) {
                (Ok(WriteOutcome::Written(_)), Some(entry)) => {
                    return ChangeOutcome::Accepted(entry.clone());
                }
                (Ok(_), _) => return self.settle(&record.write_id, base).await,
                (Err(StoreError::Unavailable(cause)), _) => cause,
                (Err(StoreError::Unclear(cause) | StoreError::Malformed(cause)), _) => {
                    may_have_arrived = true;
                    cause
                }
            };
            if started.elapsed() >= self.timeout {
                return match may_have_arrived {
                    true => ChangeOutcome::Unclear {
                        write_id: record.write_id,
                        cause,
                    },
                    false => ChangeOutcome::Unreachable(cause),
                };
            }
            async_io::Timer::after(Self::RETRY_INTERVAL).await;
        }
    }

    /// Revision that the write `write_id` builds on.
    pub(crate) fn base_of(write_id: &str) -> Option<u64> {
        write_id.split_once('-')?.0.strip_prefix('r')?.parse().ok()
    }

    fn write_id(base: u64) -> String {
        format!("r{base}-{}", uuid::Uuid::new_v4())
    }

    /// Fate of a write that met another head than the one found.
    async fn settle(&self, write_id: &str, base: u64) -> ChangeOutcome {
        let unclear = |cause: &str| ChangeOutcome::Unclear {
            write_id: write_id.into(),
            cause: cause.into(),
        };
        match self.find().await {
            Ok(found) => match WriteStatus::of(&found.head, write_id, base) {
                WriteStatus::Accepted(entry) => ChangeOutcome::Accepted(entry),
                WriteStatus::LostTo(entry) => ChangeOutcome::LostTo(entry),
                WriteStatus::Pending => unclear("the write may yet arrive"),
                WriteStatus::OutsideHistory => unclear("the history no longer reaches the write"),
            },
            Err(error) => unclear(&error.to_string()),
        }
    }
}
