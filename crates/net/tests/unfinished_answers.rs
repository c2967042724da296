//! Tests of connections whose peers have not yet read all blocks of an answer.

mod common;

use {
    common::ObservedListener,
    geraniummast_model::MonoTime,
    geraniummast_net::{
        BodyWriter, ConnectionEvent, HttpLimits, HttpListener, MemoryBudget, StallLimits,
        StoredBody,
    },
    http::Response,
    std::{
        io::{Read, Write},
        net::TcpStream,
        sync::Arc,
        time::Duration,
    },
};

/// More than the buffers of two sockets hold.
const BODY_BYTES: usize = 32 << 20;
const MAX_CONNECTIONS: usize = 2;

/// Listener that replaces resting connections and answers with a body in blocks.
fn start() -> ObservedListener {
    let limits = HttpLimits {
        max_connections: MAX_CONNECTIONS,
        head_timeout: Duration::from_secs(600),
        ..HttpLimits::default()
    };
    let configure = |listener: HttpListener| {
        listener.replace_resting().close_stalled(|| StallLimits {
            head: Duration::from_millis(300),
            write: Duration::from_secs(600),
        })
    };
    let budget = MemoryBudget::new(usize::MAX);
    ObservedListener::start(limits, configure, move |_| {
        let body = body_in_blocks(&budget);
        async move { Response::new(body) }
    })
}

/// Requests the body and reads its first byte only.
fn begin_answer(listener: &ObservedListener) -> TcpStream {
    let mut stream = listener.open();
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        .unwrap();
    let mut byte = [0];
    stream.read_exact(&mut byte).unwrap();
    // Lets the listener fill the buffers of both sockets.
    std::thread::sleep(Duration::from_millis(300));
    stream
}

fn body_in_blocks(budget: &Arc<MemoryBudget>) -> StoredBody {
    let now = MonoTime(0);
    let mut writer = BodyWriter::answer(budget, Some(BODY_BYTES), now);
    writer.push(&vec![b'x'; BODY_BYTES], now).unwrap();
    writer.finish().unwrap()
}

// Guards against an answer that is cut as a stalled head: its first blocks had been sent, and the
// caller sent a part of its next request before it read the rest.
#[test]
fn answer_is_complete_although_the_next_head_has_begun() {
    let listener = start();
    let mut stream = begin_answer(&listener);
    stream.write_all(b"GET /next").unwrap();
    // Longer than the limit of a head and the time between two checks.
    std::thread::sleep(Duration::from_millis(2_500));
    assert_eq!(listener.events.try_recv().ok(), None);
    let mut piece = vec![0; 1 << 16];
    let mut received = 0;
    while received < BODY_BYTES {
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => break,
            Ok(bytes) => received += bytes,
        }
    }
    assert!(received >= BODY_BYTES, "{received}");
}

// Guards against connections beyond the limit: one in the middle of its answer counted as resting,
// gave way without closing, and was not counted any more.
#[test]
fn connection_that_sends_an_answer_does_not_give_way() {
    let listener = start();
    let _answers: Vec<_> = (0..MAX_CONNECTIONS)
        .map(|_| begin_answer(&listener))
        .collect();
    assert_eq!(listener.connections.resting(), 0);
    let mut refused = TcpStream::connect(listener.address).unwrap();
    assert_eq!(refused.read(&mut [0]).unwrap_or_default(), 0);
    assert_eq!(listener.next_event(), ConnectionEvent::Refused);
    assert_eq!(listener.connections.count(), MAX_CONNECTIONS);
}
