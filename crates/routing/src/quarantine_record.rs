//! Quarantined requests as the store keeps them, so that no restart forgets them and trials are
//! counted for all instances together.

use crate::prelude::*;

/// Content of the store's record.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuarantineRecord {
    /// Quarantined requests.
    pub requests: IndexMap<RequestIdentity, QuarantinedRequest>,
}

/// One quarantined request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuarantinedRequest {
    /// Hash of its path and query.
    pub target: TargetHash,
    /// Whether the request carries a key.
    pub is_keyed: bool,
    /// Trials that instances have started.
    pub trials: u32,
    /// When it was quarantined, in seconds since the Unix epoch.
    pub added_s: u64,
}

/// Format of the record in the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredQuarantine {
    requests: Vec<StoredRequest>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct StoredRequest {
    content: String,
    target: String,
    keyed: bool,
    trials: u32,
    added_s: u64,
}

impl QuarantineRecord {
    /// Name of the object in the store.
    pub const NAME: &'static str = "quarantine";
    /// Maximum number of requests; the oldest are dropped.
    const MAX_REQUESTS: usize = 256;
    /// Age at which a request is dropped, in seconds.
    const MAX_AGE_S: u64 = 86_400;

    /// Counts the trial with this number; returns false if it has been started before, or the
    /// request is not quarantined.
    pub fn start_trial(&mut self, identity: RequestIdentity, trial: u32) -> bool {
        match self.requests.get_mut(&identity) {
            Some(request) if request.trials == trial => {
                request.trials += 1;
                true
            }
            _ => false,
        }
    }

    pub(crate) fn drop_expired(&mut self, now_s: u64) {
        self.requests
            .retain(|_, request| now_s.saturating_sub(request.added_s) < Self::MAX_AGE_S);
        while self.requests.len() > Self::MAX_REQUESTS {
            self.requests.shift_remove_index(0);
        }
    }
}

impl From<&QuarantineRecord> for StoredQuarantine {
    fn from(record: &QuarantineRecord) -> Self {
        let requests = record
            .requests
            .iter()
            .map(|(identity, request)| StoredRequest {
                content: identity.to_string(),
                target: format!("{:016x}", request.target.0),
                keyed: request.is_keyed,
                trials: request.trials,
                added_s: request.added_s,
            });
        Self {
            requests: requests.collect(),
        }
    }
}

impl TryFrom<StoredQuarantine> for QuarantineRecord {
    type Error = std::num::ParseIntError;

    fn try_from(stored: StoredQuarantine) -> Result<Self, Self::Error> {
        let requests: Result<_, _> = stored
            .requests
            .into_iter()
            .map(|stored| {
                let request = QuarantinedRequest {
                    target: TargetHash(u64::from_str_radix(&stored.target, 16)?),
                    is_keyed: stored.keyed,
                    trials: stored.trials,
                    added_s: stored.added_s,
                };
                Ok((stored.content.parse()?, request))
            })
            .collect();
        Ok(Self {
            requests: requests?,
        })
    }
}
