//! Counts the bytes on the wire between an instance and its upstreams, for `docs/CAPACITY.md`.
//!
//! `cargo run --release --example wire_cost`

#[path = "../tests/standin/mod.rs"]
mod standin;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use clap::Parser;
use serde_json::json;
use standin::guild;
use standin::platform::Platform;
use standin::{free_addr, query, until};

const QUERY_COUNT: u64 = 1_000;
const BUFFER_BYTES: usize = 16_384;

/// Bytes relayed in each direction.
#[derive(Debug, Default)]
struct ByteCounts {
    requests: AtomicU64,
    responses: AtomicU64,
}

#[async_std::main]
async fn main() {
    let size = guild::SIZES[0];
    let platform = Platform::start().await;
    let indexes = guild::start(&platform, &[size]).await;
    let counts = Arc::new(ByteCounts::default());
    let mut upstreams = indexes[0].upstreams.clone();
    for upstream in &mut upstreams {
        upstream.addr = relay(upstream.addr, Arc::clone(&counts)).await;
    }
    let index = guild::index(&size, &upstreams, 2);
    platform.set(&format!("indexes/{}", size.name), index);

    let addr = free_addr().await;
    serve(addr, platform.addr);
    until("an answer from the second snapshot", || async {
        let result = query(addr, size.name, "{}").await;
        result.is_ok_and(|(_, answer)| answer["snapshot"] == 2)
    })
    .await;
    let before = totals(&counts);
    let mut legs = 0;
    for _ in 0..QUERY_COUNT {
        let body = json!({ "cloth": "masi", "stitch": "long" }).to_string();
        let (_, answer) = query(addr, size.name, &body).await.expect("an answer");
        legs += answer["legs"].as_u64().unwrap_or_default();
    }
    let after = totals(&counts);
    println!("{QUERY_COUNT} queries, {legs} legs");
    println!(
        "to upstreams    {} bytes a leg",
        (after.0 - before.0) / legs
    );
    println!(
        "from upstreams  {} bytes a leg",
        (after.1 - before.1) / legs
    );
}

fn totals(counts: &ByteCounts) -> (u64, u64) {
    (
        counts.requests.load(Ordering::Relaxed),
        counts.responses.load(Ordering::Relaxed),
    )
}

/// Relays connections to an upstream and counts their bytes; returns the address to connect to.
async fn relay(to: SocketAddr, counts: Arc<ByteCounts>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    task::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let server = TcpStream::connect(to).await.expect("the upstream listens");
            let (requests, responses) = (Arc::clone(&counts), Arc::clone(&counts));
            task::spawn(copy_counted(client.clone(), server.clone(), move |bytes| {
                requests.requests.fetch_add(bytes, Ordering::Relaxed);
            }));
            task::spawn(copy_counted(server, client, move |bytes| {
                responses.responses.fetch_add(bytes, Ordering::Relaxed);
            }));
        }
    });
    addr
}

async fn copy_counted(mut from: TcpStream, mut to: TcpStream, count: impl Fn(u64)) {
    to.set_nodelay(true).ok();
    let mut buf = vec![0; BUFFER_BYTES];
    while let Ok(read @ 1..) = from.read(&mut buf).await {
        count(read as u64);
        if to.write_all(&buf[..read]).await.is_err() {
            return;
        }
    }
}

fn serve(listen: SocketAddr, platform: SocketAddr) {
    let (listen, platform) = (listen.to_string(), platform.to_string());
    let args = [
        "hyssopwalk",
        "serve",
        "--name",
        "one",
        "--failure-domain",
        "suva-a",
        "--region",
        "central",
    ];
    let addrs = ["--listen", &listen, "--platform", &platform];
    let cmd = hyssopwalk::Cmd::parse_from(args.into_iter().chain(addrs));
    std::thread::spawn(move || cmd.run());
}
