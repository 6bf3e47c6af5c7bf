//! A replica that sends a response twice: the copy must not become the answer or the refusal of the
//! next request on its connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{block_on, sleep, spawn};
use rstest::rstest;

use super::ReplicaTransport;
use crate::connection::{Fields, RequestHead};
use crate::error::Ran;
use crate::platform::payload;
use crate::process::{Clock, LegTransport, MemoryBudget};
use crate::request::{LegFailure, LegReply, LegRequest};
use crate::types::{
    ByteCount, ConnectionCount, LegId, QueryId, ShardId, SlotCount, SnapshotId, Span,
};
use crate::version::UpstreamSpec;

pub(super) const MEMORY: ByteCount = ByteCount(20 << 20);

/// When the copy of the first response is sent.
#[derive(Clone, Copy, Debug)]
enum Copied {
    WithTheResponse,
    WhileIdle,
    /// As soon as the next request arrives, before its answer.
    BeforeTheNext,
    /// The same, in two packets.
    BeforeTheNextInPieces,
    TwiceBeforeTheNext,
    EndlesslyBeforeTheNext,
    /// A response to a request that this connection has not carried.
    UnknownBeforeTheNext,
}

struct Case {
    first: &'static str,
    copied: Copied,
    repeatable: bool,
    /// Whether the second leg gets its own answer; otherwise it fails and may have run.
    is_answered: bool,
}

const NAMED: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nAnswer-Stamp: 1\r\nContent-Length: 3\r\n\r\none";
const NAMED_REFUSAL: &str =
    "HTTP/1.1 503 X\r\nRequest-Id: one\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const UNKNOWN: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: six\r\nAnswer-Stamp: 1\r\nContent-Length: 3\r\n\r\nsix";
const UNNAMED: &str = "HTTP/1.1 200 OK\r\nAnswer-Stamp: 1\r\nContent-Length: 3\r\n\r\none";
const UNNAMED_IN_CHUNKS: &str = "HTTP/1.1 200 OK\r\nAnswer-Stamp: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\nX: y\r\n\r\n";
const NAMED_IN_CHUNKS: &str = "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nAnswer-Stamp: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\nX: y\r\n\r\n";
const NAMED_AFTER_INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: one\r\nAnswer-Stamp: 1\r\nContent-Length: 3\r\n\r\none";
const REFUSAL: &str =
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const MISDIRECTED: &str = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
const SECOND: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: two\r\nAnswer-Stamp: 2\r\nContent-Length: 3\r\n\r\ntwo";

/// Guards against an answer that belongs to the request before it, and against "not run" of a
/// request that runs.
#[rstest]
#[case::named_with_the_response(Case { first: NAMED, copied: Copied::WithTheResponse, repeatable: true, is_answered: true })]
#[case::named_while_idle(Case { first: NAMED, copied: Copied::WhileIdle, repeatable: true, is_answered: true })]
#[case::named_before_the_next(Case { first: NAMED, copied: Copied::BeforeTheNext, repeatable: true, is_answered: true })]
#[case::named_in_pieces(Case { first: NAMED, copied: Copied::BeforeTheNextInPieces, repeatable: true, is_answered: true })]
#[case::named_in_chunks(Case { first: NAMED_IN_CHUNKS, copied: Copied::BeforeTheNext, repeatable: true, is_answered: true })]
#[case::named_refusal_before_an_order(Case { first: NAMED_REFUSAL, copied: Copied::BeforeTheNext, repeatable: false, is_answered: true })]
#[case::named_before_an_order(Case { first: NAMED, copied: Copied::BeforeTheNext, repeatable: false, is_answered: true })]
#[case::twice_before_the_next(Case { first: NAMED, copied: Copied::TwiceBeforeTheNext, repeatable: true, is_answered: true })]
#[case::without_end_before_the_next(Case { first: NAMED, copied: Copied::EndlesslyBeforeTheNext, repeatable: true, is_answered: false })]
#[case::of_an_unknown_request(Case { first: NAMED, copied: Copied::UnknownBeforeTheNext, repeatable: true, is_answered: false })]
#[case::named_after_interim(Case { first: NAMED_AFTER_INTERIM, copied: Copied::BeforeTheNext, repeatable: true, is_answered: true })]
#[case::unnamed_with_the_response(Case { first: UNNAMED, copied: Copied::WithTheResponse, repeatable: true, is_answered: true })]
#[case::unnamed_while_idle(Case { first: UNNAMED, copied: Copied::WhileIdle, repeatable: true, is_answered: true })]
#[case::unnamed_before_the_next(Case { first: UNNAMED, copied: Copied::BeforeTheNext, repeatable: true, is_answered: true })]
#[case::unnamed_in_chunks(Case { first: UNNAMED_IN_CHUNKS, copied: Copied::BeforeTheNext, repeatable: true, is_answered: true })]
#[case::refusal_before_an_order(Case { first: REFUSAL, copied: Copied::BeforeTheNext, repeatable: false, is_answered: true })]
#[case::refusal_while_idle(Case { first: REFUSAL, copied: Copied::WhileIdle, repeatable: false, is_answered: true })]
#[case::refusal_before_a_read(Case { first: REFUSAL, copied: Copied::BeforeTheNext, repeatable: true, is_answered: true })]
#[case::misdirected_before_a_read(Case { first: MISDIRECTED, copied: Copied::BeforeTheNext, repeatable: true, is_answered: true })]
#[case::misdirected_before_an_order(Case { first: MISDIRECTED, copied: Copied::BeforeTheNext, repeatable: false, is_answered: true })]
fn a_late_copy_is_not_the_next_response(#[case] case: Case) {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        spawn(accept(listener, case.first, case.copied));
        let transport = ReplicaTransport::new(Clock::new(), MemoryBudget::new(MEMORY));
        call(&transport, addr, "one", true).await.ok();
        sleep(Duration::from_millis(60)).await;
        let second = call(&transport, addr, "two", case.repeatable).await;
        match second {
            Ok(reply) => {
                assert_eq!(
                    *reply.body, *b"two",
                    "the answer belongs to another request"
                );
                assert!(case.is_answered);
            }
            Err(failure) => {
                assert_eq!(
                    failure.ran(),
                    Ran::MayHaveRun,
                    "{failure} of a leg that ran"
                );
                assert!(!case.is_answered, "{failure}");
            }
        }
    });
}

async fn accept(listener: TcpListener, first: &'static str, copied: Copied) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        spawn(serve(stream, first, copied));
    }
}

/// Answers the request "one" with `first` and its copy, and every other one with [`SECOND`].
async fn serve(mut stream: TcpStream, first: &str, copied: Copied) -> Option<()> {
    let mut is_copy_due = false;
    loop {
        let is_first = read_request(&mut stream).await?.contains("Request-Id: one");
        if is_copy_due {
            is_copy_due = false;
            let (head, tail) = match copied {
                Copied::BeforeTheNextInPieces => first.split_at(first.len() / 2),
                Copied::TwiceBeforeTheNext => (first, first),
                Copied::UnknownBeforeTheNext => (UNKNOWN, ""),
                _ => (first, ""),
            };
            stream.write_all(head.as_bytes()).await.ok()?;
            sleep(Duration::from_millis(20)).await;
            stream.write_all(tail.as_bytes()).await.ok()?;
            if matches!(copied, Copied::EndlesslyBeforeTheNext) {
                loop {
                    stream.write_all(first.as_bytes()).await.ok()?;
                }
            }
        }
        if !is_first {
            stream.write_all(SECOND.as_bytes()).await.ok()?;
            continue;
        }
        match copied {
            Copied::WithTheResponse => {
                let twice = [first, first].concat();
                stream.write_all(twice.as_bytes()).await.ok()?;
            }
            Copied::WhileIdle => {
                stream.write_all(first.as_bytes()).await.ok()?;
                sleep(Duration::from_millis(20)).await;
                stream.write_all(first.as_bytes()).await.ok()?;
            }
            Copied::BeforeTheNext
            | Copied::BeforeTheNextInPieces
            | Copied::TwiceBeforeTheNext
            | Copied::EndlesslyBeforeTheNext
            | Copied::UnknownBeforeTheNext => {
                stream.write_all(first.as_bytes()).await.ok()?;
                is_copy_due = true;
            }
        }
    }
}

pub(super) async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    let mut byte = [0; 1];
    while !text.ends_with("\r\n\r\n") {
        stream.read_exact(&mut byte).await.ok()?;
        text.push(char::from(byte[0]));
    }
    Some(text)
}

async fn call(
    transport: &ReplicaTransport,
    addr: SocketAddr,
    id: &str,
    repeatable: bool,
) -> Result<LegReply, LegFailure> {
    let leg = leg(addr, id, repeatable);
    transport.call(leg, ConnectionCount(2)).await.outcome
}

pub(super) fn leg(addr: SocketAddr, id: &str, repeatable: bool) -> LegRequest {
    leg_by_method("GET", addr, id, repeatable)
}

fn leg_by_method(method: &str, addr: SocketAddr, id: &str, repeatable: bool) -> LegRequest {
    let fields = [("Host", "h"), ("Request-Id", id)].map(|(name, value)| httparse::Header {
        name,
        value: value.as_bytes(),
    });
    let head = RequestHead {
        method: method.to_owned(),
        target: "/".to_owned(),
        is_http10: false,
        fields: Fields::from(&fields[..]),
    };
    LegRequest {
        query: QueryId(7),
        leg: LegId(3),
        upstream: Arc::new(UpstreamSpec {
            name: "i-1:5".parse().unwrap(),
            addr,
            failure_domain: "suva-a".parse().unwrap(),
            slots: SlotCount(2),
            connections: ConnectionCount(25),
            connect_cost: Span::from_millis(6),
            leaving: false,
        }),
        snapshot: SnapshotId(1),
        shard: ShardId(0),
        range: "00000000-ffffffff".parse().unwrap(),
        repeatable,
        extra: None,
        time_left: Span::from_secs(5),
        body: payload::encode(&head, id, b"").unwrap(),
    }
}

/// Guards against an answer that broke off on its way and is passed on as a complete one.
#[rstest]
#[case::stated_length(SECOND)]
#[case::chunks_with_a_trailer(
    "HTTP/1.1 200 OK\r\nRequest-Id: two\r\nAnswer-Stamp: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ntw\r\n1\r\no\r\n0\r\nX: y\r\n\r\n"
)]
fn a_reply_that_breaks_off_anywhere_is_no_answer(#[case] response: &'static str) {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let last = response.len();
        spawn(async move {
            for cut in 0..=last {
                let (mut stream, _) = listener.accept().await.unwrap();
                read_request(&mut stream).await;
                stream.write_all(&response.as_bytes()[..cut]).await.unwrap();
            }
        });
        for cut in 0..=last {
            // A connection for each call, since the last one may be kept.
            let transport = ReplicaTransport::new(Clock::new(), MemoryBudget::new(MEMORY));
            let reply = call(&transport, addr, "two", true).await;
            assert_eq!(reply.is_ok(), cut == last, "cut after {cut} bytes");
            if let Err(failure) = reply {
                assert_eq!(failure.ran(), Ran::MayHaveRun, "cut after {cut} bytes");
            }
        }
    });
}

/// Guards against a request for a head only that waits for a body until its time is over.
#[rstest]
#[case::stated_length(
    "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nAnswer-Stamp: 1\r\nContent-Length: 3\r\n\r\n"
)]
#[case::chunked(
    "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nAnswer-Stamp: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
)]
#[case::no_length("HTTP/1.1 200 OK\r\nRequest-Id: one\r\nAnswer-Stamp: 1\r\n\r\n")]
fn a_response_to_head_has_no_body(#[case] response: &'static str) {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        spawn(async move {
            let mut open = Vec::new();
            for response in [response, SECOND] {
                let (mut stream, _) = listener.accept().await.unwrap();
                read_request(&mut stream).await;
                stream.write_all(response.as_bytes()).await.unwrap();
                open.push(stream);
            }
            sleep(Duration::from_secs(10)).await;
        });
        let transport = ReplicaTransport::new(Clock::new(), MemoryBudget::new(MEMORY));
        let head = leg_by_method("HEAD", addr, "one", true);
        let reply = transport.call(head, ConnectionCount(1)).await.outcome;
        assert!(reply.unwrap().body.is_empty());
        let next = call(&transport, addr, "two", true).await;
        assert_eq!(*next.unwrap().body, *b"two");
    });
}
