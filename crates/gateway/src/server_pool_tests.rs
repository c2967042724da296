//! New connections to servers that reset them.

use crate::{prelude::*, server_pool::ServerPool};
use std::net::{TcpListener, TcpStream};

/// A server that ends each connection right after it was opened, as one does that has too many.
fn start_full_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            drop(stream);
        }
    });
    address
}

fn connect(address: SocketAddr, is_cautious: bool) -> Result<(), ExchangeError> {
    let workers = WorkerPool::start("test", 0).unwrap();
    let pool = ServerPool::new(workers.clone(), address);
    let left = Duration::from_secs(1);
    let connected = pool.connect(SteadyClock.now(), left, is_cautious);
    workers.block_on(connected).map(|_| ())
}

// Guards against requests that end with 502, so that their callers cannot repeat them, although the
// server has reset their connection before it could read them.
#[test]
fn connection_that_is_reset_when_it_is_opened_gets_no_request() {
    let address = start_full_server();
    for _ in 0..20 {
        let connected = connect(address, true);
        // On loopback the reset may even come before the connection counts as open.
        let is_refused = matches!(
            connected,
            Err(ExchangeError::ConnectionRefused(_) | ExchangeError::NotSent(_))
        );
        assert!(is_refused, "{connected:?}");
    }
}

#[test]
fn connection_that_stays_open_is_used() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = std::thread::spawn(move || {
        let streams: Vec<TcpStream> = listener.incoming().take(1).map(Result::unwrap).collect();
        std::thread::sleep(Duration::from_millis(200));
        drop(streams);
    });
    assert!(connect(address, true).is_ok());
    accepted.join().unwrap();
}
