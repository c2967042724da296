//! State of an instance for tests, without sockets.

use crate::prelude::*;
use geraniummast_settings::SettingsOutcome;

/// Creates the state of an instance whose stops take up to 6 s.
pub(crate) fn build() -> GatewayNode {
    build_with_store(SocketAddr::from(([127, 0, 0, 1], 6)))
}

/// Creates the same state, with a store at `address`.
pub(crate) fn build_with_store(address: SocketAddr) -> GatewayNode {
    build_with(&[&format!("--store-address={address}")])
}

/// Creates the same state for an instance that keeps a bound on the requests to cold servers.
pub(crate) fn build_with_warmup_bound() -> GatewayNode {
    build_with(&["--warmup-overage=1.5", "--warmup-slack=8"])
}

/// Creates the same state, with these settings besides.
pub(crate) fn build_with(settings: &[&str]) -> GatewayNode {
    let mut flags = vec![
        "--name=a1",
        "--data-centre=dc1",
        "--caller-address=127.0.0.1:1",
        "--readiness-address=127.0.0.1:2",
        "--operator-address=127.0.0.1:3",
        "--peer-address=127.0.0.1:4",
        "--feed-address=127.0.0.1:5",
        "--stop-timeout-s=6",
    ];
    flags.extend(settings);
    if !settings.iter().any(|flag| flag.starts_with("--store")) {
        flags.push("--store-address=127.0.0.1:6");
    }
    let read = GatewaySettings::read(flags.into_iter().map(Into::into), |_| None);
    let SettingsOutcome::Run(settings) = read else {
        panic!("settings are invalid");
    };
    GatewayNode::new(*settings, WorkerPool::start("test", 0).unwrap(), 1)
}
