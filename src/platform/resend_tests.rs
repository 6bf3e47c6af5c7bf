//! A request that is sent to a replica again: a late copy of the response to the first leg must not
//! become the response to the second.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{block_on, sleep, spawn};
use futures::future::join_all;
use rstest::rstest;
use rustix::net::{RecvFlags, recv};

use super::ReplicaTransport;
use super::replicas_tests::{MEMORY, leg, read_request};
use crate::error::Ran;
use crate::process::{Clock, LegTransport, MemoryBudget};
use crate::request::{Body, LegFailure};
use crate::types::ConnectionCount;

struct Case {
    /// The response to the first leg.
    first: &'static str,
    /// Other requests on the connection between the two legs.
    between: usize,
    /// How many connections are open before the first leg.
    open: usize,
    max_connections: u32,
    repeatable: bool,
    /// How many connections are opened in all.
    opened: usize,
}

const BUSY: &str =
    "HTTP/1.1 503 X\r\nRequest-Id: one\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const MISDIRECTED: &str = "HTTP/1.1 421 X\r\nRequest-Id: one\r\nContent-Length: 0\r\n\r\n";
const FAILED: &str =
    "HTTP/1.1 500 X\r\nRequest-Id: one\r\nAnswer-Stamp: 1\r\nContent-Length: 4\r\n\r\nfail";

const ORDER: Case = Case {
    first: BUSY,
    between: 0,
    open: 1,
    max_connections: 3,
    repeatable: false,
    opened: 2,
};

/// How long a replica takes for a request.
const WORK: Duration = Duration::from_millis(20);

/// Guards against the late copy of a refusal that is taken for the answer to the same request's next
/// leg, after which an order that runs is sent once more, or refused as not run.
#[rstest]
#[case::order_refused_as_busy(ORDER)]
#[case::order_refused_by_another_replica(Case { first: MISDIRECTED, ..ORDER })]
#[case::order_after_other_requests(Case { between: 2, ..ORDER })]
#[case::read_refused_as_busy(Case { repeatable: true, ..ORDER })]
#[case::read_that_failed(Case { first: FAILED, repeatable: true, ..ORDER })]
#[case::on_another_idle_connection(Case { open: 2, ..ORDER })]
#[case::within_the_share_of_connections(Case { max_connections: 1, ..ORDER })]
fn a_late_copy_does_not_answer_the_next_leg_of_its_request(#[case] case: Case) {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let conns = Arc::new(Conns::default());
        spawn(accept(listener, case.first, Arc::clone(&conns)));
        let transport = ReplicaTransport::new(Clock::new(), MemoryBudget::new(MEMORY));
        let send = |id: String| send(&transport, addr, id, &case);
        join_all((0..case.open).map(|at| send(format!("open{at}")))).await;
        send("one".to_owned()).await.ok();
        for at in 0..case.between {
            send(format!("between{at}")).await.unwrap();
        }
        let second = send("one".to_owned()).await;
        let ran = second.as_ref().map_err(|failure| failure.ran());
        assert_ne!(ran, Err(Ran::NotRun), "the second leg runs");
        assert_eq!(*second.unwrap(), *b"the answer to the second leg");
        assert_eq!(conns.opened.load(Ordering::Relaxed), case.opened);
        let most = conns.most_open.load(Ordering::Relaxed);
        assert!(most <= case.max_connections as usize, "{most} at once");
    });
}

async fn send(
    transport: &ReplicaTransport,
    addr: SocketAddr,
    id: String,
    case: &Case,
) -> Result<Body, LegFailure> {
    let leg = leg(addr, &id, case.repeatable);
    let called = transport.call(leg, ConnectionCount(case.max_connections));
    called.await.outcome.map(|reply| reply.body)
}

#[derive(Default)]
struct Conns {
    opened: AtomicUsize,
    most_open: AtomicUsize,
    /// How often the request "one" was received.
    legs: AtomicUsize,
}

async fn accept(listener: TcpListener, first: &'static str, conns: Arc<Conns>) {
    let mut streams: Vec<TcpStream> = Vec::new();
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        streams.retain(is_open);
        streams.push(stream.clone());
        conns.opened.fetch_add(1, Ordering::Relaxed);
        conns.most_open.fetch_max(streams.len(), Ordering::Relaxed);
        let conns = Arc::clone(&conns);
        spawn(async move { serve(stream, first, &conns).await });
    }
}

/// Whether the other side has not closed the connection; the task that serves it may not have
/// noticed yet.
fn is_open(stream: &TcpStream) -> bool {
    let mut byte = [0; 1];
    let received = recv(stream, &mut byte, RecvFlags::PEEK | RecvFlags::DONTWAIT);
    !matches!(received, Ok((_, 0)))
}

/// Sends `first` for the request "one", and a copy of it before the response to its next leg on
/// the same connection.
async fn serve(mut stream: TcpStream, first: &str, conns: &Conns) -> Option<()> {
    let mut is_copy_due = false;
    loop {
        let request = read_request(&mut stream).await?;
        let mut lines = request.lines();
        let id = lines.find_map(|line| line.strip_prefix("Request-Id: "))?;
        let body = if id == "one" {
            if std::mem::take(&mut is_copy_due) {
                write(&mut stream, first).await?;
            }
            if conns.legs.fetch_add(1, Ordering::Relaxed) == 0 {
                is_copy_due = true;
                write(&mut stream, first).await?;
                continue;
            }
            "the answer to the second leg"
        } else {
            "the answer to another request"
        };
        sleep(WORK).await;
        write(&mut stream, &answer(id, body)).await?;
    }
}

async fn write(stream: &mut TcpStream, text: &str) -> Option<()> {
    stream.write_all(text.as_bytes()).await.ok()
}

fn answer(id: &str, body: &str) -> String {
    let len = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nAnswer-Stamp: 1\r\nContent-Length: {len}\r\n\r\n{body}"
    )
}
