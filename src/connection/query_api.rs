//! The endpoint that callers send queries to.

use std::sync::Arc;

use tide::{Request, Response, StatusCode};

use super::front::Cx;
use super::hangup::Hangup;
use super::query_wire::{AnswerWire, RefusalWire};
use crate::error::{ErrorKind, Refusal};
use crate::process::Instance;
use crate::request::{Answer, Inquiry};
use crate::types::{ByteCount, ParseError, Span};

const CALLER_HEADER: &str = "hw-caller";
const TIMEOUT_HEADER: &str = "hw-timeout";
const KEY_HEADER: &str = "idempotency-key";
const UNNAMED_CALLER: &str = "unnamed";
const BODY_TIMEOUT: Span = Span::from_secs(5);

/// `POST /v1/classes/{class}/query`.
pub(super) async fn post(mut req: Request<Cx>) -> tide::Result {
    let instance = Arc::clone(req.state());
    let res = match answer(&instance, &mut req).await {
        Ok(answer) => reply(200, &AnswerWire::from(answer))?,
        Err(refusal) => refuse(&refusal)?,
    };
    Ok(res)
}

async fn answer(instance: &Instance, req: &mut Request<Cx>) -> Result<Answer, Refusal> {
    let inquiry = read(instance, req).await?;
    let gone = match req.ext::<Hangup>().cloned() {
        Some(hangup) => futures::future::Either::Left(Box::pin(hangup.wait())),
        None => futures::future::Either::Right(std::future::pending()),
    };
    instance.ask(inquiry, gone).await
}

async fn read(instance: &Instance, req: &mut Request<Cx>) -> Result<Inquiry, Refusal> {
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
    let key = header(req, KEY_HEADER)
        .map(str::parse)
        .transpose()
        .map_err(bad_request)?;
    let body = read_body(req, instance.settings.most_body).await?;
    Ok(Inquiry {
        caller,
        class,
        body,
        timeout,
        key,
    })
}

pub(super) async fn read_body(
    req: &mut Request<Cx>,
    most: ByteCount,
) -> Result<Arc<[u8]>, Refusal> {
    let too_large = || {
        Refusal::new(
            ErrorKind::TooLarge,
            format!("a body has at most {most} bytes"),
        )
    };
    if req.len().is_some_and(|len| len as u64 > most.0) {
        return Err(too_large());
    }
    let stated = req.len();
    let mut buf = Vec::new();
    let body = async_std::io::ReadExt::take(req.take_body(), most.0 + 1);
    let mut body = body;
    let reading = async_std::io::ReadExt::read_to_end(&mut body, &mut buf);
    async_std::future::timeout(BODY_TIMEOUT.as_duration(), reading)
        .await
        .map_err(|_| Refusal::new(ErrorKind::SlowCaller, "the body did not come in time"))?
        .map_err(|error| {
            Refusal::new(
                ErrorKind::BadRequest,
                format!("could not read the body: {error}"),
            )
        })?;
    if buf.len() as u64 > most.0 {
        return Err(too_large());
    }
    if stated.is_some_and(|stated| stated != buf.len()) {
        return Err(Refusal::new(
            ErrorKind::BadRequest,
            "the body ended before its stated length",
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

/// A refusal as an answer.
pub(super) fn refuse(refusal: &Refusal) -> tide::Result<Response> {
    reply(refusal.kind.row().status, &RefusalWire::from(refusal))
}

/// Gives errors that come without a word the kind that their status stands for.
pub(super) async fn explain(res: Response) -> tide::Result {
    if !res.is_empty().unwrap_or(false) {
        return Ok(res);
    }
    match res.status() {
        StatusCode::NotFound => refuse(&Refusal::new(ErrorKind::NotFound, "there is no such path")),
        StatusCode::MethodNotAllowed => refuse(&Refusal::new(
            ErrorKind::BadRequest,
            "the path does not take this method",
        )),
        StatusCode::InternalServerError => {
            refuse(&Refusal::new(ErrorKind::Internal, "the request failed"))
        }
        _ => Ok(res),
    }
}

fn reply(status: u16, wire: &impl serde::Serialize) -> tide::Result<Response> {
    let body = tide::Body::from_json(wire)?;
    Ok(Response::builder(status).body(body).build())
}
