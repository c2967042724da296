//! Access to the configuration head in the store: reads and conditional writes.
//!
//! All attempts of a write carry the same write id. If responses are lost, the history in the head
//! shows later whether the write was accepted, even if other changes have followed.

use crate::prelude::*;

/// Client for reading and changing the stored configuration.
pub struct ConfigurationStore {
    client: StoreClient,
    timeout: Duration,
}

/// Configuration head as read, with the precondition for replacing it.
#[derive(Clone, Debug)]
pub struct StoredHead {
    /// Configuration head; an empty one at revision 0 if none is stored yet.
    pub head: ConfigurationHead,
    condition: WriteCondition,
}

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change was accepted.
    Accepted(AuditEntry),
    /// Another change came first; this one did not take effect.
    LostTo(AuditEntry),
    /// The outcome could not be determined within the timeout.
    Unclear {
        /// Id of the write.
        write_id: String,
        /// Description of the latest failure.
        cause: String,
    },
    /// The store could not be reached; the change did not take effect.
    Unreachable(String),
}

impl ConfigurationStore {
    /// Interval between attempts.
    const RETRY_INTERVAL: Duration = Duration::from_millis(100);

    /// Creates a client of the store at `address`; `timeout` bounds the attempts of each call.
    pub fn new(pool: Arc<WorkerPool>, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: StoreClient::new(pool, TcpDialer::direct(), address),
            timeout,
        }
    }

    /// Reads the configuration head, and retries until the timeout.
    pub async fn read_head(&self) -> Result<StoredHead, StoreError> {
        let started = Instant::now();
        loop {
            match self.client.read(&ObjectPath::configuration_head()).await {
                Ok(None) => {
                    return Ok(StoredHead {
                        head: ConfigurationHead::default(),
                        condition: WriteCondition::Absent,
                    });
                }
                Ok(Some(object)) => {
                    return Ok(StoredHead {
                        head: object.decode()?,
                        condition: WriteCondition::Version(object.version),
                    });
                }
                Err(error) if started.elapsed() >= self.timeout => return Err(error),
                Err(_) => async_io::Timer::after(Self::RETRY_INTERVAL).await,
            };
        }
    }

    /// Reads the records of all parts; skips records that cannot be decoded.
    pub async fn read_parts(&self) -> Result<Vec<PartRecord>, StoreError> {
        let batch = self
            .client
            .watch(ObjectPath::PARTS, ObjectVersion::default(), Duration::ZERO)
            .await?;
        let records = batch.events.into_iter().filter_map(|event| event.value);
        let decode_part =
            |value| PartRecord::try_from(serde_json::from_value::<PartWire>(value).ok()?).ok();
        Ok(records.filter_map(decode_part).collect())
    }

    /// Writes the planned configuration, on condition that `stored` is still the current one.
    pub async fn write(
        &self,
        stored: &StoredHead,
        plan: ConfigurationPlan,
        operator: &str,
    ) -> ChangeOutcome {
        let base_revision = plan.base_revision;
        let metadata = ChangeMetadata {
            changed_by: operator.into(),
            changed_at_ms: local_time::now_ms(),
            write_id: Self::new_write_id(base_revision),
        };
        let head = plan.into_head(&metadata);
        let entry = head.history.last().cloned();
        let path = ObjectPath::configuration_head();
        let started = Instant::now();
        let mut may_have_taken_effect = false;
        loop {
            let attempt = self
                .client
                .write(&path, stored.condition, &head, &head.write_id);
            let cause = match (attempt.await, &entry) {
                (Ok(WriteOutcome::Written(_)), Some(entry)) => {
                    return ChangeOutcome::Accepted(entry.clone());
                }
                (Ok(_), _) => return self.resolve(&head.write_id, base_revision).await,
                (Err(StoreError::Unavailable(cause)), _) => cause,
                (Err(StoreError::Unclear(cause) | StoreError::Malformed(cause)), _) => {
                    may_have_taken_effect = true;
                    cause
                }
            };
            if started.elapsed() >= self.timeout {
                return match may_have_taken_effect {
                    true => ChangeOutcome::Unclear {
                        write_id: head.write_id,
                        cause,
                    },
                    false => ChangeOutcome::Unreachable(cause),
                };
            }
            async_io::Timer::after(Self::RETRY_INTERVAL).await;
        }
    }

    /// Extracts the base revision from a write id.
    pub(crate) fn base_revision(write_id: &str) -> Option<u64> {
        write_id.split_once('-')?.0.strip_prefix('r')?.parse().ok()
    }

    /// Generates a unique write id that contains the base revision.
    fn new_write_id(base_revision: u64) -> String {
        format!("r{base_revision}-{}", uuid::Uuid::new_v4())
    }

    /// Determines the outcome of a write that was rejected because the head had changed.
    async fn resolve(&self, write_id: &str, base_revision: u64) -> ChangeOutcome {
        let unclear_outcome = |cause: &str| ChangeOutcome::Unclear {
            write_id: write_id.into(),
            cause: cause.into(),
        };
        match self.read_head().await {
            Ok(stored) => match WriteStatus::of(&stored.head, write_id, base_revision) {
                WriteStatus::Accepted(entry) => ChangeOutcome::Accepted(entry),
                WriteStatus::LostTo(entry) => ChangeOutcome::LostTo(entry),
                WriteStatus::Pending => unclear_outcome("the write may still arrive"),
                WriteStatus::OutsideHistory => {
                    unclear_outcome("the history no longer covers the write")
                }
            },
            Err(error) => unclear_outcome(&error.to_string()),
        }
    }
}
