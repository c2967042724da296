//! Requests to cold servers, as one instance bounds them.

use crate::{
    attempt_history::AttemptHistory,
    lookup_outcome::LookupOutcome,
    move_planner,
    peer_heartbeat::PeerHeartbeat,
    peer_worker,
    prelude::*,
    quota_wire::{QuotaBody, QuotaMessage},
    quota_worker::{self, TokenOutcome},
    server_lookup::ServerLookup,
    server_lookup_tests, server_reservation_tests, test_node, test_objects, warmup_worker,
};

const COLD_TIME: Duration = Duration::from_secs(8);
const LEFT: Duration = Duration::from_secs(5);

fn entry(id: &str, warmup_left: Duration) -> ServerEntry {
    ServerEntry {
        warmup_left,
        ..test_objects::ready_entry(id)
    }
}

/// Gives an instance a configuration in which the service `s` has a rate for cold servers.
fn install_routes(node: &GatewayNode) {
    let table = test_objects::route_table(1, &["s"]);
    let mut services = table.services().clone();
    services["s"].cold_time = COLD_TIME;
    services["s"].cold_rate = Some(7.3);
    let limits = table.limits();
    node.install_routes(
        RouteTable::new(1, IndexMap::new(), services, limits),
        1.into(),
    );
}

fn add_server(node: &GatewayNode, entry: &ServerEntry, revision: u64) -> Arc<ServerRuntime> {
    test_objects::put_server(node, entry, revision);
    node.server(&entry.incarnation).unwrap()
}

/// An instance that keeps the bound, with one server that is cold for `left`.
fn node_with_server(left: Duration) -> (Arc<GatewayNode>, Arc<ServerRuntime>) {
    let node = Arc::new(test_node::build_with_warmup_bound());
    install_routes(&node);
    let server = add_server(&node, &entry("s1", left), 1);
    (node, server)
}

fn needs_token(node: &Arc<GatewayNode>, server: &ServerRuntime) -> bool {
    let outcome = quota_worker::take_token(node, server, true);
    !matches!(outcome, TokenOutcome::NotNeeded)
}

fn look_up(node: &Arc<GatewayNode>) -> LookupOutcome {
    let (call, history) = (
        server_lookup_tests::late_call(node.now()),
        AttemptHistory::default(),
    );
    let state = node.service("s");
    ServerLookup::new(node, &call, &state, &history, None).run()
}

// Guards against a bound that takes effect without the operators' settings.
#[test]
fn cold_server_is_limited_only_with_both_settings_and_a_rate() {
    for flags in [
        &[] as &[&str],
        &["--warmup-overage=", "--warmup-slack="],
        &["--warmup-overage=1.5", "--warmup-slack="],
    ] {
        let node = Arc::new(test_node::build_with(flags));
        install_routes(&node);
        let server = add_server(&node, &entry("s1", LEFT), 1);
        assert!(!needs_token(&node, &server), "{flags:?}");
        assert!(server.is_warming_up(false, node.now()));
        warmup_worker::apply_answer(&node, &server, Some(LEFT));
        assert!(warmup_worker::cold_servers(&node, true, node.now()).is_empty());
    }
    let node = Arc::new(test_node::build_with_warmup_bound());
    node.install_routes(test_objects::route_table(1, &["s"]), 1.into());
    let server = add_server(&node, &entry("s1", LEFT), 1);
    assert!(!needs_token(&node, &server), "no rate is configured");
}

#[test]
fn cold_server_needs_tokens_from_its_first_entry_on_and_others_need_none() {
    let (node, cold) = node_with_server(LEFT);
    let warm = add_server(&node, &entry("s2", Duration::ZERO), 2);
    assert!(needs_token(&node, &cold) && !needs_token(&node, &warm));
}

// Guards against a known server that gets full load when it has become cold again, and against one
// that stays cold since its last entry is read again.
#[test]
fn entry_that_says_more_makes_a_known_server_cold_again() {
    let (node, server) = node_with_server(Duration::ZERO);
    assert!(!needs_token(&node, &server));
    add_server(&node, &entry("s1", LEFT), 2);
    assert!(needs_token(&node, &server));
    let left = server.quota.lock().warmup.time_left(node.now());
    node.refresh_servers();
    assert!(server.quota.lock().warmup.time_left(node.now()) <= left);
}

#[test]
fn cold_server_has_the_lower_of_its_rates() {
    let (node, server) = node_with_server(LEFT);
    let now = node.now();
    let cold_rate = warmup_worker::cold_rate(&node, "s");
    assert_eq!(cold_rate, Some(7.3));
    for (named, expected) in [(100.0, 7.3), (2.0, 2.0)] {
        let mut quota = server.quota.lock();
        quota.limit.apply(LimitNotice::PerSecond(named), now, now);
        assert_eq!(quota.per_second(cold_rate, now), Some(expected));
        let later = now.after(LEFT);
        assert_eq!(quota.per_second(cold_rate, later), Some(named));
    }
}

// Guards against keys that stay with a cold server, whose requests are then refused.
#[test]
fn planner_sees_the_rate_of_a_cold_server() {
    let (node, _) = node_with_server(LEFT);
    add_server(&node, &entry("s2", Duration::ZERO), 2);
    let planned = move_planner::eligible_servers(&node, "s", node.now());
    let of = |id: &str| {
        let mut servers = planned.iter();
        let server = servers.find(|server| server.incarnation.id == id);
        server.unwrap()
    };
    let window_s = KeyView::load_window_s();
    assert_eq!(of("s1").limit, Some(7.3 * window_s));
    assert!(of("s1").capacity <= 7.3);
    assert_eq!(of("s2").limit, None);
}

// Guards against requests without a key that are refused, or overload a cold server, while another
// server has room.
#[test]
fn request_without_a_key_passes_a_cold_server_without_tokens_over() {
    let (node, cold) = node_with_server(LEFT);
    for _ in 0..100 {
        let took = Duration::from_millis(10);
        cold.load.lock().record_success(took, false);
    }
    let LookupOutcome::Refuse(RefusalReason::Limited(pause)) = look_up(&node) else {
        panic!("the new bucket is empty");
    };
    assert!(pause > Duration::ZERO && pause < Duration::from_secs(2));
    add_server(&node, &entry("s2", Duration::ZERO), 2);
    let LookupOutcome::Reserved(reservation) = look_up(&node) else {
        panic!("the warm server has room");
    };
    assert_eq!(reservation.server.incarnation().id, "s2");
}

// Guards against requests that were on their way to a server when it became cold, and against
// requests with tokens that gather while they connect.
#[test]
fn reserved_request_is_sent_to_a_cold_server_with_a_recent_token_only() {
    let (node, server) = node_with_server(Duration::ZERO);
    let mut reservation = server_reservation_tests::reservation_of(&node, &server, None);
    let now = node.now();
    assert!(warmup_worker::may_send(&node, &reservation, now));
    warmup_worker::apply_answer(&node, &server, Some(LEFT));
    assert!(!warmup_worker::may_send(&node, &reservation, now));
    reservation.is_cold = true;
    assert!(warmup_worker::may_send(&node, &reservation, now));
    let late = reservation.reserved_at.after(WarmupBound::SENDING_TIME);
    assert!(!warmup_worker::may_send(&node, &reservation, late));
}

// Guards against instances that learn of a cold server from its entry only, up to two seconds late.
#[test]
fn answer_makes_a_server_cold_at_all_instances() {
    let (node, server) = node_with_server(Duration::ZERO);
    warmup_worker::apply_answer(&node, &server, Some(LEFT));
    assert!(needs_token(&node, &server));
    let told = warmup_worker::cold_servers(&node, false, node.now());
    assert_eq!(told.len(), 1);
    let (other, same_server) = node_with_server(Duration::ZERO);
    let heartbeat = PeerHeartbeat {
        instance: "i2".into(),
        cold: told,
        ..PeerHeartbeat::default()
    };
    peer_worker::handle_heartbeat(&other, heartbeat);
    assert!(needs_token(&other, &same_server));
    assert!(warmup_worker::cold_servers(&other, false, other.now()).is_empty());
    assert_eq!(
        warmup_worker::cold_servers(&other, true, other.now()).len(),
        1
    );
}

// Guards against an answer of another server at the same address.
#[test]
fn answer_of_another_server_says_nothing() {
    let (node, server) = node_with_server(Duration::ZERO);
    for (id, is_cold) in [("s2", false), ("s1", true)] {
        let fields = AnswerHeaders {
            server_id: Some(id),
            warmup_left: Some(LEFT),
            ..AnswerHeaders::default()
        };
        let mut answer = http::HeaderMap::new();
        fields.set(&mut answer);
        warmup_worker::apply_headers(&node, &server, &answer);
        assert_eq!(needs_token(&node, &server), is_cold);
    }
}

// Guards against a holder that does not know that the server is cold, or is of an earlier build, and
// grants as many tokens as asked for.
#[test]
fn grant_of_a_holder_that_takes_a_cold_server_for_warm_does_not_count() {
    for (cold_left, is_taken) in [(None, false), (Some(LEFT), true)] {
        let (node, server) = node_with_server(LEFT);
        let step = server
            .quota
            .lock()
            .client
            .next_step(true, 7.3, 2, node.now(), 0.5);
        let QuotaStep::Ask(ask) = step else {
            panic!("{step:?}");
        };
        let message = QuotaMessage {
            sender: InstanceIncarnation {
                instance: "i2".into(),
                incarnation: 1,
            },
            server: server.incarnation().clone(),
            report: None,
            cold_left,
            body: QuotaBody::Grant(QuotaGrant {
                number: ask.number,
                tokens: ask.wanted,
                pause: Duration::ZERO,
            }),
        };
        quota_worker::handle(&node, &message, SocketAddr::from(([127, 0, 0, 1], 10)));
        let outcome = quota_worker::take_token(&node, &server, false);
        let has_token = matches!(outcome, TokenOutcome::Taken { is_cold: true });
        assert_eq!(has_token, is_taken, "{cold_left:?}");
    }
}

// Guards against tokens of a server's own, higher limit that the holder grants once more, as for a cold
// server, when an instance repeats its ask: each instance may have one open.
#[test]
fn repeated_ask_does_not_get_the_tokens_granted_before_the_server_became_cold() {
    let (node, server) = node_with_server(Duration::ZERO);
    let peer = InstanceIncarnation {
        instance: "i2".into(),
        incarnation: 1,
    };
    let held_since = node.now();
    let answer = |number, per_second, at| {
        let ask = QuotaAsk { number, wanted: 64 };
        let mut quota = server.quota.lock();
        let grant = quota.answer(&peer, ask, held_since, per_second, at);
        grant.tokens
    };
    answer(1, 1_000.0, held_since);
    let asked_at = held_since.after(Duration::from_secs(1));
    assert_eq!(answer(2, 1_000.0, asked_at), 52);
    warmup_worker::apply_answer(&node, &server, Some(LEFT));
    let repeated_at = asked_at.after(Duration::from_millis(20));
    assert_eq!(answer(2, 7.3, repeated_at), 0);
    // The bucket fills at the rate for cold servers.
    let later = repeated_at.after(Duration::from_secs(1));
    assert_eq!(answer(3, 7.3, later), 2);
}

// Guards against full load on a data centre that is taken back: its servers may have become cold
// shortly before, and their entries say so up to two seconds later.
#[test]
fn servers_of_a_data_centre_that_was_taken_back_are_presumed_cold() {
    let (node, server) = node_with_server(Duration::ZERO);
    let elsewhere = ServerEntry {
        data_centre: "dc2".into(),
        ..entry("s2", Duration::ZERO)
    };
    let other = add_server(&node, &elsewhere, 2);
    let since = node.now();
    warmup_worker::presume_cold(&node, "dc1", since);
    assert!(needs_token(&node, &server) && !needs_token(&node, &other));
    warmup_worker::presume_cold(&node, "dc1", since);
    add_server(&node, &entry("s1", Duration::ZERO), 3);
    let is_cold = |at| server.quota.lock().warmup.is_cold(at);
    let end = since.after(COLD_TIME);
    assert!(is_cold(end.before(Duration::from_millis(1))) && !is_cold(end));
}
