//! A simulated replica that runs requests, records each run and has injectable faults.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_std::io::WriteExt;
use async_std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use async_std::task::{JoinHandle, sleep, spawn};
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use super::http::{self, Message};

/// Number of 16-byte records in an answer.
const RECORDS_PER_ANSWER: u32 = 6;

/// The requests a second that a replica in need takes.
pub(crate) const RATE_LIMIT: u32 = 12;

/// The longest body that an instance takes.
const LARGE_BODY_BYTES: usize = 1 << 20;

/// How the response to a request that is turned away begins.
const REFUSAL_START: &[u8] = b"HTTP/1.1 503";

/// How long a replica that turns requests away wants none.
pub(crate) const PAUSE: Duration = Duration::from_millis(1_500);

/// Where the path of a request that crashes replicas ends.
pub(crate) const CRASHING_PATH: &str = "crash";

/// How a replica handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ReplicaMode {
    #[default]
    Normal,
    /// Answers after 250 ms instead of 3 ms.
    Slow,
    /// Answers after three seconds, which is longer than the routes' timeouts.
    #[allow(dead_code, reason = "only tests/planned_stop.rs uses it")]
    Stalls,
    /// Sheds every request and reports that it was not run.
    Sheds,
    /// Sheds every other request, naming it, and sends that refusal once more when the next request
    /// has arrived on its connection.
    CopiesRefusals,
    /// Runs requests and closes the connection instead of answering.
    DropsResponses,
    /// Runs requests, and closes three of five connections instead of answering.
    #[allow(dead_code, reason = "only tests/crashing_requests.rs uses it")]
    DropsMostResponses,
    /// Crashes when it runs a request for [`CRASHING_PATH`], and serves all others.
    #[allow(dead_code, reason = "only tests/crashing_requests.rs uses it")]
    Crashes,
    /// Runs requests and answers with this status, saying that it ran nothing or not.
    #[allow(dead_code, reason = "only tests/invalid_status.rs uses it")]
    Answers { status: u16, says_not_run: bool },
    /// Sends every answer twice.
    DuplicatesResponses,
    /// Sends half of each answer and closes the connection.
    Truncates,
    /// Runs requests and answers with status 500.
    Fails,
    /// States in every answer that it takes [`RATE_LIMIT`] requests a second from all instances.
    StatesRateLimit,
    /// Says in every answer that it leaves, and goes on serving.
    SaysItLeaves,
    /// Turns every request away and asks for a pause of [`PAUSE`].
    AsksForPause,
    /// Sends as many bytes as it can.
    #[allow(dead_code, reason = "only tests/endless_bytes.rs uses it")]
    Floods(Flood),
}

/// What a replica sends when it floods.
#[allow(dead_code, reason = "only tests/endless_bytes.rs uses it")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Flood {
    EndlessHead,
    EndlessBody,
    /// The same without the name of the request.
    NoAnswer,
    EndlessChunk,
    EndlessChunks,
    TinyChunks,
    /// Nearly a whole body of the largest size, and then nothing more.
    UnfinishedBody,
    /// An answer with a body of the largest size.
    LargeBody,
}

/// One run of a request by a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Run {
    pub(crate) request: String,
    pub(crate) service: String,
    pub(crate) target: String,
}

/// The open connections by number.
type Conns = Arc<Mutex<IndexMap<u64, TcpStream>>>;

type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// The runs of all replicas.
pub(crate) type Runs = Arc<Mutex<Vec<Run>>>;

/// A running replica.
#[derive(Debug)]
pub(crate) struct Replica {
    pub(crate) id: String,
    pub(crate) service: String,
    pub(crate) addr: SocketAddr,
    pub(crate) incarnation: u64,
    /// The number of its reports to the store.
    heartbeats: AtomicU64,
    mode: Arc<Mutex<ReplicaMode>>,
    /// When each request arrived, whether it ran or not.
    #[allow(dead_code, reason = "only tests/upstream_signals.rs reads it")]
    pub(crate) arrivals: Arrivals,
    conns: Conns,
    /// Whether a request has crashed the replica.
    #[allow(dead_code, reason = "only tests/crashing_requests.rs reads it")]
    pub(crate) is_down: Arc<AtomicBool>,
    accept_task: Option<JoinHandle<()>>,
}

#[derive(Clone)]
struct ReplicaServer {
    id: String,
    service: String,
    mode: Arc<Mutex<ReplicaMode>>,
    arrivals: Arrivals,
    conns: Conns,
    is_down: Arc<AtomicBool>,
    runs: Runs,
}

impl Replica {
    pub(crate) async fn start(service: &str, id: &str, incarnation: u64, runs: &Runs) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        let mode = Arc::new(Mutex::new(ReplicaMode::default()));
        let conns = Conns::default();
        let is_down = Arc::new(AtomicBool::new(false));
        let arrivals = Arrivals::default();
        let server = ReplicaServer {
            id: id.to_owned(),
            service: service.to_owned(),
            mode: Arc::clone(&mode),
            arrivals: Arc::clone(&arrivals),
            conns: Arc::clone(&conns),
            is_down: Arc::clone(&is_down),
            runs: Arc::clone(runs),
        };
        let open = Arc::clone(&conns);
        let accept_task = spawn(async move {
            for number in 0.. {
                let Ok((stream, _)) = listener.accept().await else {
                    return;
                };
                if server.is_down.load(Ordering::SeqCst) {
                    continue;
                }
                open.lock().insert(number, stream.clone());
                let (server, open) = (server.clone(), Arc::clone(&open));
                spawn(async move {
                    server.serve(stream).await;
                    open.lock().swap_remove(&number);
                });
            }
        });
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            addr,
            incarnation,
            heartbeats: AtomicU64::new(1),
            mode,
            arrivals,
            conns,
            is_down,
            accept_task: Some(accept_task),
        }
    }

    pub(crate) fn set_mode(&self, mode: ReplicaMode) {
        *self.mode.lock() = mode;
    }

    /// Returns the replica's entry in the store.
    pub(crate) fn entry(&self, addr: SocketAddr, state: &str) -> Value {
        json!({
            "service": self.service, "address": addr.to_string(), "zone": "suva-a",
            "version": "v1", "slots": 2, "state": state, "cold_remaining_ms": 0,
            "sequence": self.heartbeats.fetch_add(1, Ordering::Relaxed), "born": self.incarnation,
        })
    }

    /// Stops the replica and closes its connections, to simulate a crash.
    pub(crate) async fn crash(&mut self) {
        if let Some(accept_task) = self.accept_task.take() {
            accept_task.cancel().await;
        }
        close_all(&self.conns);
    }
}

fn close_all(conns: &Conns) {
    for (_, conn) in conns.lock().drain(..) {
        // Shutting down fails if the connection is already closed.
        conn.shutdown(Shutdown::Both).ok();
    }
}

impl ReplicaServer {
    async fn serve(self, mut stream: TcpStream) {
        let mut buf = Vec::new();
        let mut late_copy = Vec::new();
        while let Ok(Some(req)) = http::read(&mut stream, &mut buf).await {
            self.arrivals.lock().push(Instant::now());
            let mode = *self.mode.lock();
            if !late_copy.is_empty() && stream.write_all(&late_copy).await.is_err() {
                return;
            }
            late_copy.clear();
            if let ReplicaMode::Floods(flood) = mode
                && flood != Flood::LargeBody
            {
                // A failed write means that the instance has closed the connection.
                let request = req.get("request-id").unwrap_or_default();
                send_flood(stream, flood, request).await.ok();
                return;
            }
            let answer = self.answer(&req, mode);
            sleep(Duration::from_millis(match mode {
                ReplicaMode::Slow => 250,
                ReplicaMode::Stalls => 3_000,
                _ => 3,
            }))
            .await;
            let number = self.arrivals.lock().len();
            let sent = match mode {
                ReplicaMode::DropsResponses => return,
                ReplicaMode::DropsMostResponses if number * 3 % 5 < 3 => return,
                ReplicaMode::Crashes if req.line.ends_with(CRASHING_PATH) => {
                    self.is_down.store(true, Ordering::SeqCst);
                    close_all(&self.conns);
                    return;
                }
                ReplicaMode::Truncates => {
                    // A failed write needs no handling: the connection is closed anyway.
                    stream.write_all(&answer[..answer.len() / 2]).await.ok();
                    return;
                }
                ReplicaMode::DuplicatesResponses => [answer.as_slice(), &answer].concat(),
                ReplicaMode::CopiesRefusals if answer.starts_with(REFUSAL_START) => {
                    late_copy.clone_from(&answer);
                    answer
                }
                _ => answer,
            };
            if stream.write_all(&sent).await.is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message, mode: ReplicaMode) -> Vec<u8> {
        let request = req.get("request-id").unwrap_or_default().to_owned();
        let expected_id = req.get("expect-instance");
        if expected_id.is_some_and(|expected_id| expected_id != self.id) {
            return http::response(421, &[("Instance-Id", &self.id)], b"");
        }
        if req.line == "GET /health" {
            return http::response(200, &[("Instance-Id", &self.id)], b"");
        }
        if mode == ReplicaMode::Sheds {
            return http::response(503, &[("Not-Executed", "1")], b"");
        }
        if mode == ReplicaMode::CopiesRefusals && self.arrivals.lock().len().is_multiple_of(2) {
            let fields = [("Not-Executed", "1"), ("Request-Id", request.as_str())];
            return http::response(503, &fields, b"");
        }
        if mode == ReplicaMode::AsksForPause {
            let pause = PAUSE.as_secs_f64().to_string();
            let fields = [("Not-Executed", "1"), ("Retry-After", pause.as_str())];
            return http::response(503, &fields, b"");
        }
        self.runs.lock().push(Run {
            request: request.clone(),
            service: self.service.clone(),
            target: req.line.clone(),
        });
        let stamp = format!("{}.{request}", self.service);
        let status = match mode {
            ReplicaMode::Fails => 500,
            ReplicaMode::Answers { status, .. } => status,
            _ => 200,
        };
        let limit = RATE_LIMIT.to_string();
        let mut fields = vec![("Request-Id", request.as_str()), ("Answer-Stamp", &stamp)];
        if mode == ReplicaMode::StatesRateLimit {
            fields.push(("Server-Limit", &limit));
        }
        if let ReplicaMode::Answers {
            says_not_run: true, ..
        } = mode
        {
            fields.push(("Not-Executed", "1"));
        }
        if mode == ReplicaMode::SaysItLeaves {
            fields.push(("Server-Leaving", "1"));
        }
        let mut body = records(&self.service, &request);
        if mode == ReplicaMode::Floods(Flood::LargeBody) {
            body.resize(LARGE_BODY_BYTES, 0);
        }
        http::response(status, &fields, &body)
    }
}

async fn send_flood(mut stream: TcpStream, flood: Flood, request: &str) -> std::io::Result<()> {
    let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nAnswer-Stamp: 1\r\n");
    let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
    let mut piece = vec![b'a'; 64 << 10];
    let begin = match flood {
        Flood::EndlessHead => "HTTP/1.1 200 OK\r\nX: ".to_owned(),
        Flood::EndlessBody => format!("{head}\r\n"),
        Flood::NoAnswer => "HTTP/1.1 200 OK\r\n\r\n".to_owned(),
        Flood::EndlessChunk => format!("{chunked}fffff\r\n"),
        Flood::TinyChunks => {
            piece = b"1\r\na\r\n".repeat(16 << 10);
            chunked
        }
        Flood::EndlessChunks => {
            piece = [b"8000\r\n", &piece[..0x8000], b"\r\n"].concat();
            chunked
        }
        Flood::UnfinishedBody | Flood::LargeBody => {
            piece.resize(LARGE_BODY_BYTES - 1, 0);
            format!("{head}Content-Length: {LARGE_BODY_BYTES}\r\n\r\n")
        }
    };
    stream.write_all(begin.as_bytes()).await?;
    stream.write_all(&piece).await?;
    if flood == Flood::UnfinishedBody {
        sleep(Duration::from_secs(10)).await;
    }
    loop {
        stream.write_all(&piece).await?;
    }
}

/// Returns the records that a service answers a request with, derived from both names.
pub(crate) fn records(service: &str, request: &str) -> Vec<u8> {
    let record = |at: u32| {
        let hash = Sha256::digest(format!("{service} {request} {at}"));
        hash[..16].to_vec()
    };
    (0..RECORDS_PER_ANSWER).flat_map(record).collect()
}
