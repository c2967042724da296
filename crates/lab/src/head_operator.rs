//! Operators' changes of the configuration.

use crate::prelude::*;

/// Changes the head and notes when each change was accepted.
pub struct HeadOperator {
    client: StoreClient,
    accepted: Mutex<Vec<(u64, MonoTime)>>,
}

impl HeadOperator {
    /// Pause after a change that the store did not take.
    const RETRY_PAUSE: Duration = Duration::from_millis(50);

    /// Operator of the store behind `client`.
    pub fn new(client: StoreClient) -> Self {
        Self {
            client,
            accepted: Mutex::default(),
        }
    }

    /// Makes a change, trying until it is accepted.
    pub async fn change(&self, change: impl Fn(&mut ConfigurationHead)) -> eyre::Result<()> {
        loop {
            if let Ok((condition, mut head)) = self.current().await {
                change(&mut head);
                if self.offer(condition, head).await {
                    return Ok(());
                }
            }
            Timer::after(Self::RETRY_PAUSE).await;
        }
    }

    /// Two operators switch the preset from the same state; returns how many won.
    pub async fn race(&self, presets: [&str; 2]) -> eyre::Result<usize> {
        let (condition, head) = self.current().await?;
        let offer = |preset: &str| {
            let mut head = head.clone();
            head.preset = preset.into();
            self.offer(condition, head)
        };
        let offers = futures_lite::future::zip(offer(presets[0]), offer(presets[1]));
        let (first, second) = offers.await;
        Ok(usize::from(first) + usize::from(second))
    }

    /// Accepted revisions with their times.
    pub fn accepted(&self) -> Vec<(u64, MonoTime)> {
        self.accepted.lock().unwrap().clone()
    }

    /// Head with the condition under which it may be replaced.
    async fn current(&self) -> eyre::Result<(WriteCondition, ConfigurationHead)> {
        Ok(
            match self.client.read(&ObjectPath::configuration_head()).await? {
                Some(object) => (WriteCondition::Version(object.version), object.decode()?),
                None => (WriteCondition::Absent, ConfigurationHead::default()),
            },
        )
    }

    async fn offer(&self, condition: WriteCondition, mut head: ConfigurationHead) -> bool {
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
