//! Execution of one verb, from the parsed request to the report.

use crate::{configuration_verbs, explain_view, instance_drain, prelude::*, status_view};

/// Settings and worker pool that a verb runs with.
pub(crate) struct CliSession<'a> {
    pub(crate) settings: &'a CliSettings,
    pub(crate) pool: Arc<WorkerPool>,
}

impl CliSession<'_> {
    /// Client of the stored configuration; fails if no store address is set.
    pub(crate) fn configuration_store(&self) -> Result<ConfigurationStore, VerbReport> {
        let address = self.settings.store.ok_or_else(|| {
            VerbReport::failure(ExitStatus::Usage, "the store's address is not set")
        })?;
        Ok(ConfigurationStore::new(
            self.pool.clone(),
            address,
            self.settings.timeout,
        ))
    }

    /// Clients of all instances in the settings.
    pub(crate) fn instances(&self) -> Vec<InstanceClient> {
        let client = |address: &SocketAddr| InstanceClient::new(self, *address);
        self.settings.instances.iter().map(client).collect()
    }
}

/// Executes a verb and returns its report.
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
        CliVerb::Check(directory) => configuration_verbs::check(directory),
        CliVerb::Plan(directory) => configuration_verbs::plan(session, directory).await,
        CliVerb::Apply(directory) => configuration_verbs::apply(session, directory).await,
        CliVerb::PresetUse(name) => configuration_verbs::preset_use(session, name).await,
        CliVerb::PresetList => configuration_verbs::preset_list(session).await,
        CliVerb::History => configuration_verbs::history(session).await,
        CliVerb::Status => status_view::status(session).await,
        CliVerb::Dump => status_view::dump(session).await,
        CliVerb::Drain(name) => instance_drain::drain(session, name).await,
        CliVerb::Explain { service, key } => explain_view::explain(session, service, key).await,
    }
}
