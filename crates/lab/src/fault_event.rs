//! What happens to a bench during a scenario.

use crate::prelude::*;

/// Which instance an event concerns.
#[derive(Clone, Copy, Debug)]
pub(crate) enum InstanceChoice {
    /// By number.
    Number(usize),
    /// The leader of a service's first part.
    LeaderOf(&'static str),
    /// The one of the event before.
    Last,
}

/// One event.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FaultEvent {
    /// A server is lost.
    KillServer(&'static str),
    /// A lost server starts again.
    ReturnServer(&'static str),
    /// A server stands still.
    FreezeServer(&'static str),
    /// A frozen server goes on.
    ThawServer(&'static str),
    /// A server says that it leaves.
    ServerLeaves(&'static str),
    /// A server that has left ends.
    StopServer(&'static str),
    /// A service gets one more server.
    AddServer(&'static str),
    /// A server behaves differently.
    ChangeServer(&'static str, fn(&mut ServerBehaviour)),
    /// An instance is lost.
    KillInstance(InstanceChoice),
    /// An instance stands still.
    PauseInstance(InstanceChoice),
    /// A paused instance goes on.
    ResumeInstance(InstanceChoice),
    /// An instance is stopped gracefully.
    StopInstance(InstanceChoice),
    /// A new run of a stopped or lost instance starts.
    StartInstance(InstanceChoice),
    /// The store answers differently.
    Store(StoreFault),
    /// Watches lag by milliseconds.
    WatchLag(u64),
    /// An instance and its peers no longer reach each other.
    CutPeers(InstanceChoice),
    /// An instance no longer reaches the store.
    CutStore(InstanceChoice),
    /// An instance no longer reaches a server.
    CutServer(InstanceChoice, &'static str),
    /// All links work again.
    Heal,
    /// All open connections from instances to servers fall silent for good.
    SilenceServers,
    /// An operator switches the preset.
    UsePreset(&'static str),
    /// Two operators switch the preset at once.
    RacePresets([&'static str; 2]),
}
