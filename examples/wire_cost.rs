//! Counts the bytes between an instance and its upstreams, for `docs/CAPACITY.md`.
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

const QUERIES: u64 = 1_000;
const BUFFER_BYTES: usize = 16_384;

/// The bytes that passed a relay.
#[derive(Debug, Default)]
struct Passed {
    asked: AtomicU64,
    replied: AtomicU64,
}

#[async_std::main]
async fn main() {
    let size = guild::SIZES[0];
    let platform = Platform::start().await;
    let indexes = guild::start(&platform, &[size]).await;
    let passed = Arc::new(Passed::default());
    let mut upstreams = indexes[0].upstreams.clone();
    for upstream in &mut upstreams {
        upstream.addr = relay(upstream.addr, Arc::clone(&passed)).await;
    }
    let index = guild::index(&size, &upstreams, 2);
    platform.set(&format!("indexes/{}", size.name), index);

    let addr = free_addr().await;
    serve(addr, platform.addr);
    until("an answer from the second snapshot", || async {
        let asked = query(addr, size.name, "{}").await;
        asked.is_ok_and(|(_, answer)| answer["snapshot"] == 2)
    })
    .await;
    let before = totals(&passed);
    let mut legs = 0;
    for _ in 0..QUERIES {
        let body = json!({ "cloth": "masi", "stitch": "long" }).to_string();
        let (_, answer) = query(addr, size.name, &body).await.expect("an answer");
        legs += answer["legs"].as_u64().unwrap_or_default();
    }
    let after = totals(&passed);
    println!("{QUERIES} queries, {legs} legs");
    println!(
        "to upstreams    {} bytes a leg",
        (after.0 - before.0) / legs
    );
    println!(
        "from upstreams  {} bytes a leg",
        (after.1 - before.1) / legs
    );
}

fn totals(passed: &Passed) -> (u64, u64) {
    (
        passed.asked.load(Ordering::Relaxed),
        passed.replied.load(Ordering::Relaxed),
    )
}

async fn relay(to: SocketAddr, passed: Arc<Passed>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    task::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let far = TcpStream::connect(to).await.expect("the upstream listens");
            let (asked, replied) = (Arc::clone(&passed), Arc::clone(&passed));
            task::spawn(pump(near.clone(), far.clone(), move |bytes| {
                asked.asked.fetch_add(bytes, Ordering::Relaxed);
            }));
            task::spawn(pump(far, near, move |bytes| {
                replied.replied.fetch_add(bytes, Ordering::Relaxed);
            }));
        }
    });
    addr
}

async fn pump(mut from: TcpStream, mut to: TcpStream, count: impl Fn(u64)) {
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
