//! A cluster with an instance whose limits are low, and raw connections to that instance.

use {
    async_io::Timer,
    geraniummast_daemon::{DaemonSettings, InstanceHandle, PeerLimits},
    geraniummast_lab::{ClusterPlan, TestCluster},
    geraniummast_net::{HttpLimits, SteadyClock, TcpDialer},
    serde_json::Value,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        time::Duration,
    },
};

/// Time limit for an expected outcome.
pub(crate) const OUTCOME_TIMEOUT: Duration = Duration::from_secs(30);
pub(crate) const MAX_CONNECTIONS: usize = 8;
pub(crate) const MAX_FRAME_BYTES: usize = 1 << 16;

/// Cluster with one more instance, whose limits are low enough for tests to exceed.
pub(crate) struct LowLimitCluster {
    pub(crate) cluster: TestCluster,
    pub(crate) limited: InstanceHandle,
}

impl Drop for LowLimitCluster {
    fn drop(&mut self) {
        self.limited.kill();
    }
}

impl LowLimitCluster {
    pub(crate) async fn start() -> Self {
        let cluster = TestCluster::start(&ClusterPlan::default()).await.unwrap();
        let limits = HttpLimits {
            max_connections: MAX_CONNECTIONS,
            max_head_bytes: 8_192,
            max_headers: 16,
            head_timeout: Duration::from_millis(300),
        };
        let peer_limits = PeerLimits {
            max_connections: MAX_CONNECTIONS,
            max_frame_bytes: MAX_FRAME_BYTES,
            proof_timeout: Duration::from_millis(300),
        };
        let settings = DaemonSettings::builder("tight")
            .store_address(cluster.store.address())
            .peer_secret("bench-secret")
            .limits(limits)
            .peer_limits(peer_limits)
            .max_body_bytes(1_024)
            .body_timeout(Duration::from_millis(300))
            .build();
        let limited = InstanceHandle::start(settings, TcpDialer::direct())
            .await
            .unwrap();
        let started = Self { cluster, limited };
        wait_until(|| started.is_serving()).await;
        started
    }

    /// Sends `input` to the limited instance as a caller and reads until the connection ends.
    pub(crate) fn send(&self, input: &[u8]) -> String {
        let mut stream = open(self.limited.caller_address());
        let _ = stream.write_all(input);
        read_all(stream)
    }

    pub(crate) fn is_serving(&self) -> bool {
        let answer =
            self.send(b"GET /reports/weld-7 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
        answer.starts_with("HTTP/1.1 200")
    }

    pub(crate) fn dump(&self) -> Value {
        let mut stream = open(self.limited.operator_address());
        stream
            .write_all(b"GET /dump HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
            .unwrap();
        let text = read_all(stream);
        serde_json::from_str(text.split_once("\r\n\r\n").unwrap().1).unwrap()
    }

    /// Asserts that `input` is refused or cut off, that nothing runs and that the instance goes on
    /// serving.
    ///
    /// Refusals by the daemon name a reason and say that nothing ran; those by the HTTP library do
    /// not.
    pub(crate) async fn assert_refused(&self, case: &str, reason: Option<&str>, input: &[u8]) {
        let before = self.cluster.ledger.runs().len();
        let answer = self.send(input);
        let refused = answer.is_empty()
            || answer.starts_with("HTTP/1.1 4")
            || answer.starts_with("HTTP/1.1 5");
        assert!(refused, "{case}: {answer}");
        if let Some(reason) = reason {
            let header = format!("geraniummast-reason: {reason}\r\n");
            assert!(answer.contains(&header), "{case}: {answer}");
            assert!(
                answer.contains("geraniummast-ran: no\r\n"),
                "{case}: {answer}"
            );
        }
        assert_eq!(self.cluster.ledger.runs().len(), before, "{case}");
        wait_until(|| self.is_serving()).await;
    }
}

pub(crate) fn open(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(OUTCOME_TIMEOUT)).unwrap();
    stream
}

/// Reads up to the end of the connection; a reset counts as its end.
pub(crate) fn read_all(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) => {
                let timeouts = [std::io::ErrorKind::WouldBlock, std::io::ErrorKind::TimedOut];
                assert!(
                    !timeouts.contains(&error.kind()),
                    "the connection was left open"
                );
                break;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

pub(crate) async fn wait_until(condition: impl Fn() -> bool) {
    let deadline = SteadyClock.now().after(OUTCOME_TIMEOUT);
    while !condition() {
        assert!(
            SteadyClock.now() < deadline,
            "the expected outcome did not occur in time"
        );
        Timer::after(Duration::from_millis(20)).await;
    }
}

pub(crate) fn filing(headers: &str, body: &str) -> Vec<u8> {
    format!("POST /reports/weld-7/file HTTP/1.1\r\nhost: x\r\n{headers}\r\n{body}").into_bytes()
}
