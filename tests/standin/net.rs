//! Loopback addresses, and waiting for conditions and processes.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::Child;
use std::time::{Duration, Instant};

use async_std::net::TcpListener;
use serde_json::Value;

/// Listens on a free loopback port.
pub(crate) async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    (listener, addr)
}

/// Returns a loopback address whose port was free a moment ago.
pub(crate) async fn free_addr() -> SocketAddr {
    listen().await.1
}

/// Waits until a process logs the address it listens on; `None` if it exits first.
///
/// The rest of its log is read and discarded, so that the process never blocks on a full pipe.
pub(crate) async fn serving_addr(child: &mut Child) -> Option<SocketAddr> {
    let log = BufReader::new(child.stderr.take().expect("its log is piped"));
    async_std::task::spawn_blocking(move || {
        let mut lines = log.lines().map_while(Result::ok);
        let addr = lines.find_map(|line| {
            let line: Value = serde_json::from_str(&line).ok()?;
            let fields = &line["fields"];
            let serves = fields["message"] == "serving";
            serves.then(|| fields["listen"].as_str()?.parse().ok())?
        });
        std::thread::spawn(move || lines.for_each(drop));
        addr
    })
    .await
}

/// Polls until `ready` returns true.
///
/// # Panics
///
/// After ten seconds.
pub(crate) async fn until<F, Fut>(what: &str, mut ready: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let started = Instant::now();
    while !ready().await {
        assert!(
            started.elapsed() < Duration::from_secs(10),
            "timed out waiting for {what}"
        );
        async_std::task::sleep(Duration::from_millis(20)).await;
    }
}
