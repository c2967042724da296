//! One instance of the daemon: its listeners, and the workers that carry out the decisions of the
//! other crates.
//!
//! A request arrives at `caller_gateway`. `forward_worker` forwards it to the instance that leads
//! the key's part, where `dispatch_worker` sends it to the server that owns the key. `node_tables`
//! has the tables that workers share and states the order in which they are locked.

mod at_most_once_worker;
mod attempt_error;
mod balance_worker;
mod caller_answer;
mod caller_gateway;
mod caller_listener;
mod caller_request;
mod daemon_process;
mod daemon_settings;
mod decision_log;
mod dedup_guard;
mod dedup_registry;
mod dedup_replica;
mod dedup_wire;
mod dedup_worker;
mod dispatch_worker;
mod dump_builder;
mod dump_wire;
mod election_worker;
mod feed_hints;
mod feed_starter;
mod feed_state;
mod feed_wire;
mod feed_worker;
mod forward_wire;
mod forward_worker;
mod grant_wire;
mod grant_worker;
mod instance_node;
mod instance_pruner;
#[cfg(test)]
mod instance_pruner_tests;
mod leader_hint;
mod metric_recorder;
mod metric_table;
mod metric_worker;
mod node_connections;
mod node_tables;
mod operator_error;
mod operator_listener;
mod operator_query;
mod part_creator;
mod part_load_table;
mod peer_client;
mod peer_error;
mod peer_frame;
mod peer_listener;
mod peer_liveness;
mod peer_proof;
mod reassignment_worker;
mod record_writer;
mod running_calls;
mod server_pool;
mod server_session;
mod setting_table;
mod slot_broker;
mod store_watcher;
mod tree_position;
#[cfg(test)]
mod tree_position_tests;
mod vote_wire;

pub use {
    daemon_process::run,
    daemon_settings::{DaemonSettings, PeerLimits, SettingsBuilder},
    grant_wire::{GrantReplyWire, GrantWire},
    instance_node::InstanceHandle,
    setting_table::read_settings,
};

/// Imports that most modules of the crate use.
mod prelude {
    pub(crate) use {
        crate::{
            attempt_error::AttemptError,
            caller_answer::CallerAnswer,
            caller_request::{CallerRequest, HeaderField},
            decision_log::DecisionLog,
            dedup_guard::DedupGuard,
            dedup_registry::{DedupLookup, DedupRegistry, ReplicaAuthorities},
            dedup_replica::DedupReplica,
            dedup_wire::*,
            dedup_worker::DedupGroup,
            dispatch_worker::SlotAdmission,
            feed_hints::FeedHints,
            feed_state::FeedState,
            feed_wire::{FeedBatch, FeedPull},
            forward_wire::{ForwardReplyWire, ForwardWire},
            instance_node::InstanceNode,
            leader_hint::LeaderHint,
            node_connections::NodeConnections,
            node_tables::{FormerLeadership, LeaderAddress, NodeTables},
            part_load_table::PartLoadTable,
            peer_client::PeerClient,
            peer_error::PeerError,
            peer_frame::{CancelWire, PeerBody, PeerFrame},
            peer_liveness::PeerLiveness,
            peer_proof::PeerProof,
            running_calls::RunningCalls,
            server_pool::ServerPool,
            server_session::{ServerCallOptions, ServerSession},
            slot_broker::{SlotBroker, SlotGuard, SlotRequest},
            vote_wire::{
                VoteBatchReplyWire, VoteBatchWire, VoteReleaseWire, VoteReplyWire, VoteRequestWire,
            },
            *,
        },
        async_io::Timer,
        bytes::Bytes,
        futures_lite::future,
        geraniummast_balance::*,
        geraniummast_configuration::*,
        geraniummast_model::*,
        geraniummast_net::*,
        geraniummast_ownership::*,
        geraniummast_requests::*,
        geraniummast_settings::{SettingError, SettingSpec, SettingTable, SettingsOutcome},
        geraniummast_store::*,
        http::{Request, Response, StatusCode},
        http_body_util::{BodyExt, Full},
        indexmap::IndexMap,
        serde::{Deserialize, Serialize},
        std::{
            fmt::{self, Display, Formatter},
            io,
            net::SocketAddr,
            sync::{
                Arc, Mutex,
                atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
            },
            time::Duration,
        },
        uuid::Uuid,
    };
}
