//! Access to what an instance knows of the keys of each service.

use crate::prelude::*;

impl GatewayNode {
    /// Runs `work` on the key view of a service; creates the view on first use.
    pub(crate) fn with_key_view<T>(
        &self,
        service: &str,
        work: impl FnOnce(&mut KeyView) -> T,
    ) -> T {
        let mut keys = self.keys.lock();
        let view = keys
            .entry(service.into())
            .or_insert_with(|| KeyView::new(self.own_incarnation.clone(), self.timing()));
        work(view)
    }

    /// Runs `work` on the key view of a service; returns `None` if the service is not known to have
    /// keys.
    pub(crate) fn with_known_key_view<T>(
        &self,
        service: &str,
        work: impl FnOnce(&mut KeyView) -> T,
    ) -> Option<T> {
        self.keys.lock().get_mut(service).map(work)
    }

    fn timing(&self) -> LeaderTiming {
        LeaderTiming {
            grant_duration: Self::TIMING.grant_duration.min(self.settings.max_hold),
            ..Self::TIMING
        }
    }

    /// Duration of a grant of keys.
    pub(crate) fn grant_duration(&self) -> Duration {
        self.timing().grant_duration
    }

    /// Services whose keys are owned by individual servers.
    pub(crate) fn keyed_services(&self) -> Vec<String> {
        self.keys.lock().keys().cloned().collect()
    }

    /// Range that contains a key, the revision of its record, and whether the owner serves the
    /// range.
    pub(crate) fn key_range(
        &self,
        service: &str,
        key: u16,
    ) -> Option<(KeyRange, StoreRevision, bool)> {
        let keys = self.keys.lock();
        let view = keys.get(service)?;
        let (record, revision) = view.leader.record()?;
        let range = record.range_of(key)?;
        Some((range.clone(), revision, view.is_served(range)))
    }

    /// Revision of a service's key record, if there is one.
    pub(crate) fn key_revision(&self, service: &str) -> Option<StoreRevision> {
        let keys = self.keys.lock();
        Some(keys.get(service)?.leader.record()?.1)
    }

    /// Adds a request to the sampled load of its key.
    pub(crate) fn count_key_request(&self, service: &str, key: u16) {
        let mut keys = self.keys.lock();
        if let Some(view) = keys.get_mut(service) {
            view.count_request(key, rand::random());
        }
    }
}
