//! A stand-in for a replica: it runs requests, notes each run, and misbehaves when told.

use std::sync::Arc;
use std::time::Duration;

use async_std::io::WriteExt;
use async_std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use async_std::task::{JoinHandle, sleep, spawn};
use parking_lot::Mutex;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use super::http::{self, Message};

const RECORDS: u32 = 6;

/// How a replica treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Manner {
    #[default]
    Well,
    /// Takes requests and answers after the pause.
    Pauses,
    /// Runs no request, and says so.
    Sheds,
    /// Runs requests and cuts the connection instead of answering.
    LosesAnswers,
    /// Sends every answer twice.
    AnswersTwice,
    /// Sends half of each answer.
    Truncates,
    /// Says that it failed, having run the request.
    Fails,
}

/// A run of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Run {
    pub(crate) request: String,
    pub(crate) service: String,
    pub(crate) target: String,
}

/// What all replicas ran.
pub(crate) type Runs = Arc<Mutex<Vec<Run>>>;

/// One replica, gone when dropped.
#[derive(Debug)]
pub(crate) struct Replica {
    pub(crate) id: String,
    pub(crate) service: String,
    pub(crate) addr: SocketAddr,
    pub(crate) born: u64,
    manner: Arc<Mutex<Manner>>,
    conns: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Option<JoinHandle<()>>,
}

#[derive(Clone)]
struct Serving {
    id: String,
    service: String,
    manner: Arc<Mutex<Manner>>,
    runs: Runs,
}

impl Replica {
    pub(crate) async fn start(service: &str, id: &str, born: u64, runs: &Runs) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        let manner = Arc::new(Mutex::new(Manner::default()));
        let conns = Arc::new(Mutex::new(Vec::new()));
        let serving = Serving {
            id: id.to_owned(),
            service: service.to_owned(),
            manner: Arc::clone(&manner),
            runs: Arc::clone(runs),
        };
        let open = Arc::clone(&conns);
        let accepting = spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                open.lock().push(stream.clone());
                spawn(serving.clone().serve(stream));
            }
        });
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            addr,
            born,
            manner,
            conns,
            accepting: Some(accepting),
        }
    }

    pub(crate) fn set_manner(&self, manner: Manner) {
        *self.manner.lock() = manner;
    }

    /// What it says of itself in the store.
    pub(crate) fn entry(&self, addr: SocketAddr, state: &str) -> Value {
        json!({
            "service": self.service, "address": addr.to_string(), "zone": "suva-a",
            "version": "v1", "slots": 2, "state": state, "cold_remaining_ms": 0,
            "sequence": 1, "born": self.born,
        })
    }

    /// Ends it with all its connections, as a crash would.
    pub(crate) async fn crash(&mut self) {
        if let Some(accepting) = self.accepting.take() {
            accepting.cancel().await;
        }
        for conn in self.conns.lock().drain(..) {
            // One that is closed already cannot be shut down.
            conn.shutdown(Shutdown::Both).ok();
        }
    }
}

impl Serving {
    async fn serve(self, mut stream: TcpStream) {
        let mut buf = Vec::new();
        while let Ok(Some(req)) = http::read(&mut stream, &mut buf).await {
            let manner = *self.manner.lock();
            let answer = self.answer(&req, manner);
            sleep(Duration::from_millis(match manner {
                Manner::Pauses => 250,
                _ => 3,
            }))
            .await;
            let sent = match manner {
                Manner::LosesAnswers => return,
                Manner::Truncates => {
                    // The other end notices when the connection ends.
                    stream.write_all(&answer[..answer.len() / 2]).await.ok();
                    return;
                }
                Manner::AnswersTwice => [answer.as_slice(), &answer].concat(),
                _ => answer,
            };
            if stream.write_all(&sent).await.is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message, manner: Manner) -> Vec<u8> {
        let request = req.get("request-id").unwrap_or_default().to_owned();
        let wanted = req.get("expect-instance");
        if wanted.is_some_and(|wanted| wanted != self.id) {
            return http::response(421, &[("Instance-Id", &self.id)], b"");
        }
        if manner == Manner::Sheds {
            return http::response(503, &[("Not-Executed", "1")], b"");
        }
        self.runs.lock().push(Run {
            request: request.clone(),
            service: self.service.clone(),
            target: req.line.clone(),
        });
        let proof = format!("{}.{request}", self.service);
        let status = if manner == Manner::Fails { 500 } else { 200 };
        let fields = [("Request-Id", request.as_str()), ("Answer-Stamp", &proof)];
        http::response(status, &fields, &records(&self.service, &request))
    }
}

/// The records that a service answers a request with.
pub(crate) fn records(service: &str, request: &str) -> Vec<u8> {
    let record = |at: u32| {
        let hash = Sha256::digest(format!("{service} {request} {at}"));
        hash[..16].to_vec()
    };
    (0..RECORDS).flat_map(record).collect()
}
