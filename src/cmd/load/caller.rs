//! A simulated caller, which sends one request at a time over one connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use anyhow::Result;
use async_std::channel::{Receiver, Sender};
use async_std::net::TcpStream;
use tide::http::{Request, Url};

use super::ANSWER_TIMEOUT;
use crate::cmd::LoadArgs;
use crate::connection::{AnswerWire, RefusalWire};
use crate::types::{Ratio, Span};

/// The result of one request as seen by its caller.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct RequestResult {
    /// The time from the scheduled arrival to the end of the answer.
    pub(super) latency: Span,
    pub(super) outcome: Outcome,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Outcome {
    Answer {
        meets_target: bool,
        coverage: Ratio,
        shards: u64,
        legs: u64,
    },
    Refused {
        kind: String,
    },
    /// The connection failed, or no valid answer arrived in time.
    Broken,
}

/// A caller and its connection.
#[derive(Debug)]
pub(super) struct Caller {
    args: Arc<LoadArgs>,
    number: usize,
    addr: SocketAddr,
    stream: Option<TcpStream>,
    sent: u64,
}

impl Caller {
    pub(super) fn new(args: &Arc<LoadArgs>, number: usize) -> Self {
        let addr = args.instance[number % args.instance.len()];
        Self {
            args: Arc::clone(args),
            number,
            addr,
            stream: None,
            sent: 0,
        }
    }

    /// Sends one request per arrival until the channel of arrivals is closed.
    pub(super) async fn run(mut self, arrivals: Receiver<Instant>, results: Sender<RequestResult>) {
        while let Ok(scheduled) = arrivals.recv().await {
            let reply = async_std::future::timeout(ANSWER_TIMEOUT.as_duration(), self.send()).await;
            let outcome = if let Ok(Ok(outcome)) = reply {
                outcome
            } else {
                self.stream = None;
                Outcome::Broken
            };
            let micros = u64::try_from(scheduled.elapsed().as_micros()).unwrap_or(u64::MAX);
            if results
                .send(RequestResult {
                    latency: Span(micros),
                    outcome,
                })
                .await
                .is_err()
            {
                return;
            }
        }
    }

    async fn send(&mut self) -> Result<Outcome> {
        let req = self.request()?;
        let stream = self.connect().await?;
        let mut res = async_h1::connect(stream, req)
            .await
            .map_err(anyhow::Error::msg)?;
        let body = res.body_bytes().await.map_err(anyhow::Error::msg)?;
        if res.status().is_success() {
            let answer: AnswerWire = serde_json::from_slice(&body)?;
            return answer.try_into();
        }
        let refusal: RefusalWire = serde_json::from_slice(&body)?;
        Ok(Outcome::Refused { kind: refusal.kind })
    }

    fn request(&mut self) -> Result<Request> {
        self.sent += 1;
        let url = format!("http://{}/v1/classes/{}/query", self.addr, self.args.class);
        let mut req = Request::post(Url::parse(&url)?);
        req.insert_header("hw-caller", format!("load-{}", self.number));
        if self.args.orders {
            let first_sent = SystemTime::now().duration_since(UNIX_EPOCH)?.as_secs();
            let (seed, number, sent) = (self.args.seed, self.number, self.sent);
            let key = format!("{first_sent}:load-{seed}-{number}-{sent}");
            req.insert_header("idempotency-key", key);
        }
        req.set_body(self.args.body.as_bytes());
        Ok(req)
    }

    async fn connect(&mut self) -> Result<TcpStream> {
        if let Some(stream) = &self.stream {
            return Ok(stream.clone());
        }
        let stream = TcpStream::connect(self.addr).await?;
        stream.set_nodelay(true)?;
        self.stream = Some(stream.clone());
        Ok(stream)
    }
}

impl TryFrom<AnswerWire> for Outcome {
    type Error = anyhow::Error;

    fn try_from(answer: AnswerWire) -> Result<Self> {
        Ok(Self::Answer {
            meets_target: answer.meets_target,
            coverage: answer.coverage.ratio.parse()?,
            shards: answer.parts.len() as u64,
            legs: u64::from(answer.legs),
        })
    }
}
