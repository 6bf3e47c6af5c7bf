//! Encodes a leg as an HTTP/2 request and decodes its reply; see `docs/INTERFACES.md`, "Upstreams".

use h2::{Reason, RecvStream};
use http::{HeaderMap, Request, StatusCode};

use crate::request::{LegFailure, LegReply, LegRequest};
use crate::types::ParseError;

const QUERY_HEADER: &str = "hw-query";
const LEG_HEADER: &str = "hw-leg";
const SNAPSHOT_HEADER: &str = "hw-snapshot";
const SHARD_HEADER: &str = "hw-shard";
const RANGE_HEADER: &str = "hw-range";
const TIME_LEFT_HEADER: &str = "hw-time-left";
const REASON_HEADER: &str = "hw-reason";
const DRAINING_REASON: &str = "draining";
const INITIAL_BODY_CAPACITY: usize = 4_096;

/// Why the HTTP/2 stream of a leg ended without a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LegStreamError {
    /// The upstream reported that it did not process the leg.
    Unprocessed,
    /// The connection broke, was closed, or was abandoned.
    ConnectionLost,
    /// The leg itself failed.
    Failed(LegFailure),
}

impl From<LegFailure> for LegStreamError {
    fn from(failure: LegFailure) -> Self {
        Self::Failed(failure)
    }
}

impl LegStreamError {
    /// Classifies an error that occurred before the reply's head arrived. Only a refused stream,
    /// or a stream that the upstream excluded in a graceful close (`GOAWAY` with `NO_ERROR`),
    /// proves that the leg did not run.
    pub(super) fn from_head_error(error: &h2::Error) -> Self {
        let is_remote_go_away = error.is_go_away() && error.is_remote();
        match error.reason() {
            Some(Reason::NO_ERROR) if is_remote_go_away => Self::Unprocessed,
            Some(Reason::REFUSED_STREAM) if error.is_remote() => Self::Failed(LegFailure::Shed),
            _ => Self::from_body_error(error),
        }
    }

    /// Classifies an error in the reply's body. The leg may have run.
    pub(super) fn from_body_error(error: &h2::Error) -> Self {
        if error.is_library() {
            return Self::Failed(LegFailure::Mangled);
        }
        match error.reason() {
            Some(Reason::CANCEL) if error.is_reset() => Self::Failed(LegFailure::OutOfTime),
            Some(_) if error.is_reset() => Self::Failed(LegFailure::Failed),
            _ => Self::ConnectionLost,
        }
    }
}

/// Builds the head of the request that carries a leg.
pub(super) fn request(leg: &LegRequest) -> Result<Request<()>, http::Error> {
    Request::post(format!("http://{}/leg", leg.upstream.addr))
        .header(QUERY_HEADER, leg.query.to_string())
        .header(LEG_HEADER, leg.leg.to_string())
        .header(SNAPSHOT_HEADER, leg.snapshot.to_string())
        .header(SHARD_HEADER, leg.shard.to_string())
        .header(RANGE_HEADER, leg.range.to_string())
        .header(TIME_LEFT_HEADER, format!("{}us", leg.time_left.0))
        .body(())
}

/// Maps a reply's status to a failure, or to `None` if the status is that of a complete reply.
pub(super) fn failure(status: StatusCode, headers: &HeaderMap) -> Option<LegFailure> {
    match status {
        StatusCode::OK => None,
        StatusCode::GONE => Some(LegFailure::SnapshotGone),
        StatusCode::GATEWAY_TIMEOUT => Some(LegFailure::OutOfTime),
        StatusCode::SERVICE_UNAVAILABLE => {
            let draining = headers
                .get(REASON_HEADER)
                .is_some_and(|reason| reason == DRAINING_REASON);
            Some(if draining {
                LegFailure::Draining
            } else {
                LegFailure::Shed
            })
        }
        _ => Some(LegFailure::Failed),
    }
}

/// Builds a reply with the ids from its headers.
///
/// # Errors
/// [`LegFailure::Mangled`] if an id is missing or invalid.
pub(super) fn reply(headers: &HeaderMap, body: Vec<u8>) -> Result<LegReply, LegFailure> {
    Ok(LegReply {
        query: parse_header(headers, QUERY_HEADER)?,
        leg: parse_header(headers, LEG_HEADER)?,
        snapshot: parse_header(headers, SNAPSHOT_HEADER)?,
        range: parse_header(headers, RANGE_HEADER)?,
        head: None,
        body: body.into(),
    })
}

fn parse_header<T>(headers: &HeaderMap, name: &str) -> Result<T, LegFailure>
where
    T: std::str::FromStr<Err = ParseError>,
{
    let text = headers.get(name).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok())
        .ok_or(LegFailure::Mangled)
}

/// Reads a reply's whole body; fails if it has more than `max_bytes` bytes.
pub(super) async fn read_body(
    mut body: RecvStream,
    max_bytes: usize,
) -> Result<Vec<u8>, LegStreamError> {
    let mut buf = Vec::with_capacity(INITIAL_BODY_CAPACITY);
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|error| LegStreamError::from_body_error(&error))?;
        if buf.len() + chunk.len() > max_bytes {
            return Err(LegFailure::Mangled.into());
        }
        buf.extend_from_slice(&chunk);
        body.flow_control()
            .release_capacity(chunk.len())
            .map_err(|error| LegStreamError::from_body_error(&error))?;
    }
    Ok(buf)
}
