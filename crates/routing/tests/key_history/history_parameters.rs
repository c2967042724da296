//! Parameters of a simulated history.

use crate::history_world::GRANT_MS;

/// Timing, protections and fault rates of a history.
#[derive(Clone)]
pub(crate) struct HistoryParameters {
    /// Validity of a grant that leaders assume.
    pub(crate) assumed_grant_ms: u64,
    /// Time after a confirmation by the store for which leaders send orders.
    pub(crate) authority_ms: u64,
    /// Time for which leaders assume that former leaders send orders.
    pub(crate) assumed_authority_ms: u64,
    /// Whether servers reject orders with a lower fence than the highest they have seen.
    pub(crate) servers_check_fences: bool,
    /// Whether leaders send no fence over a connection that was opened after the fence was sent.
    pub(crate) binds_fences: bool,
    /// Orders per thousand that are executed late.
    pub(crate) late_orders_per_mille: u32,
    /// Steps per thousand in which connections break. The senders get no answer, the orders may be
    /// executed, and leaders plan without the servers until these answer again.
    pub(crate) breaks_per_mille: u32,
    /// Steps per thousand in which a server begins to refuse new connections for a while and resets
    /// some of its connections, although it works on.
    pub(crate) refusals_per_mille: u32,
    /// Whether leaders name supporters, and instances exchange heartbeats.
    pub(crate) has_heartbeats: bool,
    /// Time for which the word of a supporter counts, and time for which leaders assume that former
    /// leaders go on without it.
    pub(crate) support_ms: u64,
    pub(crate) assumed_support_ms: u64,
    /// Longest time in milliseconds from the sending of an order until its arrival.
    pub(crate) max_transit_ms: u64,
    /// Steps per thousand in which the store is restored from a copy some seconds old.
    pub(crate) restores_per_mille: u32,
    /// Share of the drawn faults of instances, servers and links that happen, per thousand.
    pub(crate) fault_share_per_mille: u32,
}

impl Default for HistoryParameters {
    fn default() -> Self {
        Self {
            assumed_grant_ms: GRANT_MS,
            authority_ms: 6_000,
            assumed_authority_ms: 6_000,
            servers_check_fences: true,
            binds_fences: true,
            late_orders_per_mille: 60,
            breaks_per_mille: 0,
            refusals_per_mille: 0,
            has_heartbeats: false,
            support_ms: 1_000,
            assumed_support_ms: 1_050,
            max_transit_ms: 40,
            restores_per_mille: 0,
            fault_share_per_mille: 1_000,
        }
    }
}
