//! Runs an instance with simulated upstreams and a simulated platform at the Guild's size, and
//! prints one answer per index with its coverage. It runs the same code as `hyssopwalk serve`.
//!
//! `cargo run --release --example guild -- 127.0.0.1:7400 60s` listens on this address and keeps
//! running for this time, as a target for `hyssopwalk load`.

#[path = "../tests/standin/mod.rs"]
mod standin;

use std::net::SocketAddr;

use clap::Parser;
use hyssopwalk::Span;
use standin::platform::Platform;
use standin::{free_addr, guild, order, order_key, query, until};

#[async_std::main]
async fn main() {
    let platform = Platform::start().await;
    let indexes = guild::start(&platform, &guild::SIZES).await;
    let mut args = std::env::args().skip(1);
    let addr = match args.next() {
        Some(text) => text.parse().expect("an address such as 127.0.0.1:7400"),
        None => free_addr().await,
    };
    let duration: Span = args.next().map_or(Span::ZERO, |text| {
        text.parse().expect("a duration such as 60s")
    });
    serve(addr, platform.addr);
    until("the instance to be ready", || async {
        query(addr, "pattern-finder", "{}")
            .await
            .is_ok_and(|(status, _)| status == 200)
    })
    .await;
    for index in &indexes {
        let key = order_key("cover-cloth");
        let result = order(addr, index.name, &key, r#"{"cloth":"masi"}"#).await;
        let (status, answer) = result.expect("the instance answers");
        println!("{}: status {status}", index.name);
        println!("  coverage {}", answer["coverage"]);
        println!(
            "  snapshot {}, legs {}, took {} us",
            answer["snapshot"], answer["legs"], answer["took_us"]
        );
        println!("  first part {}", answer["parts"][0]);
    }
    async_std::task::sleep(duration.as_duration()).await;
}

fn serve(listen: SocketAddr, platform: SocketAddr) {
    let (listen, platform) = (listen.to_string(), platform.to_string());
    let args = [
        "hyssopwalk",
        "serve",
        "--name",
        "suva-1",
        "--failure-domain",
        "suva-a",
        "--region",
        "central",
        "--listen",
        &listen,
        "--platform",
        &platform,
    ];
    let cmd = hyssopwalk::Cmd::parse_from(args);
    std::thread::spawn(move || cmd.run());
}
