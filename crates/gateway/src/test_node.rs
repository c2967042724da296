//! State of an instance for tests, without sockets.

use crate::prelude::*;
use geraniummast_settings::SettingsOutcome;

/// Creates the state of an instance whose stops take up to 6 s.
pub(crate) fn build() -> GatewayNode {
    build_with_store(SocketAddr::from(([127, 0, 0, 1], 6)))
}

/// Creates the same state, with a store at `address`.
pub(crate) fn build_with_store(address: SocketAddr) -> GatewayNode {
    build_with_flags(address, &[])
}

/// Creates the same state for an instance that keeps a bound on the requests to cold servers.
pub(crate) fn build_with_warmup_bound() -> GatewayNode {
    let flags = ["--warmup-overage=1.5", "--warmup-slack=8"];
    build_with_flags(SocketAddr::from(([127, 0, 0, 1], 6)), &flags)
}

/// Creates the same state, with `added` flags.
pub(crate) fn build_with_flags(address: SocketAddr, added: &[&str]) -> GatewayNode {
    let store = format!("--store-address={address}");
    let flags = [
        "--name=a1",
        "--data-centre=dc1",
        "--caller-address=127.0.0.1:1",
        "--readiness-address=127.0.0.1:2",
        "--operator-address=127.0.0.1:3",
        "--peer-address=127.0.0.1:4",
        "--feed-address=127.0.0.1:5",
        store.as_str(),
        "--stop-timeout-s=6",
    ];
    let flags = flags.iter().chain(added).map(Into::into);
    let read = GatewaySettings::read(flags, |_| None);
    let SettingsOutcome::Run(settings) = read else {
        panic!("settings are invalid");
    };
    GatewayNode::new(*settings, WorkerPool::start("test", 0).unwrap(), 1)
}
