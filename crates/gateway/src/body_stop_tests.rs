//! Request bodies that are being read when a stop answers all pending requests.

use crate::{prelude::*, test_callers, test_node};
use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Instant,
};

/// Longest time for which an outcome is waited for.
const MAX_WAIT: Duration = Duration::from_secs(10);

// Guards against a caller whose body is still on its way at the end of a stop: its connection was cut
// by the end of the process, and the stop lasted for its longest time.
#[test]
fn request_whose_body_is_being_read_is_refused_at_the_end_of_a_stop() {
    let node = Arc::new(test_node::build_with(&["--body-stall-s=3600"]));
    let route = test_callers::order_route(Duration::from_secs(600));
    test_callers::install_route(&node, route);
    let (address, _) = test_callers::serve(&node, HttpLimits::default());

    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
    let head = "POST /order/x HTTP/1.1\r\nhost: a.example\r\ncontent-length: 9\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(b"part").unwrap();
    let started = Instant::now();
    while node.body_memory.used() == 0 {
        assert!(started.elapsed() < MAX_WAIT, "body is not read");
        std::thread::sleep(Duration::from_millis(5));
    }
    node.cancel_pending.set();
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer);
    assert!(read.is_ok(), "{read:?} {answer}");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: 0.02"), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    assert_eq!(node.body_memory.used(), 0);
}
