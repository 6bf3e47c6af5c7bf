//! Simulated external systems for tests and examples. The shipped binary contains none of them.

#![allow(
    dead_code,
    reason = "each test and example uses only some of the helpers"
)]

pub(crate) mod contract;
pub(crate) mod guild;
pub(crate) mod instance;
mod leg;
pub(crate) mod net;
pub(crate) mod operator;
pub(crate) mod platform;
mod platform_state;
mod platform_wire;
pub(crate) mod slow_link;
pub(crate) mod upstream;

use std::net::SocketAddr;
use std::time::SystemTime;

use async_std::net::TcpStream;
use serde_json::Value;
use tide::http::{Request, Response};

#[allow(unused_imports, reason = "each test uses only some of them")]
pub(crate) use self::net::{free_addr, listen, until};

/// Sends one request on a new connection.
pub(crate) async fn send(req: Request) -> std::io::Result<Response> {
    let addr = req.url().socket_addrs(|| None)?[0];
    let stream = TcpStream::connect(addr).await?;
    async_h1::connect(stream, req)
        .await
        .map_err(|error| std::io::Error::other(error.to_string()))
}

/// Sends a query and returns the status and the JSON body.
pub(crate) async fn query(
    addr: SocketAddr,
    class: &str,
    body: &str,
) -> std::io::Result<(u16, Value)> {
    let url = format!("http://{addr}/v1/classes/{class}/query");
    let mut req = Request::post(url.as_str());
    req.set_body(body);
    read_json(req).await
}

/// Sends an order with an idempotency key and returns the status and the JSON body.
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
    read_json(req).await
}

async fn read_json(req: Request) -> std::io::Result<(u16, Value)> {
    let mut res = send(req).await?;
    let value = res
        .body_json()
        .await
        .map_err(|error| std::io::Error::other(error.to_string()))?;
    Ok((res.status().into(), value))
}

/// Returns an idempotency key for an order that is first sent now.
pub(crate) fn order_key(name: &str) -> String {
    format!("{}:{name}", unix_seconds())
}

/// Returns the Unix time in seconds.
pub(crate) fn unix_seconds() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.expect("the clock is after 1970").as_secs()
}
