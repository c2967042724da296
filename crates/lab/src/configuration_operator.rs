//! Simulated operator that changes the configuration.

use crate::prelude::*;

/// Writes configuration revisions to the store and records when each one was accepted.
pub struct ConfigurationOperator {
    client: StoreClient,
    accepted: Mutex<Vec<(u64, MonoTime)>>,
}

impl ConfigurationOperator {
    /// Delay before a change that the store did not accept is tried again.
    const RETRY_BACKOFF: Duration = Duration::from_millis(50);

    /// Operator that writes to the store behind `client`.
    pub fn new(client: StoreClient) -> Self {
        Self {
            client,
            accepted: Mutex::default(),
        }
    }

    /// Applies `change` to the current configuration and retries until the store accepts it.
    pub async fn change(&self, change: impl Fn(&mut ConfigurationHead)) -> eyre::Result<()> {
        loop {
            if let Ok((condition, mut head)) = self.current().await {
                change(&mut head);
                if self.try_write(condition, head).await {
                    return Ok(());
                }
            }
            Timer::after(Self::RETRY_BACKOFF).await;
        }
    }

    /// Writes two presets concurrently on top of the same revision; returns how many were accepted.
    pub async fn race_presets(&self, presets: [&str; 2]) -> eyre::Result<usize> {
        let (condition, head) = self.current().await?;
        let try_write = |preset: &str| {
            let mut head = head.clone();
            head.preset = preset.into();
            self.try_write(condition, head)
        };
        let writes = futures_lite::future::zip(try_write(presets[0]), try_write(presets[1]));
        let (first, second) = writes.await;
        Ok(usize::from(first) + usize::from(second))
    }

    /// Accepted revisions with the times of their acceptance.
    pub fn accepted(&self) -> Vec<(u64, MonoTime)> {
        self.accepted.lock().unwrap().clone()
    }

    /// Reads the configuration and the condition under which it may be replaced.
    async fn current(&self) -> eyre::Result<(WriteCondition, ConfigurationHead)> {
        Ok(
            match self.client.read(&ObjectPath::configuration_head()).await? {
                Some(object) => (WriteCondition::Version(object.version), object.decode()?),
                None => (WriteCondition::Absent, ConfigurationHead::default()),
            },
        )
    }

    async fn try_write(&self, condition: WriteCondition, mut head: ConfigurationHead) -> bool {
        let metadata = ChangeMetadata {
            changed_by: "bench".into(),
            changed_at_ms: 0,
            write_id: uuid::Uuid::new_v4().to_string(),
        };
        head.record_change(&metadata, "changed by the bench");
        let path = ObjectPath::configuration_head();
        let outcome = self
            .client
            .write(&path, condition, &head, &head.write_id)
            .await;
        let written = matches!(outcome, Ok(WriteOutcome::Written(_)));
        if written {
            let mut accepted = self.accepted.lock().unwrap();
            accepted.push((head.revision, SteadyClock.now()));
        }
        written
    }
}
