//! Asks running instances over HTTP, on behalf of an operator or a caller.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use async_std::future::timeout;
use async_std::io::ReadExt;
use async_std::net::TcpStream;
use serde::de::DeserializeOwned;
use tide::http::{Method, Request, StatusCode, Url};

use super::exit::Exit;
use super::operator_args::{AskArgs, OperatorArgs};
use crate::connection::RefusalWire;
use crate::error::{ErrorKind, Ran};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const MOST_REPLY_BYTES: u64 = 64 << 20;

/// Asks the given instances, one after another until one takes the connection.
#[derive(Debug)]
pub(super) struct Client {
    instances: Vec<SocketAddr>,
    timeout: Duration,
    token: Option<String>,
}

/// Why there is no answer.
#[derive(Debug)]
pub(super) enum Failure {
    /// An instance refused.
    Refused(RefusalWire),
    /// The request was sent, and no whole reply came.
    Lost(String),
    /// No instance could be connected to.
    Unreachable(String),
}

/// A request, for whichever instance takes it.
#[derive(Clone, Debug)]
pub(super) struct Ask {
    method: Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
}

impl Ask {
    pub(super) fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    pub(super) fn get(path: impl Into<String>) -> Self {
        Self::new(Method::Get, path)
    }

    /// Adds a parameter whose text needs no encoding, if there is one.
    pub(super) fn parameter(mut self, name: &str, value: Option<&impl ToString>) -> Self {
        if let Some(value) = value {
            let mark = if self.path.contains('?') { '&' } else { '?' };
            self.path = format!("{}{mark}{name}={}", self.path, value.to_string());
        }
        self
    }

    pub(super) fn header(mut self, name: &'static str, value: &impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    pub(super) fn body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }
}

impl Client {
    /// A client that states no token.
    pub(super) fn new(args: &AskArgs) -> Self {
        Self {
            instances: args.instance.clone(),
            timeout: args.timeout.as_duration(),
            token: None,
        }
    }

    /// A client that states an operator's token.
    ///
    /// # Errors
    /// When there is none, or its file cannot be read.
    pub(super) fn operator(args: &OperatorArgs) -> Result<Self> {
        let token = match (&args.token, &args.token_file) {
            (Some(token), _) => token.clone(),
            (None, Some(path)) => std::fs::read_to_string(path)
                .with_context(|| format!("could not read {}", path.display()))?,
            (None, None) => bail!("could not find a token; give --token or --token-file"),
        };
        Ok(Self {
            token: Some(token.trim().to_owned()),
            ..Self::new(&args.ask)
        })
    }

    /// The same client for one other instance.
    pub(super) fn only(&self, instance: SocketAddr) -> Self {
        Self {
            instances: vec![instance],
            timeout: self.timeout,
            token: self.token.clone(),
        }
    }

    /// Asks and reads the JSON of the answer.
    pub(super) async fn ask<T: DeserializeOwned>(&self, ask: &Ask) -> Result<T, Failure> {
        let mut why = "no instance is given".to_owned();
        for instance in &self.instances {
            match timeout(CONNECT_TIMEOUT, TcpStream::connect(instance)).await {
                Ok(Ok(stream)) => return self.exchange(stream, *instance, ask).await,
                Ok(Err(error)) => why = format!("{instance}: {error}"),
                Err(_) => why = format!("{instance}: no connection in time"),
            }
        }
        Err(Failure::Unreachable(why))
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        stream: TcpStream,
        instance: SocketAddr,
        ask: &Ask,
    ) -> Result<T, Failure> {
        let req = self.request(instance, ask)?;
        let reply = timeout(self.timeout, reply(stream, req)).await;
        let (status, body) = reply.map_err(|_| Failure::Lost("no reply in time".to_owned()))??;
        if status.is_success() {
            return read(&body);
        }
        Err(Failure::Refused(read(&body)?))
    }

    fn request(&self, instance: SocketAddr, ask: &Ask) -> Result<Request, Failure> {
        let url = format!("http://{instance}{}", ask.path);
        let url = Url::parse(&url).map_err(|error| Failure::Unreachable(error.to_string()))?;
        let mut req = Request::new(ask.method, url);
        for (name, value) in &ask.headers {
            req.insert_header(*name, value);
        }
        if let Some(token) = &self.token {
            req.insert_header("authorization", format!("Bearer {token}"));
        }
        if !ask.body.is_empty() {
            req.set_body(ask.body.clone());
        }
        Ok(req)
    }
}

async fn reply(stream: TcpStream, req: Request) -> Result<(StatusCode, Vec<u8>), Failure> {
    let lost = |error: &dyn std::fmt::Display| Failure::Lost(error.to_string());
    let mut res = async_h1::connect(stream, req)
        .await
        .map_err(|error| lost(&error))?;
    let mut body = Vec::new();
    let mut limited = res.take_body().take(MOST_REPLY_BYTES);
    let read = limited.read_to_end(&mut body).await;
    read.map_err(|error| lost(&error))?;
    Ok((res.status(), body))
}

fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body)
        .map_err(|error| Failure::Lost(format!("could not read the reply: {error}")))
}

impl Failure {
    /// Whether an instance refused with this kind.
    pub(super) fn is(&self, kind: ErrorKind) -> bool {
        matches!(self, Self::Refused(refusal) if refusal.kind == kind.row().code)
    }

    /// Says what went wrong, to a person or as JSON, and how the command ends.
    ///
    /// # Errors
    /// When no instance was reached, so that nothing was asked.
    pub(super) fn report(self, json: bool) -> Result<ExitCode> {
        let exit = self.exit();
        match self {
            Self::Unreachable(why) => bail!("could not reach an instance: {why}"),
            Self::Refused(refusal) if json => println!("{}", serde_json::to_string(&refusal)?),
            Self::Refused(refusal) => {
                eprintln!(
                    "hyssopwalk: {} ({}): {}",
                    refusal.kind, refusal.ran, refusal.detail
                );
            }
            Self::Lost(why) => {
                eprintln!(
                    "hyssopwalk: the reply was lost ({}): {why}",
                    Ran::MayHaveRun
                );
            }
        }
        Ok(exit.into())
    }

    fn exit(&self) -> Exit {
        match self {
            _ if self.is(ErrorKind::Conflict) => Exit::Conflict,
            Self::Refused(refusal) if refusal.ran == Ran::NotRun.to_string() => Exit::Refused,
            _ => Exit::Unknown,
        }
    }
}
