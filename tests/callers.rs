//! Runs slow and silent callers, disconnects and malformed requests against the real binary.
//! Other callers must not be affected.

mod standin;

use std::net::SocketAddr;
use std::time::Duration;

use async_std::net::{Shutdown, TcpStream};
use futures::future::join_all;
use futures::{AsyncReadExt, AsyncWriteExt};
use serde_json::{Value, json};

use standin::guild::Index;
use standin::instance::Instance;
use standin::platform::Platform;
use standin::upstream::Upstream;
use standin::{guild, query, until};

const CLASS: &str = "courier-board";
const SLOW_SERVICE: Duration = Duration::from_secs(60);
/// Body of warm-up queries. No test case sends it, so that a late hedge of a warm-up query is
/// not counted as a run of a case.
const WARM_UP: &str = "\"warm-up\"";

struct Deployment {
    indexes: Vec<Index>,
    platform: Platform,
    instance: Instance,
}

impl Deployment {
    async fn start(name: &str) -> Self {
        Self::start_with(name, guild::SIZES[3]).await
    }

    async fn start_with(name: &str, size: guild::Size) -> Self {
        let platform = Platform::start().await;
        let indexes = guild::start(&platform, &[size]).await;
        let instance = Instance::start(name, &platform).await;
        let addr = instance.addr;
        until("an answer", || async {
            query(addr, CLASS, WARM_UP)
                .await
                .is_ok_and(|(status, _)| status == 200)
        })
        .await;
        Self {
            indexes,
            platform,
            instance,
        }
    }

    async fn answers_query(&self) -> bool {
        let answered = query(self.instance.addr, CLASS, WARM_UP).await;
        answered.is_ok_and(|(status, _)| status == 200)
    }

    /// Returns the number of legs that ran, not counting those of warm-up queries.
    fn runs(&self) -> usize {
        let upstreams = &self.indexes[0].upstreams;
        let ran = upstreams.iter().flat_map(Upstream::runs);
        ran.filter(|body| body != WARM_UP.as_bytes()).count()
    }

    fn resets(&self) -> u64 {
        let upstreams = &self.indexes[0].upstreams;
        upstreams.iter().map(Upstream::resets).sum()
    }
}

fn post(headers: &str, body: &str) -> String {
    let len = body.len();
    format!(
        "POST /v1/classes/{CLASS}/query HTTP/1.1\r\nhost: one\r\n{headers}\
         content-length: {len}\r\n\r\n{body}"
    )
}

/// Sends raw bytes on a new connection and reads one response.
async fn send_raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    read_response(&mut stream).await
}

/// Reads one response up to the end given by its `content-length`, or until the connection
/// ends.
async fn read_response(stream: &mut TcpStream) -> String {
    let mut buf = Vec::new();
    let mut byte = [0; 1];
    while !is_complete_response(&buf) && stream.read(&mut byte).await.unwrap_or(0) > 0 {
        buf.push(byte[0]);
    }
    String::from_utf8(buf).unwrap()
}

fn is_complete_response(buf: &[u8]) -> bool {
    let text = String::from_utf8_lossy(buf).to_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .and_then(|length| length.parse::<usize>().ok());
    length.is_none_or(|length| body.len() >= length)
}

fn status(response: &str) -> &str {
    response.split(' ').nth(1).unwrap_or_default()
}

fn body(response: &str) -> Value {
    let body = response.split_once("\r\n\r\n").map(|(_, body)| body);
    serde_json::from_str(body.unwrap_or_default()).unwrap_or_default()
}

#[async_std::test]
async fn invalid_requests_are_refused_with_their_error_kind() {
    struct Case {
        name: &'static str,
        request: String,
        status: &'static str,
        kind: &'static str,
    }
    let chunk = format!("{:x}\r\n{}\r\n", 2 << 20, "x".repeat(2 << 20));
    let cases = [
        Case {
            name: "not HTTP",
            request: "\u{16}\u{3}\u{1}\r\n\r\n".to_owned(),
            status: "400",
            kind: "bad-request",
        },
        Case {
            name: "missing host",
            request: "GET /metrics HTTP/1.1\r\n\r\n".to_owned(),
            status: "400",
            kind: "bad-request",
        },
        Case {
            name: "old HTTP version",
            request: "GET /metrics HTTP/1.0\r\nhost: one\r\n\r\n".to_owned(),
            status: "400",
            kind: "bad-request",
        },
        Case {
            name: "unknown method",
            request: "BREW / HTTP/1.1\r\nhost: one\r\n\r\n".to_owned(),
            status: "400",
            kind: "bad-request",
        },
        Case {
            name: "two content lengths",
            request: post("content-length: 9\r\n", "{}"),
            status: "400",
            kind: "bad-request",
        },
        Case {
            name: "large head",
            request: post(&format!("x: {}\r\n", "x".repeat(8_000)), "{}"),
            status: "413",
            kind: "too-large",
        },
        Case {
            name: "large body",
            request: post("", &"x".repeat(2 << 20)),
            status: "413",
            kind: "too-large",
        },
        Case {
            name: "large chunked body",
            request: post("transfer-encoding: chunked\r\n", "")
                .replace("content-length: 0\r\n", "")
                + &chunk
                + "0\r\n\r\n",
            status: "413",
            kind: "too-large",
        },
        Case {
            name: "timeout is not a duration",
            request: post("hw-timeout: soon\r\n", "{}"),
            status: "400",
            kind: "bad-timeout",
        },
        Case {
            name: "timeout is zero",
            request: post("hw-timeout: 0ms\r\n", "{}"),
            status: "400",
            kind: "bad-timeout",
        },
        Case {
            name: "negative timeout without unit",
            request: post("hw-timeout: -5\r\n", "{}"),
            status: "400",
            kind: "bad-timeout",
        },
        Case {
            name: "unknown path",
            request: "GET /v9 HTTP/1.1\r\nhost: one\r\n\r\n".to_owned(),
            status: "404",
            kind: "not-found",
        },
        Case {
            name: "wrong method",
            request: format!("GET /v1/classes/{CLASS}/query HTTP/1.1\r\nhost: one\r\n\r\n"),
            status: "400",
            kind: "bad-request",
        },
    ];
    let deployment = Deployment::start("faults").await;
    let runs = deployment.runs();
    for case in cases {
        let response = send_raw(deployment.instance.addr, case.request.as_bytes()).await;
        let refusal = body(&response);
        assert_eq!(status(&response), case.status, "{}: {response}", case.name);
        assert_eq!(refusal["kind"], case.kind, "{}", case.name);
        assert_eq!(refusal["ran"], "not run", "{}", case.name);
    }
    assert_eq!(deployment.runs(), runs);
    assert!(deployment.answers_query().await);
}

#[async_std::test]
async fn pipelined_requests_are_all_answered_in_order() {
    let deployment = Deployment::start("pipelined").await;
    let runs = deployment.runs();
    let mut stream = TcpStream::connect(deployment.instance.addr).await.unwrap();
    let requests = post("", "one") + &post("hw-timeout: 0ms\r\n", "two") + &post("", "three");
    stream.write_all(requests.as_bytes()).await.unwrap();
    for expected in ["200", "400", "200"] {
        let response = read_response(&mut stream).await;
        assert_eq!(status(&response), expected, "{response}");
    }
    assert!(deployment.runs() >= runs + 2);
}

#[async_std::test]
async fn a_truncated_request_does_not_run() {
    let size = guild::Size {
        latency: guild::UNBOUNDED_LATENCY,
        ..guild::SIZES[3]
    };
    let deployment = Deployment::start_with("early", size).await;
    let runs = deployment.runs();
    for missing_bytes in [1, 30, 60, 120] {
        let request = post("", &"x".repeat(100));
        let mut stream = TcpStream::connect(deployment.instance.addr).await.unwrap();
        let request_prefix = &request.as_bytes()[..request.len() - missing_bytes];
        stream.write_all(request_prefix).await.unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).await.unwrap();
        assert_ne!(status(&response), "200", "{response}");
    }
    assert_eq!(deployment.runs(), runs);
    assert!(deployment.answers_query().await);
}

#[async_std::test]
async fn a_caller_disconnect_cancels_its_legs() {
    let deployment = Deployment::start("hangup").await;
    let class = json!({
        "name": CLASS, "index": CLASS, "latency": "40s", "coverage": "100%",
        "extra_load": "5%", "repeatable": true,
    });
    deployment
        .platform
        .set("config/classes", json!({ "classes": [class] }));
    for upstream in &deployment.indexes[0].upstreams {
        upstream.update_behaviour(|behaviour| behaviour.service = SLOW_SERVICE);
    }
    let resets = deployment.resets();
    until("a leg to be cancelled by a disconnect", || async {
        let mut stream = TcpStream::connect(deployment.instance.addr).await.unwrap();
        let runs = deployment.runs();
        stream.write_all(post("", "{}").as_bytes()).await.unwrap();
        until("a leg to run", || async { deployment.runs() > runs }).await;
        drop(stream);
        async_std::task::sleep(Duration::from_millis(100)).await;
        deployment.resets() > resets
    })
    .await;
}

#[async_std::test]
async fn slow_and_silent_callers_do_not_affect_others() {
    let deployment = Deployment::start("slow").await;
    let addr = deployment.instance.addr;
    let idle = join_all((0..200).map(|_| TcpStream::connect(addr))).await;
    let mut slow = join_all((0..100).map(|_| TcpStream::connect(addr))).await;
    for stream in slow.iter_mut().flatten() {
        stream.write_all(b"POST /v1/cla").await.unwrap();
    }
    for _ in 0..20 {
        assert!(deployment.answers_query().await);
    }
    let slow_head = slow.pop().unwrap();
    let response = read_response(&mut slow_head.unwrap()).await;
    assert_eq!(status(&response), "408", "{response}");
    assert_eq!(body(&response)["kind"], "slow-caller");
    let mut slow_body = TcpStream::connect(addr).await.unwrap();
    let request = post("", &"x".repeat(100));
    let request_prefix = &request.as_bytes()[..request.len() - 50];
    slow_body.write_all(request_prefix).await.unwrap();
    let response = read_response(&mut slow_body).await;
    assert_eq!(status(&response), "408", "{response}");
    drop(idle);
    assert!(deployment.answers_query().await);
}
