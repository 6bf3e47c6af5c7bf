//! Runs an instance over stand-ins at the Guild's sizes and prints one answer with
//! its coverage. The instance is the one that `hyssopwalk serve` runs.

#[path = "../tests/standin/mod.rs"]
mod standin;

use std::net::SocketAddr;

use clap::Parser;
use standin::platform::Platform;
use standin::{free_addr, guild, order, order_key, query, until};

#[async_std::main]
async fn main() {
    let platform = Platform::start().await;
    let indexes = guild::start(&platform, &guild::SIZES).await;
    let addr = free_addr().await;
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
