//! Names of the counters and histograms that this crate records.

/// Callers' requests, by outcome.
pub(crate) const REQUESTS: &str = "geraniummast_requests_total";
/// Time from the arrival of a caller's request to its answer, by outcome.
pub(crate) const REQUEST_SECONDS: &str = "geraniummast_request_seconds";
/// Refused requests, by reason.
pub(crate) const REFUSALS: &str = "geraniummast_refusals_total";
/// Request bodies that were not read to their end or were evicted, by reason.
pub(crate) const REFUSED_BODIES: &str = "geraniummast_refused_bodies_total";
/// Memory that bodies of requests and answers hold, in bytes.
pub(crate) const BODY_MEMORY: &str = "geraniummast_body_memory_bytes";
/// Attempts to run a request on a server, by result.
pub(crate) const ATTEMPTS: &str = "geraniummast_attempts_total";
/// Attempts sent to servers that name a limit.
pub(crate) const LIMITED_ATTEMPTS: &str = "geraniummast_limited_attempts_total";
/// Attempts sent to cold servers whose requests are bounded.
pub(crate) const COLD_ATTEMPTS: &str = "geraniummast_cold_attempts_total";
/// Times that a server whose requests are bounded became cold.
pub(crate) const COLD_PERIODS: &str = "geraniummast_cold_periods_total";
/// Answers with a limit that cannot be read.
pub(crate) const UNREADABLE_LIMITS: &str = "geraniummast_unreadable_limits_total";
/// Times that this instance lost the servers of a data centre.
pub(crate) const REACH_LOSSES: &str = "geraniummast_reach_losses_total";
/// Requests sent through other instances, by result.
pub(crate) const RELAYS: &str = "geraniummast_relays_total";
/// Quarantines of requests that crash servers, by change.
pub(crate) const QUARANTINES: &str = "geraniummast_quarantines_total";
/// Connections that listeners closed or refused because of a limit, by listener and reason.
pub(crate) const CLOSED_CONNECTIONS: &str = "geraniummast_closed_connections_total";
/// Connections opened to servers.
pub(crate) const SERVER_CONNECTIONS: &str = "geraniummast_server_connections_total";
/// Calls to the platform's store, by kind and result.
pub(crate) const STORE_CALLS: &str = "geraniummast_store_calls_total";
/// Answers of the store whose era is not the one in force, by what they state.
pub(crate) const STORE_ERAS: &str = "geraniummast_store_eras_total";
/// Time since what this instance knows of the store was known to be complete, in seconds.
pub(crate) const KNOWLEDGE_AGE: &str = "geraniummast_knowledge_age_seconds";
/// Evacuated data centres that this instance knows.
pub(crate) const EVACUATIONS: &str = "geraniummast_evacuated_data_centres";
/// Grants and releases sent to servers, by kind and result.
pub(crate) const ORDERS: &str = "geraniummast_orders_total";
/// Beginnings and ends of the exclusion of servers from keys, by change and reason.
pub(crate) const KEY_EXCLUSIONS: &str = "geraniummast_key_exclusions_total";
/// Writes of key records, by reason and result.
pub(crate) const RECORD_WRITES: &str = "geraniummast_record_writes_total";
/// Requests for updates to other instances, by result.
pub(crate) const FEED_REQUESTS: &str = "geraniummast_feed_requests_total";
/// Bytes of the feed's replies, by direction.
pub(crate) const FEED_BYTES: &str = "geraniummast_feed_bytes_total";
/// Time to read and install a configuration, in seconds.
pub(crate) const CONFIGURATION_SECONDS: &str = "geraniummast_configuration_seconds";
