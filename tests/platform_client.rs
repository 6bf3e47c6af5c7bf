//! Tests how the client of the platform handles failing connections and invalid replies.

mod standin;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::io::{ReadExt, WriteExt};
use hyssopwalk::{
    CallRates, Expected, ObjectKey, ObjectStore, ObjectVersion, PerSecond, Platform, PlatformError,
    Span,
};
use serde_json::json;
use standin::contract::UNLIMITED_RATES;
use standin::listen;
use standin::platform::Platform as PlatformServer;
use standin::slow_link::slow_link;

fn key() -> ObjectKey {
    ObjectKey::new("k/a")
}

async fn put(client: &ObjectStore) -> Result<(), PlatformError> {
    let key = key();
    let put = client.put(&key, b"1".to_vec(), Expected::Absent);
    put.await.map(drop)
}

#[async_std::test]
async fn a_write_to_a_closed_port_has_no_effect() {
    let closed_port: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let client = ObjectStore::new(closed_port, UNLIMITED_RATES);
    let error = put(&client).await.unwrap_err();
    assert!(matches!(error, PlatformError::Unreachable(_)), "{error}");
    assert!(error.had_no_effect());
}

#[async_std::test]
async fn sequential_calls_share_a_connection() {
    let server = PlatformServer::start().await;
    let client = ObjectStore::new(server.addr, UNLIMITED_RATES);
    for _ in 0..50 {
        client.get(&key()).await.unwrap();
    }
    assert_eq!(server.connections(), 1);
}

#[async_std::test]
async fn concurrent_calls_use_separate_connections() {
    let server = PlatformServer::start().await;
    server.faults(|faults| faults.slow = Duration::from_millis(100));
    let client = ObjectStore::new(server.addr, UNLIMITED_RATES);
    let key = key();
    let calls = (0..20).map(|_| client.get(&key));
    let read = futures::future::join_all(calls).await;
    assert!(read.iter().all(Result::is_ok), "{read:?}");
    assert_eq!(server.connections(), 20);
}

struct SlowRead {
    name: &'static str,
    /// Whether an earlier call left an open connection.
    reuses_connection: bool,
    bytes_per_sec: u32,
}

/// Guards against reads that end after the timeout of a call while the value still arrives, and
/// that are started again from nothing each time.
#[async_std::test]
async fn a_value_of_the_maximum_size_is_read_over_a_slow_link() {
    let cases = [
        SlowRead {
            name: "a new connection",
            reuses_connection: false,
            bytes_per_sec: 800_000,
        },
        SlowRead {
            name: "a kept connection",
            reuses_connection: true,
            bytes_per_sec: 600_000,
        },
    ];
    let value = json!("x".repeat((1 << 20) - 2));
    for case in cases {
        let server = PlatformServer::start().await;
        let link = slow_link(server.addr, case.bytes_per_sec).await;
        let client = ObjectStore::new(link, UNLIMITED_RATES);
        let direct = ObjectStore::new(server.addr, UNLIMITED_RATES);
        let earlier = if case.reuses_connection {
            &client
        } else {
            &direct
        };
        let from = earlier.list("k").await.unwrap().revision;
        server.set("k/a", value.clone());
        let read = client.get(&key()).await.unwrap_or_default();
        assert!(read.is_some(), "get over {}", case.name);
        let listed = client.list("k").await;
        assert!(listed.is_ok(), "list over {}: {listed:?}", case.name);
        let watched = client.watch("k", from, Span::from_millis(1)).await;
        assert!(watched.is_ok(), "watch over {}: {watched:?}", case.name);
    }
}

struct Fault {
    name: &'static str,
    inject: fn(&PlatformServer),
}

#[async_std::test]
async fn reads_use_a_new_connection_when_the_kept_one_is_lost() {
    let faults = [
        Fault {
            name: "silent",
            inject: PlatformServer::silence_connections,
        },
        Fault {
            name: "cut",
            inject: PlatformServer::cut_connections,
        },
    ];
    for fault in faults {
        let server = PlatformServer::start().await;
        server.set("k/b", json!(1));
        let client = ObjectStore::new(server.addr, UNLIMITED_RATES);
        client.get(&key()).await.unwrap();
        (fault.inject)(&server);
        let read = client.get(&ObjectKey::new("k/b")).await;
        assert!(matches!(read, Ok(Some(_))), "{}: {read:?}", fault.name);

        (fault.inject)(&server);
        match put(&client).await {
            Ok(()) => assert_eq!(server.value("k/a"), Some(json!(1))),
            Err(error) => {
                assert!(!error.had_no_effect(), "{}: {error}", fault.name);
                put(&client).await.unwrap();
            }
        }
    }
}

/// A watch on a connection that went silent has already used up its waiting time. It fails
/// without a retry, so that the follower of the store can switch to another source at once.
#[async_std::test]
async fn a_watch_on_a_silent_connection_is_not_retried() {
    let server = PlatformServer::start().await;
    let client = ObjectStore::new(server.addr, UNLIMITED_RATES);
    let from = client.list("k").await.unwrap().revision;
    server.silence_connections();
    let watched = client.watch("k", from, Span::from_millis(50)).await;
    assert!(
        matches!(watched, Err(PlatformError::Unsettled(_))),
        "{watched:?}"
    );
    assert_eq!(server.connections(), 1);
}

#[async_std::test]
async fn a_watch_on_a_cut_connection_is_retried_on_a_new_one() {
    let server = PlatformServer::start().await;
    let client = ObjectStore::new(server.addr, UNLIMITED_RATES);
    let from = client.list("k").await.unwrap().revision;
    server.cut_connections();
    server.set("k/a", json!(1));
    let watched = client.watch("k", from, Span::from_secs(5)).await.unwrap();
    assert_eq!(watched.changes.len(), 1);
    assert_eq!(server.connections(), 2);
}

#[async_std::test]
async fn a_client_keeps_to_its_own_call_rates() {
    let server = PlatformServer::start().await;
    let rates = CallRates {
        reads: PerSecond(0.001),
        writes: PerSecond(500.0),
    };
    let client = ObjectStore::new(server.addr, rates);
    assert_eq!(client.get(&key()).await, Err(PlatformError::Busy));
    assert_eq!(server.calls().reads, 0);
    put(&client).await.unwrap();
}

struct Reply {
    name: &'static str,
    bytes: fn() -> Vec<u8>,
}

const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n";

fn body(body: &str) -> Vec<u8> {
    format!("{HEAD}content-length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

#[async_std::test]
async fn a_reply_that_violates_the_protocol_is_an_error() {
    let replies = [
        Reply {
            name: "nothing",
            bytes: Vec::new,
        },
        Reply {
            name: "not HTTP",
            bytes: || vec![0xff; 4096],
        },
        Reply {
            name: "a truncated head",
            bytes: || b"HTTP/1.1 200 OK\r\ncont".to_vec(),
        },
        Reply {
            name: "a truncated body",
            bytes: || format!("{HEAD}content-length: 100\r\n\r\n{{\"meta\"").into_bytes(),
        },
        Reply {
            name: "invalid JSON",
            bytes: || body("{"),
        },
        Reply {
            name: "unexpected JSON",
            bytes: || body("[1,2,3]"),
        },
        Reply {
            name: "an invalid version",
            bytes: || body(r#"{"meta":{"name":"a","revision":-1},"spec":1}"#),
        },
        Reply {
            name: "deeply nested JSON",
            bytes: || body(&"[".repeat(100_000)),
        },
        Reply {
            name: "a head of 600 kB",
            bytes: || {
                let mut head = HEAD.as_bytes().to_vec();
                head.extend(b"x: y\r\n".repeat(100_000));
                head
            },
        },
        Reply {
            name: "an oversized body",
            bytes: || body(&" ".repeat((16 << 20) + 1)),
        },
        Reply {
            name: "status zero",
            bytes: || b"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n".to_vec(),
        },
        Reply {
            name: "an unknown status",
            bytes: || b"HTTP/1.1 999 ?\r\n\r\n".to_vec(),
        },
    ];
    for reply in replies {
        let addr = serve_bytes((reply.bytes)()).await;
        let client = ObjectStore::new(addr, UNLIMITED_RATES);
        let read = client.get(&key()).await;
        assert!(read.is_err(), "{}: {read:?}", reply.name);
        let error = put(&client).await.unwrap_err();
        assert!(!error.had_no_effect(), "{}: {error}", reply.name);
    }
}

/// Sends these bytes on every connection, whatever the request, and closes it.
async fn serve_bytes(bytes: Vec<u8>) -> SocketAddr {
    let (listener, addr) = listen().await;
    async_std::task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 1024];
            stream.read(&mut buf).await.ok();
            stream.write_all(&bytes).await.ok();
        }
    });
    addr
}

struct LateCopy {
    name: &'static str,
    /// The reply to the call before, which is sent once more before that to the write.
    earlier: &'static str,
}

/// Guards against the late copy of an earlier reply that is taken for the reply to a write, which
/// then seems to have taken effect.
#[async_std::test]
async fn a_late_copy_of_an_earlier_reply_does_not_settle_a_write() {
    let copies = [
        LateCopy {
            name: "of the write before",
            earlier: r#"{"meta":{"name":"a","revision":5},"spec":1}"#,
        },
        LateCopy {
            name: "of a read of an older version",
            earlier: r#"{"meta":{"name":"a","revision":4},"spec":2}"#,
        },
        LateCopy {
            name: "of a write of another object",
            earlier: r#"{"meta":{"name":"b","revision":9},"spec":2}"#,
        },
    ];
    for copy in copies {
        let addr = serve_copies(copy.earlier).await;
        let client = ObjectStore::new(addr, UNLIMITED_RATES);
        let key = key();
        client.get(&key).await.unwrap();
        let expected = Expected::Version(ObjectVersion(5));
        let written = client.put(&key, b"2".to_vec(), expected).await;
        let error = written.expect_err(copy.name);
        assert!(!error.had_no_effect(), "{}: {error}", copy.name);
    }
}

/// Answers the first call on each connection with `earlier`, and each later one with it again.
async fn serve_copies(earlier: &'static str) -> SocketAddr {
    let (listener, addr) = listen().await;
    async_std::task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 1024];
            while stream.read(&mut buf).await.is_ok_and(|count| count > 0) {
                stream.write_all(&body(earlier)).await.ok();
            }
        }
    });
    addr
}

#[async_std::test]
#[ignore = "measurement that prints the cost of a call over a kept and over a new connection"]
async fn cost_of_a_call() {
    const CALLS: u32 = 2_000;
    let server = PlatformServer::start().await;
    server.state().limit(standin::platform::Rates {
        reads: u64::MAX,
        writes: u64::MAX,
    });
    let kept = ObjectStore::new(server.addr, UNLIMITED_RATES);
    for (name, new_per_call) in [("kept", false), ("new", true)] {
        let started_at = Instant::now();
        for _ in 0..CALLS {
            if new_per_call {
                let client = ObjectStore::new(server.addr, UNLIMITED_RATES);
                client.get(&key()).await.unwrap();
            } else {
                kept.get(&key()).await.unwrap();
            }
        }
        println!("{name}: {:?} a call", started_at.elapsed() / CALLS);
    }
}
