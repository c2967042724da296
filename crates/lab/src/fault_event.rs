//! Timed events of a scenario: faults, restarts and changes of configuration.

use crate::prelude::*;

/// Selection of the instance that an event concerns.
#[derive(Clone, Copy, Debug)]
pub(crate) enum InstanceChoice {
    /// The instance with this number.
    Number(usize),
    /// The leader of the first part of this service.
    LeaderOf(&'static str),
    /// The instance of the previous event that concerned one.
    Last,
}

/// Event that is applied to a running cluster.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FaultEvent {
    /// Kills a server.
    KillServer(&'static str),
    /// Restarts a killed server.
    RestartServer(&'static str),
    /// Freezes a server.
    FreezeServer(&'static str),
    /// Resumes a frozen server.
    UnfreezeServer(&'static str),
    /// Makes a server announce that it is leaving.
    AnnounceLeaving(&'static str),
    /// Stops a server that has announced that it is leaving.
    StopServer(&'static str),
    /// Adds a server to a service.
    AddServer(&'static str),
    /// Changes the behaviour of a server.
    ChangeServer(&'static str, fn(&mut ServerBehaviour)),
    /// Kills an instance.
    KillInstance(InstanceChoice),
    /// Pauses an instance.
    PauseInstance(InstanceChoice),
    /// Resumes a paused instance.
    ResumeInstance(InstanceChoice),
    /// Stops an instance gracefully.
    StopInstance(InstanceChoice),
    /// Starts a new incarnation of a stopped or killed instance.
    StartInstance(InstanceChoice),
    /// Sets or clears a fault of the store.
    SetStoreFault(StoreFault),
    /// Sets the lag of the store's watches, in milliseconds.
    SetWatchLag(u64),
    /// Cuts the links between an instance and its peers, in both directions.
    CutPeers(InstanceChoice),
    /// Cuts the link from an instance to the store.
    CutStore(InstanceChoice),
    /// Cuts the link from an instance to a server.
    CutServer(InstanceChoice, &'static str),
    /// Restores all cut links.
    RestoreLinks,
    /// Silences all open connections from instances to servers permanently.
    SilenceConnections,
    /// Switches the preset.
    SwitchPreset(&'static str),
    /// Switches the preset by two concurrent writes, of which one must fail.
    RacePresets([&'static str; 2]),
}
