//! The HTTP endpoint for callers' queries.

use std::sync::Arc;

use tide::{Request, Response, StatusCode};

use super::disconnect_watch::DisconnectWatch;
use super::front::Cx;
use super::query_wire::{AnswerWire, RefusalWire};
use crate::error::{ErrorKind, Refusal};
use crate::process::Instance;
use crate::request::{Answer, QueryRequest};
use crate::types::{ByteCount, ParseError, Span};

const CALLER_HEADER: &str = "hw-caller";
const TIMEOUT_HEADER: &str = "hw-timeout";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const UNNAMED_CALLER: &str = "unnamed";
const BODY_TIMEOUT: Span = Span::from_secs(5);

/// Handles `POST /v1/classes/{class}/query`.
pub(super) async fn post(mut req: Request<Cx>) -> tide::Result {
    let instance = Arc::clone(req.state());
    let res = match answer(&instance, &mut req).await {
        Ok(answer) => reply(200, &AnswerWire::from(answer))?,
        Err(refusal) => refusal_response(&refusal)?,
    };
    Ok(res)
}

async fn answer(instance: &Instance, req: &mut Request<Cx>) -> Result<Answer, Refusal> {
    let query_request = read_query(instance, req).await?;
    let disconnected = match req.ext::<DisconnectWatch>().cloned() {
        Some(disconnect_watch) => futures::future::Either::Left(Box::pin(disconnect_watch.wait())),
        None => futures::future::Either::Right(std::future::pending()),
    };
    instance.ask(query_request, disconnected).await
}

async fn read_query(instance: &Instance, req: &mut Request<Cx>) -> Result<QueryRequest, Refusal> {
    let class = req
        .param("class")
        .unwrap_or_default()
        .parse()
        .map_err(bad_request)?;
    let caller = header(req, CALLER_HEADER)
        .unwrap_or(UNNAMED_CALLER)
        .parse()
        .map_err(bad_request)?;
    let timeout = header(req, TIMEOUT_HEADER)
        .map(str::parse::<Span>)
        .transpose()
        .map_err(|error| Refusal::new(ErrorKind::BadTimeout, error.to_string()))?;
    if timeout == Some(Span::ZERO) {
        return Err(Refusal::new(ErrorKind::BadTimeout, "the timeout is zero"));
    }
    let key = header(req, IDEMPOTENCY_KEY_HEADER)
        .map(str::parse)
        .transpose()
        .map_err(bad_request)?;
    let body = read_body(req, instance.settings.max_body).await?;
    Ok(QueryRequest {
        caller,
        class,
        body,
        timeout,
        key,
    })
}

pub(super) async fn read_body(req: &mut Request<Cx>, max: ByteCount) -> Result<Arc<[u8]>, Refusal> {
    let too_large = || {
        Refusal::new(
            ErrorKind::TooLarge,
            format!("the body exceeds the limit of {max} bytes"),
        )
    };
    if req.len().is_some_and(|len| len as u64 > max.0) {
        return Err(too_large());
    }
    let declared_len = req.len();
    let mut buf = Vec::new();
    let body = async_std::io::ReadExt::take(req.take_body(), max.0 + 1);
    let mut body = body;
    let reading = async_std::io::ReadExt::read_to_end(&mut body, &mut buf);
    async_std::future::timeout(BODY_TIMEOUT.as_duration(), reading)
        .await
        .map_err(|_| Refusal::new(ErrorKind::SlowCaller, "the body was not received in time"))?
        .map_err(|error| {
            Refusal::new(
                ErrorKind::BadRequest,
                format!("could not read the body: {error}"),
            )
        })?;
    if buf.len() as u64 > max.0 {
        return Err(too_large());
    }
    if declared_len.is_some_and(|declared_len| declared_len != buf.len()) {
        return Err(Refusal::new(
            ErrorKind::BadRequest,
            "the body is shorter than its declared length",
        ));
    }
    Ok(Arc::from(buf))
}

fn header<'a>(req: &'a Request<Cx>, name: &str) -> Option<&'a str> {
    req.header(name).map(|values| values.last().as_str())
}

#[expect(clippy::needless_pass_by_value, reason = "it is passed to map_err")]
fn bad_request(error: ParseError) -> Refusal {
    Refusal::new(ErrorKind::BadRequest, error.to_string())
}

/// Converts a refusal to an HTTP response.
pub(super) fn refusal_response(refusal: &Refusal) -> tide::Result<Response> {
    reply(refusal.kind.row().status, &RefusalWire::from(refusal))
}

/// Adds a refusal as the body of error responses that have none, with the kind that the status
/// implies.
pub(super) async fn add_error_body(res: Response) -> tide::Result {
    if !res.is_empty().unwrap_or(false) {
        return Ok(res);
    }
    match res.status() {
        StatusCode::NotFound => refusal_response(&Refusal::new(
            ErrorKind::NotFound,
            "the path does not exist",
        )),
        StatusCode::MethodNotAllowed => refusal_response(&Refusal::new(
            ErrorKind::BadRequest,
            "the path does not support this method",
        )),
        StatusCode::InternalServerError => {
            refusal_response(&Refusal::new(ErrorKind::Internal, "the request failed"))
        }
        _ => Ok(res),
    }
}

fn reply(status: u16, wire: &impl serde::Serialize) -> tide::Result<Response> {
    let body = tide::Body::from_json(wire)?;
    Ok(Response::builder(status).body(body).build())
}
