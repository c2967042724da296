//! Malformed, oversize and never-ending input, over raw sockets.

mod tight_bench;

use {
    crate::tight_bench::*,
    futures_lite::future::block_on,
    std::{io::Write, net::Shutdown, time::Duration},
};

#[test]
fn malformed_and_oversize_requests_are_refused_and_nothing_runs() {
    block_on(async {
        let bench = TightBench::start().await;
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
                "no HTTP at all",
                None,
                b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n\r\n".to_vec(),
            ),
            ("oversize head", None, filing(&long, "")),
            ("too many headers", None, filing(&many, "")),
            (
                "two lengths",
                None,
                filing("content-length: 3\r\ncontent-length: 4\r\n", "abcd"),
            ),
            (
                "length not a number",
                None,
                filing("content-length: -1\r\n", ""),
            ),
            (
                "bad chunk",
                Some("bad-request"),
                filing("transfer-encoding: chunked\r\n", "zz\r\nabc\r\n"),
            ),
            (
                "oversize body",
                Some("body-too-large"),
                filing(&sized, &body),
            ),
            (
                "endless chunks",
                Some("body-too-large"),
                filing("transfer-encoding: chunked\r\n", &endless),
            ),
            (
                "bad id",
                Some("bad-request"),
                filing(
                    "geraniummast-request-id: seven\r\nconnection: close\r\n",
                    "",
                ),
            ),
            ("two ids", Some("bad-request"), filing(&ids, "")),
            ("id not UTF-8", Some("bad-request"), bad_bytes),
            (
                "space in target",
                None,
                b"GET /reports/a b HTTP/1.1\r\nhost: x\r\n\r\n".to_vec(),
            ),
        ];
        for (case, reason, input) in cases {
            bench.assert_refused(case, reason, &input).await;
        }
    });
}

#[test]
fn half_sent_and_never_ending_requests_are_ended_and_nothing_runs() {
    block_on(async {
        let bench = TightBench::start().await;
        let cases = [
            ("nothing", Vec::new()),
            (
                "half a head",
                b"POST /reports/weld-7/file HTTP/1.1\r\nhost: x\r\nconte".to_vec(),
            ),
            (
                "half a body",
                filing("content-length: 100\r\nconnection: close\r\n", "half"),
            ),
            (
                "half a chunk",
                filing(
                    "transfer-encoding: chunked\r\nconnection: close\r\n",
                    "ff\r\nhalf",
                ),
            ),
        ];
        for (case, input) in &cases {
            bench.assert_refused(case, None, input).await;
        }
        for (case, input) in &cases {
            let before = bench.bench.ledger.runs().len();
            let mut stream = open(bench.tight.caller_address());
            stream.write_all(input).unwrap();
            stream.shutdown(Shutdown::Write).unwrap();
            let answer = read_all(stream);
            assert!(!answer.starts_with("HTTP/1.1 2"), "{case}: {answer}");
            assert_eq!(bench.bench.ledger.runs().len(), before, "{case}");
        }
        slow_head(&bench);
        until(|| bench.is_serving()).await;
    });
}

/// Sends a head one byte at a time until the connection ends.
fn slow_head(bench: &TightBench) {
    let mut stream = open(bench.tight.caller_address());
    let ended = (0..10_000).any(|_| {
        std::thread::sleep(Duration::from_millis(5));
        stream.write_all(b"a").is_err()
    });
    assert!(ended, "a head may not last for ever");
}

#[test]
fn pipelined_requests_are_answered_in_order_and_a_hidden_one_does_not_run() {
    block_on(async {
        let bench = TightBench::start().await;
        let answer = bench.send(
            b"GET /reports/first HTTP/1.1\r\nhost: x\r\n\r\n\
              GET /reports/second HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        );
        let first = answer.find("GET /reports/first [").expect("first answer");
        let second = answer.find("GET /reports/second [").expect("second answer");
        assert!(first < second);
        let before = bench.bench.ledger.runs().len();
        let hidden = "POST /reports/weld-7/file HTTP/1.1\r\nhost: x\r\n\r\n";
        let headers = "transfer-encoding: chunked\r\ncontent-length: 5\r\n";
        let answer = bench.send(&filing(headers, &format!("0\r\n\r\n{hidden}")));
        assert!(answer.matches("HTTP/1.1 ").count() <= 1, "{answer}");
        assert!(bench.bench.ledger.runs().len() <= before + 1);
        until(|| bench.is_serving()).await;
    });
}

#[test]
fn connections_beyond_the_bound_are_closed_and_places_come_back() {
    block_on(async {
        let bench = TightBench::start().await;
        until(|| bench.dump()["connections"]["callers"] == 0).await;
        let held: Vec<_> = (0..MAX_CONNECTIONS)
            .map(|_| open(bench.tight.caller_address()))
            .collect();
        until(|| bench.dump()["connections"]["callers"] == MAX_CONNECTIONS).await;
        assert_eq!(read_all(open(bench.tight.caller_address())), "");
        drop(held);
        until(|| bench.dump()["connections"]["callers"] == 0).await;
        for _ in 0..3 * MAX_CONNECTIONS {
            let mut stream = open(bench.tight.caller_address());
            stream
                .write_all(&filing("content-length: 9\r\n", "half"))
                .unwrap();
        }
        until(|| bench.dump()["connections"]["callers"] == 0).await;
        until(|| bench.is_serving()).await;
    });
}

#[test]
fn a_peer_without_a_proof_is_closed_and_counted() {
    block_on(async {
        let bench = TightBench::start().await;
        let address = bench.tight.peer_address();
        let refused = || bench.dump()["connections"]["refused"].as_u64().unwrap();
        let frame = |payload: &[u8]| {
            let mut bytes = (payload.len() as u32).to_be_bytes().to_vec();
            bytes.extend_from_slice(payload);
            bytes
        };
        let wrong_proof = [&[0x1a, 32][..], &[7; 32]].concat();
        let cases = [
            ("silence", Vec::new()),
            ("no frames", b"GET / HTTP/1.1\r\n\r\n".to_vec()),
            ("wrong proof", frame(&wrong_proof)),
            ("empty frame", frame(&[])),
            ("call before proof", frame(&[0x08, 1, 0x22, 0])),
            ("oversize frame", vec![0xff; 64]),
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
        until(|| refused() > before).await;
        drop(held);
        until(|| bench.is_serving()).await;
    });
}
