//! Directories, settings and stores for the tests.

use {
    geraniummast_cli::{CliSettings, CliVerb, ExitStatus, VerbReport, execute},
    geraniummast_lab::SimulatedStore,
    std::{
        path::{Path, PathBuf},
        time::Duration,
    },
};

/// Temporary directory of one test.
pub(crate) struct TestDirectory(PathBuf);

impl TestDirectory {
    /// Creates the directory with the given files.
    pub(crate) fn new(name: &str, files: &[(&str, &str)]) -> Self {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        let directory = Self(path);
        for (name, text) in files {
            directory.put(name, text);
        }
        directory
    }

    /// Writes one file.
    pub(crate) fn put(&self, name: &str, text: &str) {
        std::fs::write(self.0.join(name), text).unwrap();
    }

    /// Path of the directory.
    pub(crate) fn path(&self) -> PathBuf {
        self.0.clone()
    }
}

/// Declarations of one service on two servers with two presets.
pub(crate) const VALID_DECLARATIONS: &str = r#"
[place.dc1]
region = "home"
[service.reports]
kind = "exclusive"
[[service.reports.class]]
name = "lookup"
methods = ["GET"]
repeatable = true
[[service.reports.server]]
name = "view-1"
address = "10.0.0.1:80"
data_centre = "dc1"
slots = 3
connections = 100
[[service.reports.server]]
name = "view-2"
address = "10.0.0.2:80"
data_centre = "dc1"
slots = 3
connections = 100
[preset.ordinary]
[preset.peak]
"#;

/// Settings for the operator `name` and the store `store`.
pub(crate) fn settings(store: &SimulatedStore, name: &str) -> CliSettings {
    CliSettings {
        store: Some(store.address()),
        operator: name.into(),
        timeout: Duration::from_secs(20),
        ..CliSettings::default()
    }
}

/// Runs a verb and asserts its exit status.
pub(crate) fn expect(status: ExitStatus, verb: &CliVerb, settings: &CliSettings) -> VerbReport {
    let report = execute(verb, settings);
    assert_eq!(report.status, status, "{verb:?}: {}", report.text);
    report
}

/// Starts a store and applies `directory` as revision 1.
pub(crate) fn store_with_declarations(directory: &TestDirectory) -> SimulatedStore {
    let store = futures_lite::future::block_on(SimulatedStore::start()).unwrap();
    let verb = CliVerb::Apply(directory.path());
    expect(ExitStatus::Done, &verb, &settings(&store, "ada"));
    store
}
