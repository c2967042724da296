//! Tests of a connection that stops answering while its server keeps running.

use {
    bytes::Bytes,
    geraniummast_net::{ExchangeError, ExchangeLimits, HttpClient, TcpDialer, WorkerPool},
    http::Request,
    http_body_util::Full,
    std::{
        io::{Read, Write},
        net::{TcpListener, TcpStream},
        sync::mpsc,
        time::Duration,
    },
};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

fn read_head(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return false,
        }
    }
    true
}

fn request() -> Request<Full<Bytes>> {
    let request = Request::builder().uri("/").header("host", "server");
    request.body(Full::default()).unwrap()
}

#[test]
fn exchange_on_silent_connection_closes_it_and_next_opens_another() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (close_sender, close_receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let (mut first, _) = listener.accept().unwrap();
        assert!(read_head(&mut first));
        first.write_all(ANSWER).unwrap();
        assert!(read_head(&mut first));
        let (mut second, _) = listener.accept().unwrap();
        assert!(read_head(&mut second));
        second.write_all(ANSWER).unwrap();
        close_sender.send(!read_head(&mut first)).unwrap();
    });
    let pool = WorkerPool::start("client", 1).unwrap();
    let client = HttpClient::new(pool.clone(), TcpDialer::direct(), address);
    let limits = ExchangeLimits {
        timeout: Duration::from_secs(60),
        reused_timeout: Duration::from_millis(20),
        stall_timeout: None,
        max_answer_bytes: 16,
    };
    futures_lite::future::block_on(async {
        let first = client.exchange_within(request(), limits).await.unwrap();
        assert_eq!(first.body(), "ok");
        let silent = client.exchange_within(request(), limits).await;
        assert!(matches!(silent, Err(ExchangeError::TimedOut)), "{silent:?}");
        let again = client.exchange_within(request(), limits).await.unwrap();
        assert_eq!(again.body(), "ok");
        assert_eq!(
            close_receiver.recv_timeout(Duration::from_secs(60)),
            Ok(true)
        );
    });
    pool.stop();
}
