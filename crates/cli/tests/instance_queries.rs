//! Tests of queries to instances: to simulated operator ports and to running instances.

mod support;

use {
    bytes::Bytes,
    futures_lite::future::block_on,
    geraniummast_cli::{CliVerb, ExitStatus, execute},
    geraniummast_lab::{ClusterPlan, TestCluster},
    geraniummast_net::{HttpLimits, HttpListener, WorkerPool},
    http::{Method, Request, Response, StatusCode},
    http_body_util::Full,
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    support::{TestDirectory, VALID_DECLARATIONS, expect, settings, store_with_declarations},
};

/// State of a simulated operator port.
#[derive(Default)]
struct PortState {
    revision: AtomicU64,
    draining: AtomicBool,
}

struct SimulatedPort {
    pool: Arc<WorkerPool>,
    address: SocketAddr,
    state: Arc<PortState>,
}

impl Drop for SimulatedPort {
    fn drop(&mut self) {
        self.pool.stop();
    }
}

fn dump(name: &str, state: &PortState) -> Value {
    json!({
        "instance": format!("{name}#1"),
        "data_centre": "dc1",
        "revision": state.revision.load(Ordering::SeqCst),
        "preset": "ordinary",
        "ready": true,
        "draining": state.draining.load(Ordering::SeqCst),
        "store": {"state": "up"},
        "parts": [{
            "part": "reports/0", "term": 2, "edition": 5, "leader": "entry-0#1",
            "led_here": name == "entry-0",
            "slices": [
                {"start": "0", "end": "7", "owner": "view-1", "grant_left_ms": 90},
                {"start": "8", "end": "f", "owner": "view-2", "grant_left_ms": null},
            ],
        }],
        "servers": [{"service": "reports", "server": "view-1", "state": "active",
                     "running": 1, "queued": 0, "slots": 3}],
    })
}

fn start_port(name: &'static str, revision: u64) -> SimulatedPort {
    let pool = WorkerPool::start(name, 1).unwrap();
    let state = Arc::new(PortState::default());
    state.revision.store(revision, Ordering::SeqCst);
    let any = ([127, 0, 0, 1], 0).into();
    let listener = block_on(HttpListener::bind(any, HttpLimits::default())).unwrap();
    let address = listener.local_address().unwrap();
    let shared = state.clone();
    let answer = move |request: Request<_>| {
        let authorised = request
            .headers()
            .get("authorization")
            .is_some_and(|value| value == "Bearer open");
        let (status, value) = match (request.method(), request.uri().path()) {
            (&Method::GET, "/dump" | "/status") => (StatusCode::OK, dump(name, &shared)),
            (&Method::GET, "/explain") => {
                let led = name == "entry-0";
                let query = request.uri().query().unwrap_or_default().to_string();
                (
                    StatusCode::OK,
                    json!({"led_here": led, "leader": "entry-0#1", "part": query}),
                )
            }
            (&Method::POST, "/drain") if authorised => {
                shared.draining.store(true, Ordering::SeqCst);
                (StatusCode::ACCEPTED, json!({}))
            }
            (&Method::POST, _) => (StatusCode::UNAUTHORIZED, json!({"error": "unauthorised"})),
            _ => (StatusCode::NOT_FOUND, json!({"error": "not-found"})),
        };
        let mut response = Response::new(Full::new(Bytes::from(value.to_string())));
        *response.status_mut() = status;
        std::future::ready(response)
    };
    pool.spawn(listener.serve(pool.clone(), answer));
    SimulatedPort {
        pool,
        address,
        state,
    }
}

#[test]
fn wait_reports_instances_behind_the_revision() {
    let directory = TestDirectory::new("wait", &[("a.toml", VALID_DECLARATIONS)]);
    let store = store_with_declarations(&directory);
    let (first, second) = (start_port("entry-0", 2), start_port("entry-1", 1));
    let mut ada = settings(&store, "ada");
    ada.wait = true;
    ada.wait_timeout = Duration::from_millis(300);
    ada.instances = vec![first.address, second.address];
    let peak = CliVerb::PresetUse("peak".into());
    let report = expect(ExitStatus::Behind, &peak, &ada);
    assert_eq!(report.json["behind"], json!(["entry-1#1: revision 1"]));
    second.state.revision.store(2, Ordering::SeqCst);
    let report = expect(ExitStatus::Done, &peak, &ada);
    assert_eq!(report.json["behind"], json!([]));
}

#[test]
fn status_prefers_leader_view_and_reports_silent_instances() {
    let directory = TestDirectory::new("status", &[("a.toml", VALID_DECLARATIONS)]);
    let store = store_with_declarations(&directory);
    let (first, second) = (start_port("entry-0", 1), start_port("entry-1", 1));
    let mut ada = settings(&store, "ada");
    ada.instances = vec![first.address, second.address];
    let report = expect(ExitStatus::Done, &CliVerb::Status, &ada);
    assert_eq!(report.json["services"][0]["unavailable"], 1);
    assert_eq!(report.json["servers"][0]["owned_slices"], 1);
    assert!(
        report.text.lines().all(|line| line.chars().count() <= 80),
        "{}",
        report.text
    );
    let address = first.address;
    drop(first);
    while std::net::TcpStream::connect(address).is_ok() {
        std::thread::yield_now();
    }
    let report = expect(ExitStatus::Unreachable, &CliVerb::Status, &ada);
    assert_eq!(report.json["services"][0]["unavailable"], Value::Null);
    assert!(report.text.contains("silent"), "{}", report.text);
}

#[test]
fn explain_shows_answer_of_part_leader() {
    let directory = TestDirectory::new("explain", &[("a.toml", VALID_DECLARATIONS)]);
    let store = store_with_declarations(&directory);
    let (first, second) = (start_port("entry-0", 1), start_port("entry-1", 1));
    let mut ada = settings(&store, "ada");
    ada.instances = vec![second.address, first.address];
    let verb = CliVerb::Explain {
        service: "reports".into(),
        key: "weld 7/a".into(),
    };
    let report = expect(ExitStatus::Done, &verb, &ada);
    assert_eq!(report.json["led_here"], true);
    assert_eq!(report.json["part"], "service=reports&key=weld%207%2Fa");
}

#[test]
fn drain_of_server_is_a_revision_and_of_instance_a_call_to_its_port() {
    let directory = TestDirectory::new("drain", &[("a.toml", VALID_DECLARATIONS)]);
    let store = store_with_declarations(&directory);
    let port = start_port("entry-0", 1);
    let mut ada = settings(&store, "ada");
    ada.instances = vec![port.address];
    let report = expect(ExitStatus::Done, &CliVerb::Drain("view-1".into()), &ada);
    assert_eq!(report.json["revision"], 2);
    expect(ExitStatus::Refused, &CliVerb::Drain("view-2".into()), &ada);
    expect(ExitStatus::Refused, &CliVerb::Drain("entry-9".into()), &ada);
    expect(ExitStatus::Refused, &CliVerb::Drain("entry-0".into()), &ada);
    assert!(!port.state.draining.load(Ordering::SeqCst));
    ada.token = "open".into();
    expect(ExitStatus::Done, &CliVerb::Drain("entry-0".into()), &ada);
    assert!(port.state.draining.load(Ordering::SeqCst));
    ada.undo = true;
    let report = execute(&CliVerb::Drain("view-1".into()), &ada);
    assert_eq!(report.json["revision"], 3, "{}", report.text);
}

#[test]
fn drain_on_running_instances_shows_in_status_plan_and_explain() {
    let cluster = block_on(TestCluster::start(&ClusterPlan::default())).unwrap();
    let mut ada = settings(&cluster.store, "ada");
    ada.wait = true;
    ada.wait_timeout = Duration::from_secs(30);
    ada.instances = cluster
        .instances
        .iter()
        .map(|node| node.operator_address())
        .collect();

    let dump = expect(ExitStatus::Done, &CliVerb::Dump, &ada);
    let server = &dump.json[0]["servers"][0];
    let name = server["server"].as_str().unwrap();
    let drain = expect(ExitStatus::Done, &CliVerb::Drain(name.into()), &ada);
    assert_eq!(drain.json["behind"], serde_json::json!([]));

    let status = expect(ExitStatus::Done, &CliVerb::Status, &ada);
    let servers = status.json["servers"].as_array().unwrap();
    let row = servers.iter().find(|row| row["server"] == name).unwrap();
    assert_eq!(row["state"], "drained");
    let revisions: Vec<_> = status.json["instances"]
        .as_array()
        .unwrap()
        .iter()
        .collect();
    assert_eq!(revisions.len(), ada.instances.len());
    assert!(
        revisions
            .iter()
            .all(|row| row["revision"] == drain.json["revision"])
    );
    let wide = status.text.lines().find(|line| line.chars().count() > 80);
    assert_eq!(wide, None);

    let directory = TestDirectory::new("moves", &[("a.toml", VALID_DECLARATIONS)]);
    let mut pruning = ada.clone();
    pruning.prune = true;
    let plan = expect(ExitStatus::Done, &CliVerb::Plan(directory.path()), &pruning);
    let owner = servers.iter().find(|row| row["owned_slices"] != 0).unwrap();
    let moves = plan.json["moves"].as_array().unwrap();
    let preview = moves
        .iter()
        .find(|preview| preview["service"] == owner["service"])
        .unwrap();
    let leaving = preview["leaving"].as_object().unwrap();
    let moved: u64 = leaving.values().filter_map(Value::as_u64).sum();
    assert_eq!(preview["slices"], moved, "{}", plan.text);

    let verb = CliVerb::Explain {
        service: server["service"].as_str().unwrap().into(),
        key: "weld 7".into(),
    };
    let explained = expect(ExitStatus::Done, &verb, &ada);
    assert_eq!(explained.json["led_here"], true, "{}", explained.text);
    let unknown = CliVerb::Explain {
        service: "nothing".into(),
        key: "weld 7".into(),
    };
    expect(ExitStatus::Refused, &unknown, &ada);
}
