//! Malformed, oversized and incomplete input, over raw sockets.

mod low_limit_cluster;

use {
    crate::low_limit_cluster::*,
    futures_lite::future::block_on,
    std::{io::Write, net::Shutdown, time::Duration},
};

#[test]
fn malformed_or_oversized_requests_are_refused_and_do_not_run() {
    block_on(async {
        let cluster = LowLimitCluster::start().await;
        let long = format!("x-long: {}\r\n", "a".repeat(20_000));
        let many: String = (0..40).map(|index| format!("x-{index}: 1\r\n")).collect();
        let body = "b".repeat(2_000);
        let sized = format!("content-length: {}\r\nconnection: close\r\n", body.len());
        let endless = format!("7d0\r\n{body}\r\n").repeat(64);
        let id = "01890a5d-ac96-774b-bcce-b302099a8057";
        let ids = format!(
            "geraniummast-request-id: {id}\r\ngeraniummast-request-id: {id}\r\nconnection: close\r\n"
        );
        let mut bad_bytes = filing("geraniummast-request-id: #\r\nconnection: close\r\n", "");
        let at = bad_bytes.iter().position(|byte| *byte == b'#').unwrap();
        bad_bytes[at] = 0xff;
        let cases = [
            (
                "not HTTP",
                None,
                b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n\r\n".to_vec(),
            ),
            ("oversized head", None, filing(&long, "")),
            ("too many headers", None, filing(&many, "")),
            (
                "two content lengths",
                None,
                filing("content-length: 3\r\ncontent-length: 4\r\n", "abcd"),
            ),
            (
                "invalid content length",
                None,
                filing("content-length: -1\r\n", ""),
            ),
            (
                "invalid chunk size",
                Some("bad-request"),
                filing("transfer-encoding: chunked\r\n", "zz\r\nabc\r\n"),
            ),
            (
                "oversized body",
                Some("body-too-large"),
                filing(&sized, &body),
            ),
            (
                "endless chunks",
                Some("body-too-large"),
                filing("transfer-encoding: chunked\r\n", &endless),
            ),
            (
                "invalid request id",
                Some("bad-request"),
                filing(
                    "geraniummast-request-id: seven\r\nconnection: close\r\n",
                    "",
                ),
            ),
            ("two request ids", Some("bad-request"), filing(&ids, "")),
            ("request id not in UTF-8", Some("bad-request"), bad_bytes),
            (
                "space in target",
                None,
                b"GET /reports/a b HTTP/1.1\r\nhost: x\r\n\r\n".to_vec(),
            ),
        ];
        for (case, reason, input) in cases {
            cluster.assert_refused(case, reason, &input).await;
        }
    });
}

#[test]
fn incomplete_requests_are_cut_off_and_do_not_run() {
    block_on(async {
        let cluster = LowLimitCluster::start().await;
        let cases = [
            ("empty request", Vec::new()),
            (
                "incomplete head",
                b"POST /reports/weld-7/file HTTP/1.1\r\nhost: x\r\nconte".to_vec(),
            ),
            (
                "incomplete body",
                filing("content-length: 100\r\nconnection: close\r\n", "half"),
            ),
            (
                "incomplete chunk",
                filing(
                    "transfer-encoding: chunked\r\nconnection: close\r\n",
                    "ff\r\nhalf",
                ),
            ),
        ];
        for (case, input) in &cases {
            cluster.assert_refused(case, None, input).await;
        }
        for (case, input) in &cases {
            let before = cluster.cluster.ledger.runs().len();
            let mut stream = open(cluster.limited.caller_address());
            stream.write_all(input).unwrap();
            stream.shutdown(Shutdown::Write).unwrap();
            let answer = read_all(stream);
            assert!(!answer.starts_with("HTTP/1.1 2"), "{case}: {answer}");
            assert_eq!(cluster.cluster.ledger.runs().len(), before, "{case}");
        }
        assert_slow_head_is_cut_off(&cluster);
        wait_until(|| cluster.is_serving()).await;
    });
}

/// Sends a head one byte at a time and asserts that the connection is closed eventually.
fn assert_slow_head_is_cut_off(cluster: &LowLimitCluster) {
    let mut stream = open(cluster.limited.caller_address());
    let ended = (0..10_000).any(|_| {
        std::thread::sleep(Duration::from_millis(5));
        stream.write_all(b"a").is_err()
    });
    assert!(ended, "the connection with an endless head was not closed");
}

#[test]
fn pipelined_requests_are_answered_in_order_and_smuggled_ones_do_not_run() {
    block_on(async {
        let cluster = LowLimitCluster::start().await;
        let answer = cluster.send(
            b"GET /reports/first HTTP/1.1\r\nhost: x\r\n\r\n\
              GET /reports/second HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        );
        let first = answer.find("GET /reports/first [").expect("first answer");
        let second = answer.find("GET /reports/second [").expect("second answer");
        assert!(first < second);
        let before = cluster.cluster.ledger.runs().len();
        let smuggled = "POST /reports/weld-7/file HTTP/1.1\r\nhost: x\r\n\r\n";
        let headers = "transfer-encoding: chunked\r\ncontent-length: 5\r\n";
        let answer = cluster.send(&filing(headers, &format!("0\r\n\r\n{smuggled}")));
        assert!(answer.matches("HTTP/1.1 ").count() <= 1, "{answer}");
        assert!(cluster.cluster.ledger.runs().len() <= before + 1);
        wait_until(|| cluster.is_serving()).await;
    });
}

#[test]
fn connections_beyond_the_limit_are_closed_and_closed_ones_are_freed() {
    block_on(async {
        let cluster = LowLimitCluster::start().await;
        wait_until(|| cluster.dump()["connections"]["callers"] == 0).await;
        let held: Vec<_> = (0..MAX_CONNECTIONS)
            .map(|_| open(cluster.limited.caller_address()))
            .collect();
        wait_until(|| cluster.dump()["connections"]["callers"] == MAX_CONNECTIONS).await;
        assert_eq!(read_all(open(cluster.limited.caller_address())), "");
        drop(held);
        wait_until(|| cluster.dump()["connections"]["callers"] == 0).await;
        for _ in 0..3 * MAX_CONNECTIONS {
            let mut stream = open(cluster.limited.caller_address());
            stream
                .write_all(&filing("content-length: 9\r\n", "half"))
                .unwrap();
        }
        wait_until(|| cluster.dump()["connections"]["callers"] == 0).await;
        wait_until(|| cluster.is_serving()).await;
    });
}

#[test]
fn peer_connection_without_valid_proof_is_closed_and_counted() {
    block_on(async {
        let cluster = LowLimitCluster::start().await;
        let address = cluster.limited.peer_address();
        let refused = || cluster.dump()["connections"]["refused"].as_u64().unwrap();
        let frame = |payload: &[u8]| {
            let mut bytes = (payload.len() as u32).to_be_bytes().to_vec();
            bytes.extend_from_slice(payload);
            bytes
        };
        let wrong_proof = [&[0x1a, 32][..], &[7; 32]].concat();
        let cases = [
            ("no data", Vec::new()),
            ("not framed", b"GET / HTTP/1.1\r\n\r\n".to_vec()),
            ("wrong proof", frame(&wrong_proof)),
            ("empty frame", frame(&[])),
            ("call before proof", frame(&[0x08, 1, 0x22, 0])),
            ("oversized frame", vec![0xff; 64]),
        ];
        for (case, input) in cases {
            let before = refused();
            let mut stream = open(address);
            let _ = stream.write_all(&input);
            read_all(stream);
            assert!(refused() > before, "{case}");
        }
        let before = refused();
        let held: Vec<_> = (0..2 * MAX_CONNECTIONS).map(|_| open(address)).collect();
        wait_until(|| refused() > before).await;
        drop(held);
        wait_until(|| cluster.is_serving()).await;
    });
}
