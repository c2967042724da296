//! Gateway process under load, with the limits of its machine.

use crate::{
    caller_load::send_ordinary,
    common::{CALLER_PORT, send_signal},
    small_site::SmallSite,
};
use std::{
    net::{Ipv4Addr, SocketAddr},
    process::{Child, Command, Stdio},
};

/// Memory and descriptors of a machine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MachineLimits {
    /// Memory, in MiB.
    pub(crate) memory_mib: u64,
    /// File descriptors.
    pub(crate) descriptors: usize,
}

/// Gateway instance that runs until it is dropped.
pub(crate) struct LoadedInstance {
    pub(crate) caller_address: SocketAddr,
    child: Child,
    limits: MachineLimits,
}

impl LoadedInstance {
    /// Starts an instance on `host` that knows its limits; does not wait until it serves requests.
    ///
    /// The limits are given as environment variables, which builds without these settings ignore.
    pub(crate) fn launch(
        site: &SmallSite,
        host: Ipv4Addr,
        limits: MachineLimits,
        extra_flags: &[&str],
    ) -> Self {
        let address = |flag: &str, port: u16| format!("--{flag}={host}:{port}");
        let [_, number, ..] = host.octets();
        let child = Command::new(env!("CARGO_BIN_EXE_geraniummastd"))
            .args(["gateway", "--data-centre=dc1"])
            .args([
                format!("--name=a{number}"),
                address("caller-address", CALLER_PORT),
                address("readiness-address", 18_388),
                address("operator-address", 19_464),
                address("peer-address", 17_200),
                address("feed-address", 18_382),
                address("relay-address", 17_205),
                format!("--store-address={}", site.store_address),
            ])
            .args(extra_flags)
            .env("GERANIUMMAST_MEMORY_MB", limits.memory_mib.to_string())
            .env(
                "GERANIUMMAST_MAX_DESCRIPTORS",
                limits.descriptors.to_string(),
            )
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Self {
            caller_address: (host, CALLER_PORT).into(),
            child,
            limits,
        }
    }

    /// Asserts that the instance serves requests, before the load.
    pub(crate) fn assert_serving(&self) {
        let is_served = send_ordinary(self.caller_address);
        assert!(is_served, "no request is served before the load");
    }

    /// Identifier of the process.
    pub(crate) fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Starts a stop, as the platform does.
    pub(crate) fn begin_stop(&self) {
        send_signal(&self.child, "TERM");
    }

    /// Waits until the process has exited; returns its code.
    pub(crate) fn wait_exited(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }

    /// Asserts that [`Self::check_unharmed`] finds nothing.
    pub(crate) fn assert_unharmed(&mut self) {
        assert_eq!(self.check_unharmed(), None);
    }

    /// Sends an ordinary request; returns what is wrong if the process does not answer it, has
    /// exited, or did not stay within its machine.
    pub(crate) fn check_unharmed(&mut self) -> Option<String> {
        let is_served = send_ordinary(self.caller_address);
        if let Some(status) = self.child.try_wait().unwrap() {
            return Some(format!("the process has exited: {status}"));
        }
        let (memory, descriptors) = (self.peak_memory_kib(), self.open_descriptors());
        let usage = format!("VmHWM {memory} KiB, {descriptors} descriptors");
        println!("{usage}, ordinary request served: {is_served}");
        if !is_served {
            return Some(format!("no ordinary request was served: {usage}"));
        }
        let is_within =
            memory < self.limits.memory_mib << 10 && descriptors < self.limits.descriptors;
        (!is_within).then(|| format!("{usage}, but the machine has {:?}", self.limits))
    }

    /// Largest resident size so far, in KiB.
    fn peak_memory_kib(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        line.unwrap()
            .split_whitespace()
            .next()
            .unwrap()
            .parse()
            .unwrap()
    }

    fn open_descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(path).unwrap().count()
    }
}

impl Drop for LoadedInstance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
