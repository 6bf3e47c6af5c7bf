//! HTTP client for running instances, used by the operator and caller commands.

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
use super::operator_args::{ClientArgs, OperatorArgs};
use crate::connection::RefusalWire;
use crate::error::{ErrorKind, Ran};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_REPLY_BYTES: u64 = 64 << 20;

/// Sends requests to the first of the given instances that accepts a connection.
#[derive(Debug)]
pub(super) struct Client {
    instances: Vec<SocketAddr>,
    timeout: Duration,
    token: Option<String>,
}

/// Why a request has no successful reply.
#[derive(Debug)]
pub(super) enum ClientError {
    /// An instance refused the request.
    Refused(RefusalWire),
    /// The request may have been sent, but no complete and valid reply was received.
    ReplyLost(String),
    /// No instance accepted a connection.
    Unreachable(String),
}

/// A request that any instance can serve.
#[derive(Clone, Debug)]
pub(super) struct ApiRequest {
    method: Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
}

impl ApiRequest {
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

    /// Adds a query parameter if it has a value. The value must not need URL encoding.
    pub(super) fn parameter(mut self, name: &str, value: Option<&impl ToString>) -> Self {
        if let Some(value) = value {
            let separator = if self.path.contains('?') { '&' } else { '?' };
            self.path = format!("{}{separator}{name}={}", self.path, value.to_string());
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
    /// Creates a client that sends no token.
    pub(super) fn new(args: &ClientArgs) -> Self {
        Self {
            instances: args.instance.clone(),
            timeout: args.timeout.as_duration(),
            token: None,
        }
    }

    /// Creates a client that sends an operator's token.
    ///
    /// # Errors
    /// If no token is given, or its file cannot be read.
    pub(super) fn for_operator(args: &OperatorArgs) -> Result<Self> {
        let token = match (&args.token, &args.token_file) {
            (Some(token), _) => token.clone(),
            (None, Some(path)) => std::fs::read_to_string(path)
                .with_context(|| format!("could not read {}", path.display()))?,
            (None, None) => bail!("could not find a token; pass --token or --token-file"),
        };
        Ok(Self {
            token: Some(token.trim().to_owned()),
            ..Self::new(&args.ask)
        })
    }

    /// Returns a client with the same options for a single instance.
    pub(super) fn for_instance(&self, instance: SocketAddr) -> Self {
        Self {
            instances: vec![instance],
            timeout: self.timeout,
            token: self.token.clone(),
        }
    }

    /// Sends a request and parses the JSON body of the reply.
    pub(super) async fn send<T: DeserializeOwned>(
        &self,
        request: &ApiRequest,
    ) -> Result<T, ClientError> {
        let mut reason = "no instance was given".to_owned();
        for instance in &self.instances {
            match timeout(CONNECT_TIMEOUT, TcpStream::connect(instance)).await {
                Ok(Ok(stream)) => return self.send_over(stream, *instance, request).await,
                Ok(Err(error)) => reason = format!("{instance}: {error}"),
                Err(_) => reason = format!("{instance}: the connection attempt timed out"),
            }
        }
        Err(ClientError::Unreachable(reason))
    }

    async fn send_over<T: DeserializeOwned>(
        &self,
        stream: TcpStream,
        instance: SocketAddr,
        request: &ApiRequest,
    ) -> Result<T, ClientError> {
        let req = self.http_request(instance, request)?;
        let reply = timeout(self.timeout, read_reply(stream, req)).await;
        let (status, body) =
            reply.map_err(|_| ClientError::ReplyLost("timed out".to_owned()))??;
        if status.is_success() {
            return parse(&body);
        }
        Err(ClientError::Refused(parse(&body)?))
    }

    fn http_request(
        &self,
        instance: SocketAddr,
        request: &ApiRequest,
    ) -> Result<Request, ClientError> {
        let url = format!("http://{instance}{}", request.path);
        let url = Url::parse(&url).map_err(|error| ClientError::Unreachable(error.to_string()))?;
        let mut req = Request::new(request.method, url);
        for (name, value) in &request.headers {
            req.insert_header(*name, value);
        }
        if let Some(token) = &self.token {
            req.insert_header("authorization", format!("Bearer {token}"));
        }
        if !request.body.is_empty() {
            req.set_body(request.body.clone());
        }
        Ok(req)
    }
}

async fn read_reply(stream: TcpStream, req: Request) -> Result<(StatusCode, Vec<u8>), ClientError> {
    let reply_lost = |error: &dyn std::fmt::Display| ClientError::ReplyLost(error.to_string());
    let mut res = async_h1::connect(stream, req)
        .await
        .map_err(|error| reply_lost(&error))?;
    let mut body = Vec::new();
    let mut limited = res.take_body().take(MAX_REPLY_BYTES);
    let read = limited.read_to_end(&mut body).await;
    read.map_err(|error| reply_lost(&error))?;
    Ok((res.status(), body))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, ClientError> {
    serde_json::from_slice(body)
        .map_err(|error| ClientError::ReplyLost(format!("could not parse the reply: {error}")))
}

impl ClientError {
    /// Whether an instance refused the request with this kind of error.
    pub(super) fn is_refusal(&self, kind: ErrorKind) -> bool {
        matches!(self, Self::Refused(refusal) if refusal.kind == kind.row().code)
    }

    /// Prints the error, refusals as JSON if `json` is set, and returns the command's exit code.
    ///
    /// # Errors
    /// If no instance could be reached, so that no request was sent.
    pub(super) fn report(self, json: bool) -> Result<ExitCode> {
        let exit = self.exit();
        match self {
            Self::Unreachable(reason) => bail!("could not reach an instance: {reason}"),
            Self::Refused(refusal) if json => println!("{}", serde_json::to_string(&refusal)?),
            Self::Refused(refusal) => {
                eprintln!(
                    "hyssopwalk: {} ({}): {}",
                    refusal.kind, refusal.ran, refusal.detail
                );
            }
            Self::ReplyLost(reason) => {
                eprintln!(
                    "hyssopwalk: no valid reply was received ({}): {reason}",
                    Ran::MayHaveRun
                );
            }
        }
        Ok(exit.into())
    }

    fn exit(&self) -> Exit {
        match self {
            _ if self.is_refusal(ErrorKind::Conflict) => Exit::Conflict,
            Self::Refused(refusal) if refusal.ran == Ran::NotRun.to_string() => Exit::Refused,
            _ => Exit::Unknown,
        }
    }
}
