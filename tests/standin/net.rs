//! Addresses of the loopback interface, and waiting for what others do.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::Child;
use std::time::{Duration, Instant};

use async_std::net::TcpListener;
use serde_json::Value;

/// A listener on a free port of the loopback interface.
pub(crate) async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    (listener, addr)
}

/// A port of the loopback interface that was free a moment ago.
pub(crate) async fn free_addr() -> SocketAddr {
    listen().await.1
}

/// Waits until a process says in its log where it serves; none when it ended instead.
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

/// Waits until `ready` says so, for at most ten seconds.
pub(crate) async fn until<F, Fut>(what: &str, mut ready: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let begun = Instant::now();
    while !ready().await {
        assert!(
            begun.elapsed() < Duration::from_secs(10),
            "{what} did not happen"
        );
        async_std::task::sleep(Duration::from_millis(20)).await;
    }
}
