//! Gateway on the users' platform: routes callers' requests directly to the servers.
//!
//! A request enters at `request_handler`; `request_dispatch` runs its attempts, `server_finder` and
//! `server_lookup` select a server for each, and `server_pool` connects to it. Requests whose servers
//! this instance does not reach (`reach_worker`) go through another instance (`relay_client`,
//! `relay_server`); those that crash servers are held back (`quarantine_worker`).
//! `configuration_worker`, `discovery_worker` and `record_worker` apply updates from the platform's
//! store; `leader_worker` grants keys to servers and moves them, `end_detection` tells it which have
//! ended, and `order_probes` which of those without keys answer again; `peer_worker` exchanges
//! heartbeats with the other instances. Decisions are made in the `routing` crate; the `platform`
//! crate translates the platform's formats.

mod announcement_worker;
#[cfg(test)]
mod announcement_worker_tests;
#[cfg(test)]
mod answer_status_tests;
mod attempt_history;
mod attempt_result;
mod attempt_sender;
#[cfg(test)]
mod attempt_sender_tests;
#[cfg(test)]
mod body_memory_tests;
mod body_reader;
mod body_refusal;
#[cfg(test)]
mod body_stop_tests;
mod caller_call;
mod caller_listeners;
#[cfg(test)]
mod change_path_tests;
mod configuration_worker;
#[cfg(test)]
mod configuration_worker_tests;
mod descriptor_plan;
#[cfg(test)]
mod descriptor_plan_tests;
#[cfg(test)]
mod descriptor_use_tests;
mod discovery_worker;
mod end_detection;
#[cfg(test)]
mod end_detection_tests;
mod era_watch;
mod era_wire;
mod era_worker;
#[cfg(test)]
mod evacuation_feed_tests;
#[cfg(test)]
mod evacuation_tests;
#[cfg(test)]
mod evacuation_wire_tests;
mod evacuation_worker;
mod feed_client;
mod feed_codec;
mod feed_connection;
#[cfg(test)]
mod feed_connection_tests;
mod feed_replies;
#[cfg(test)]
mod feed_replies_tests;
mod feed_request;
mod feed_server;
#[cfg(test)]
mod feed_server_tests;
mod feed_wire;
#[cfg(test)]
mod former_wire_tests;
mod gateway_node;
mod gateway_process;
mod gateway_settings;
mod grant_connections;
#[cfg(test)]
mod grant_connections_tests;
mod heartbeat_bound;
#[cfg(test)]
mod heartbeat_bound_tests;
mod heartbeat_content;
mod heartbeat_targets;
#[cfg(test)]
mod heartbeat_targets_tests;
mod heartbeat_wire;
mod hop_headers;
mod idle_list;
mod instance_record;
mod key_exclusions;
mod key_view;
mod kind_mirror;
mod knowledge_wire;
mod knowledge_worker;
mod latest_values;
mod leader_worker;
#[cfg(test)]
mod leader_worker_tests;
mod leadership_checks;
mod leadership_wire;
mod leaving_bounds;
mod limit_wire;
mod listener_guard;
#[cfg(test)]
mod listener_guard_tests;
mod load_report_wire;
mod local_response;
mod lookup_outcome;
mod memory_settings;
#[cfg(test)]
mod memory_settings_tests;
mod metric_names;
mod mirror_delta;
#[cfg(test)]
mod mirror_era_tests;
mod move_planner;
#[cfg(test)]
mod move_planner_tests;
mod node_evacuations;
mod node_keys;
mod node_servers;
mod node_stop;
mod object_client;
#[cfg(test)]
mod object_client_tests;
#[cfg(test)]
mod object_list_tests;
mod object_mirror;
#[cfg(test)]
mod object_mirror_tests;
mod object_watcher;
#[cfg(test)]
mod object_watcher_tests;
mod open_calls;
mod operator_page;
mod order_probes;
#[cfg(test)]
mod order_probes_tests;
mod order_results;
mod order_sender;
mod patch_history;
#[cfg(test)]
mod patch_history_tests;
mod patch_wire;
mod peer_clock;
#[cfg(test)]
mod peer_clock_tests;
mod peer_heartbeat;
mod peer_helpers;
#[cfg(test)]
mod peer_lag_tests;
mod peer_leaders;
mod peer_positions;
#[cfg(test)]
mod peer_restore_tests;
mod peer_state;
mod peer_table;
#[cfg(test)]
mod peer_table_tests;
mod peer_watchers;
mod peer_worker;
mod quarantine_worker;
mod quarantine_writer;
#[cfg(test)]
mod quarantine_writer_tests;
mod quota_wire;
mod quota_worker;
mod reach_worker;
mod record_restorer;
#[cfg(test)]
mod record_restorer_tests;
mod record_update_wire;
mod record_worker;
mod record_writer;
mod relay_client;
mod relay_server;
mod relay_terms;
#[cfg(test)]
mod relay_terms_tests;
mod reply_compression;
#[cfg(test)]
mod reply_compression_tests;
mod request_dispatch;
mod request_handler;
mod request_log;
#[cfg(test)]
mod restored_servers_tests;
mod revisions_wire;
mod sent_request;
mod server_finder;
mod server_lookup;
#[cfg(test)]
mod server_lookup_tests;
mod server_notices;
#[cfg(test)]
mod server_notices_tests;
mod server_pool;
#[cfg(test)]
mod server_pool_tests;
mod server_quota;
mod server_reservation;
#[cfg(test)]
mod server_reservation_tests;
mod server_runtime;
mod service_choice;
#[cfg(test)]
mod service_choice_tests;
mod service_state;
mod setting_readers;
mod setting_specs;
mod stop_plan;
#[cfg(test)]
mod stop_plan_tests;
mod store_check;
#[cfg(test)]
mod store_check_tests;
mod store_health;
#[cfg(test)]
mod store_health_tests;
mod suspect_report_wire;
#[cfg(test)]
mod test_callers;
#[cfg(test)]
mod test_http;
#[cfg(test)]
mod test_node;
#[cfg(test)]
mod test_objects;
#[cfg(test)]
mod test_store;
#[cfg(test)]
mod unexpected_error_tests;
mod update_router;
#[cfg(test)]
mod update_router_tests;
mod value_patch;
#[cfg(test)]
mod value_patch_tests;
mod value_patch_wire;
mod warmup_worker;
#[cfg(test)]
mod warmup_worker_tests;
#[cfg(test)]
mod wire_decoding_tests;

pub use {gateway_process::run, gateway_settings::GatewaySettings};

/// Imports used throughout the crate.
mod prelude {
    pub(crate) use {
        crate::{
            attempt_result::AttemptResult,
            caller_call::{CallOutcome, CallerCall, FailureReason, LoadView, RefusalReason},
            gateway_node::GatewayNode,
            grant_connections::GrantConnections,
            idle_list::IdleList,
            instance_record::InstanceRecord,
            key_view::KeyView,
            leaving_bounds::LeavingBounds,
            metric_names::*,
            node_servers::ServerList,
            object_client::{ObjectClient, StoreCallError},
            object_mirror::{KIND_COUNT, KindRevisions, ObjectMirror},
            object_watcher::StoreUpdate,
            open_calls::OpenCalls,
            peer_table::PeerTable,
            server_pool::ServerPool,
            server_quota::ServerQuota,
            server_runtime::ServerRuntime,
            service_state::ServiceState,
            stop_plan::{StopOutcome, StopProgress, StopStep},
            store_health::StoreHealth,
            *,
        },
        async_io::Timer,
        bytes::Bytes,
        event_listener::Event,
        futures_lite::future,
        geraniummast_model::MonoTime,
        geraniummast_net::*,
        geraniummast_platform::*,
        geraniummast_routing::*,
        http::{Request, Response, StatusCode},
        http_body_util::{BodyExt, Full},
        indexmap::{IndexMap, IndexSet},
        serde::{Deserialize, Serialize},
        std::{
            net::SocketAddr,
            sync::{
                Arc,
                atomic::{AtomicBool, AtomicUsize, Ordering},
            },
            time::Duration,
        },
    };
}
