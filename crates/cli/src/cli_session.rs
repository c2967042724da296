//! One command from request to report.

use crate::{explain_view, head_verbs, instance_drain, prelude::*, status_view};

/// What a verb works with.
pub(crate) struct CliSession<'a> {
    pub(crate) settings: &'a CliSettings,
    pub(crate) pool: Arc<WorkerPool>,
}

impl CliSession<'_> {
    /// The head in the store.
    pub(crate) fn heads(&self) -> Result<HeadStore, VerbReport> {
        let address = self.settings.store.ok_or_else(|| {
            VerbReport::failure(ExitStatus::Usage, "no address of the store is set")
        })?;
        Ok(HeadStore::new(
            self.pool.clone(),
            address,
            self.settings.timeout,
        ))
    }

    /// Clients of all instances that are set.
    pub(crate) fn instances(&self) -> Vec<InstanceClient> {
        let client = |address: &SocketAddr| InstanceClient::new(self, *address);
        self.settings.instances.iter().map(client).collect()
    }
}

/// Runs one verb to its report.
pub fn execute(verb: &CliVerb, settings: &CliSettings) -> VerbReport {
    let pool = match WorkerPool::start("operator", 1) {
        Ok(pool) => pool,
        Err(error) => return VerbReport::failure(ExitStatus::Unreachable, error.to_string()),
    };
    let session = CliSession {
        settings,
        pool: pool.clone(),
    };
    let report = futures_lite::future::block_on(dispatch(&session, verb));
    pool.stop();
    report.unwrap_or_else(|report| report)
}

async fn dispatch(session: &CliSession<'_>, verb: &CliVerb) -> Result<VerbReport, VerbReport> {
    match verb {
        CliVerb::Check(directory) => head_verbs::check(directory),
        CliVerb::Plan(directory) => head_verbs::plan(session, directory).await,
        CliVerb::Apply(directory) => head_verbs::apply(session, directory).await,
        CliVerb::PresetUse(name) => head_verbs::preset_use(session, name).await,
        CliVerb::PresetList => head_verbs::preset_list(session).await,
        CliVerb::History => head_verbs::history(session).await,
        CliVerb::Status => status_view::status(session).await,
        CliVerb::Dump => status_view::dump(session).await,
        CliVerb::Drain(name) => instance_drain::drain(session, name).await,
        CliVerb::Explain { service, key } => explain_view::explain(session, service, key).await,
    }
}
