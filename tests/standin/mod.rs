//! Small stand-ins for the systems around hyssopwalk. The shipped binary has none.

#![allow(
    dead_code,
    reason = "each test and example uses a part of the stand-ins"
)]

pub(crate) mod guild;
pub(crate) mod instance;
pub(crate) mod platform;
mod platform_state;
pub(crate) mod upstream;

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

use async_std::net::{TcpListener, TcpStream};
use serde_json::Value;
use tide::http::{Request, Response};

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

/// Sends one request on a connection of its own.
pub(crate) async fn send(req: Request) -> std::io::Result<Response> {
    let addr = req.url().socket_addrs(|| None)?[0];
    let stream = TcpStream::connect(addr).await?;
    async_h1::connect(stream, req)
        .await
        .map_err(|error| std::io::Error::other(error.to_string()))
}

/// Sends a query and reads the JSON that comes back.
pub(crate) async fn query(
    addr: SocketAddr,
    class: &str,
    body: &str,
) -> std::io::Result<(u16, Value)> {
    let url = format!("http://{addr}/v1/classes/{class}/query");
    let mut req = Request::post(url.as_str());
    req.set_body(body);
    read(req).await
}

/// Sends an order with its key.
pub(crate) async fn order(
    addr: SocketAddr,
    class: &str,
    key: &str,
    body: &str,
) -> std::io::Result<(u16, Value)> {
    let url = format!("http://{addr}/v1/classes/{class}/query");
    let mut req = Request::post(url.as_str());
    req.insert_header("idempotency-key", key);
    req.set_body(body);
    read(req).await
}

async fn read(req: Request) -> std::io::Result<(u16, Value)> {
    let mut res = send(req).await?;
    let value = res
        .body_json()
        .await
        .map_err(|error| std::io::Error::other(error.to_string()))?;
    Ok((res.status().into(), value))
}

/// A key for an order that is first sent now.
pub(crate) fn order_key(name: &str) -> String {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    format!("{}:{name}", since.expect("a time after 1970").as_secs())
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
