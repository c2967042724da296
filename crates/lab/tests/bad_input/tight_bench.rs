//! A bench with tight bounds, and raw connections to it.

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

/// Longest time that any test waits for an outcome.
pub(crate) const PATIENCE: Duration = Duration::from_secs(30);
pub(crate) const MAX_CONNECTIONS: usize = 8;
pub(crate) const MAX_FRAME_BYTES: usize = 1 << 16;

/// A bench with one more instance, whose bounds are tight.
pub(crate) struct TightBench {
    pub(crate) bench: TestCluster,
    pub(crate) tight: InstanceHandle,
}

impl Drop for TightBench {
    fn drop(&mut self) {
        self.tight.kill();
    }
}

impl TightBench {
    pub(crate) async fn start() -> Self {
        let bench = TestCluster::start(&ClusterPlan::default()).await.unwrap();
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
            .store_address(bench.store.address())
            .peer_secret("bench-secret")
            .limits(limits)
            .peer_limits(peer_limits)
            .max_body_bytes(1_024)
            .body_timeout(Duration::from_millis(300))
            .build();
        let tight = InstanceHandle::start(settings, TcpDialer::direct())
            .await
            .unwrap();
        let started = Self { bench, tight };
        until(|| started.is_serving()).await;
        started
    }

    /// Sends `input` to the callers' listener and reads until the connection ends.
    pub(crate) fn send(&self, input: &[u8]) -> String {
        let mut stream = open(self.tight.caller_address());
        let _ = stream.write_all(input);
        read_all(stream)
    }

    pub(crate) fn is_serving(&self) -> bool {
        let answer =
            self.send(b"GET /reports/weld-7 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
        answer.starts_with("HTTP/1.1 200")
    }

    pub(crate) fn dump(&self) -> Value {
        let mut stream = open(self.tight.operator_address());
        stream
            .write_all(b"GET /dump HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
            .unwrap();
        let text = read_all(stream);
        serde_json::from_str(text.split_once("\r\n\r\n").unwrap().1).unwrap()
    }

    /// Asserts that `input` is refused or cut off, runs nothing and does no harm.
    ///
    /// Refusals of our own name a reason and say that nothing ran; the HTTP library's do not.
    pub(crate) async fn assert_refused(&self, case: &str, reason: Option<&str>, input: &[u8]) {
        let before = self.bench.ledger.runs().len();
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
        assert_eq!(self.bench.ledger.runs().len(), before, "{case}");
        until(|| self.is_serving()).await;
    }
}

pub(crate) fn open(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

/// Everything up to the end of the connection; a reset is an end.
pub(crate) fn read_all(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) => {
                let late = [std::io::ErrorKind::WouldBlock, std::io::ErrorKind::TimedOut];
                assert!(!late.contains(&error.kind()), "connection left open");
                break;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

pub(crate) async fn until(holds: impl Fn() -> bool) {
    let deadline = SteadyClock.now().after(PATIENCE);
    while !holds() {
        assert!(SteadyClock.now() < deadline, "no such outcome in time");
        Timer::after(Duration::from_millis(20)).await;
    }
}

pub(crate) fn filing(headers: &str, body: &str) -> Vec<u8> {
    format!("POST /reports/weld-7/file HTTP/1.1\r\nhost: x\r\n{headers}\r\n{body}").into_bytes()
}
