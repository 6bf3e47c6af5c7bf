//! Runs an instance over stand-ins at the Guild's sizes and prints one answer with
//! its coverage. The instance is the one that `hyssopwalk serve` runs.
//!
//! `cargo run --release --example guild -- 127.0.0.1:7400 60s` listens there and stays
//! for that long, so that `hyssopwalk load` has something to load.

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
    let stay: Span = args
        .next()
        .map_or(Span::ZERO, |text| text.parse().expect("a span such as 60s"));
    serve(addr, platform.addr);
    until("the instance to be ready", || async {
        query(addr, "pattern-finder", "{}")
            .await
            .is_ok_and(|(status, _)| status == 200)
    })
    .await;
    for index in &indexes {
        let key = order_key("cover-cloth");
        let asked = order(addr, index.name, &key, r#"{"cloth":"masi"}"#).await;
        let (status, answer) = asked.expect("the instance answers");
        println!("{}: status {status}", index.name);
        println!("  coverage {}", answer["coverage"]);
        println!(
            "  snapshot {}, legs {}, took {} us",
            answer["snapshot"], answer["legs"], answer["took_us"]
        );
        println!("  first part {}", answer["parts"][0]);
    }
    async_std::task::sleep(stay.as_duration()).await;
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
