//! Loopback addresses that belong to the processes of one soak process alone.
//!
//! An instance whose soak process was ended by a signal may run on and ask the addresses that it
//! knows. They must not be given to anyone else meanwhile: a server of another run would receive
//! requests that none of its callers sent. Each soak process therefore draws a group of addresses,
//! and a listener reserves the group. Each instance has the listener open too, as its standard
//! input, so the group is reserved as long as any of them runs.

use crate::prelude::*;
use std::{net::TcpListener, process::Stdio, sync::OnceLock};

/// Group of loopback addresses, reserved until its last user ends.
pub(crate) struct LoopbackHosts {
    /// Third and fourth byte of all addresses of the group.
    group: [u8; 2],
    reservation: TcpListener,
}

impl LoopbackHosts {
    /// Number of groups that are drawn before the process gives up.
    const MAX_DRAWS: usize = 1_000;
    /// Port of the listener that reserves a group.
    const RESERVATION_PORT: u16 = 18_380;
    /// Second byte of the address of this listener.
    const RESERVATION_BYTE: u8 = 9;
    /// Second byte of the address of the first instance.
    const INSTANCE_BYTE: u8 = 10;
    /// Second byte of the address of the first run's platform.
    const PLATFORM_BYTE: u8 = Self::INSTANCE_BYTE + SoakPlan::MAX_INSTANCES as u8;

    /// Returns the group of this process.
    pub(crate) fn of_process() -> &'static Self {
        static HOSTS: OnceLock<LoopbackHosts> = OnceLock::new();
        HOSTS.get_or_init(|| {
            std::iter::repeat_with(|| Self::reserve(rand::random()))
                .take(Self::MAX_DRAWS)
                .find_map(Result::ok)
                .expect("one of the drawn groups of loopback addresses is free")
        })
    }

    /// Reserves a group; fails if anyone uses it.
    pub(crate) fn reserve(group: [u8; 2]) -> std::io::Result<Self> {
        let host = Self::host(Self::RESERVATION_BYTE, group);
        Ok(Self {
            group,
            reservation: TcpListener::bind((host, Self::RESERVATION_PORT))?,
        })
    }

    /// Returns a standard input with which a process keeps the group reserved.
    pub(crate) fn hold(&self) -> std::io::Result<Stdio> {
        let shared = self.reservation.try_clone()?;
        Ok(Stdio::from(std::os::fd::OwnedFd::from(shared)))
    }

    /// Address of an instance; concurrent runs use different ports of it.
    pub(crate) fn instance(&self, number: usize) -> Ipv4Addr {
        Self::host(Self::INSTANCE_BYTE + number as u8, self.group)
    }

    /// Address of the store, servers and proxies of a run.
    pub(crate) fn platform(&self, plan: &SoakPlan) -> Ipv4Addr {
        let run = plan.run_number % SoakPlan::MAX_CONCURRENT_RUNS;
        Self::host(Self::PLATFORM_BYTE + run as u8, self.group)
    }

    fn host(byte: u8, [high, low]: [u8; 2]) -> Ipv4Addr {
        Ipv4Addr::new(127, byte, high, low)
    }
}
