//! Runs only the simulated platform and upstreams, so that instances can run and be measured as
//! separate processes: `cargo run --release --example standins -- 60s` prints the platform's
//! address and keeps running for this time.

#[path = "../tests/standin/mod.rs"]
mod standin;

use hyssopwalk::Span;
use standin::guild;
use standin::platform::Platform;

const DEFAULT_DURATION: Span = Span::from_secs(600);

#[async_std::main]
async fn main() {
    let duration = std::env::args().nth(1).map_or(DEFAULT_DURATION, |text| {
        text.parse().expect("a duration such as 60s")
    });
    let platform = Platform::start().await;
    let _indexes = guild::start(&platform, &guild::SIZES).await;
    println!("{}", platform.addr);
    async_std::task::sleep(duration.as_duration()).await;
}
