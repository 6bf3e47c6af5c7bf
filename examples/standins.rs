//! Runs the stand-ins alone, so that instances can be run and measured as processes of
//! their own: `cargo run --release --example standins -- 60s` prints the platform's
//! address and stays for that long.

#[path = "../tests/standin/mod.rs"]
mod standin;

use hyssopwalk::Span;
use standin::guild;
use standin::platform::Platform;

const STAY: Span = Span::from_secs(600);

#[async_std::main]
async fn main() {
    let stay = std::env::args()
        .nth(1)
        .map_or(STAY, |text| text.parse().expect("a span such as 60s"));
    let platform = Platform::start().await;
    let _indexes = guild::start(&platform, &guild::SIZES).await;
    println!("{}", platform.addr);
    async_std::task::sleep(stay.as_duration()).await;
}
