//! Which responses to a health check show that an upstream still runs.

use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::task::{block_on, spawn};
use rstest::rstest;

use super::ReplicaTransport;
use super::replicas_tests::{MEMORY, leg, read_request};
use crate::process::{Clock, LegTransport, MemoryBudget};

struct Case {
    response: &'static str,
    is_alive: bool,
}

/// Guards against an upstream that counts as alive because something else has its address.
#[rstest]
#[case::healthy(Case { response: "HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\n\r\n", is_alive: true })]
#[case::failing(Case { response: "HTTP/1.1 503 X\r\nInstance-Id: i-1\r\n\r\n", is_alive: true })]
#[case::full(Case { response: "HTTP/1.1 503 X\r\nNot-Executed: 1\r\n\r\n", is_alive: true })]
#[case::another_replica(Case { response: "HTTP/1.1 200 OK\r\nInstance-Id: i-2\r\n\r\n", is_alive: false })]
#[case::misdirected(Case { response: "HTTP/1.1 421 X\r\n\r\n", is_alive: false })]
#[case::no_http(Case { response: "HTTP/1.1 000 X\r\nInstance-Id: i-1\r\n\r\n", is_alive: false })]
#[case::broken_off(Case { response: "HTTP/1.1 200 OK\r\nInst", is_alive: false })]
#[case::closed(Case { response: "", is_alive: false })]
fn only_a_response_of_its_own_shows_that_an_upstream_runs(#[case] case: Case) {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let serving = spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let request = read_request(&mut stream).await.unwrap();
            stream.write_all(case.response.as_bytes()).await.unwrap();
            request
        });
        let transport = ReplicaTransport::new(Clock::new(), MemoryBudget::new(MEMORY));
        let upstream = leg(addr, "one", true).upstream;
        let is_alive = transport.check_health(&upstream, "/health").await;
        assert_eq!(is_alive, case.is_alive);
        let request = serving.await;
        assert!(request.starts_with("GET /health HTTP/1.1\r\n"), "{request}");
        assert!(request.contains("Expect-Instance: i-1\r\n"), "{request}");
        assert!(!request.contains("Request-Id"), "{request}");
    });
}
