//! A leg as an HTTP/2 request, and its reply; see `docs/INTERFACES.md`, "Upstreams".

use h2::{Reason, RecvStream};
use http::{HeaderMap, Request, StatusCode};

use crate::request::{LegFailure, LegReply, LegRequest};
use crate::types::ParseError;

const QUERY: &str = "hw-query";
const LEG: &str = "hw-leg";
const SNAPSHOT: &str = "hw-snapshot";
const SHARD: &str = "hw-shard";
const RANGE: &str = "hw-range";
const TIME_LEFT: &str = "hw-time-left";
const REASON: &str = "hw-reason";
const DRAINING: &str = "draining";
const FIRST_BYTES: usize = 4_096;

/// Why a stream gave no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Broken {
    /// The upstream said that it did not look at the leg.
    Unprocessed,
    /// The connection broke, was closed, or was given up.
    Cut,
    /// The leg itself failed.
    Failed(LegFailure),
}

impl From<LegFailure> for Broken {
    fn from(failure: LegFailure) -> Self {
        Self::Failed(failure)
    }
}

impl Broken {
    /// What an error before the reply's head means. Only a refused stream, or one that
    /// a graceful close left out, proves that the leg did not run.
    pub(super) fn of_head(error: &h2::Error) -> Self {
        let left_out = error.is_go_away() && error.is_remote();
        match error.reason() {
            Some(Reason::NO_ERROR) if left_out => Self::Unprocessed,
            Some(Reason::REFUSED_STREAM) if error.is_remote() => Self::Failed(LegFailure::Shed),
            _ => Self::of_body(error),
        }
    }

    /// What an error within the reply means: the leg may have run.
    pub(super) fn of_body(error: &h2::Error) -> Self {
        if error.is_library() {
            return Self::Failed(LegFailure::Mangled);
        }
        match error.reason() {
            Some(Reason::CANCEL) if error.is_reset() => Self::Failed(LegFailure::OutOfTime),
            Some(_) if error.is_reset() => Self::Failed(LegFailure::Failed),
            _ => Self::Cut,
        }
    }
}

/// The head of the request that carries a leg.
pub(super) fn request(leg: &LegRequest) -> Result<Request<()>, http::Error> {
    Request::post(format!("http://{}/leg", leg.upstream.addr))
        .header(QUERY, leg.query.to_string())
        .header(LEG, leg.leg.to_string())
        .header(SNAPSHOT, leg.snapshot.to_string())
        .header(SHARD, leg.shard.to_string())
        .header(RANGE, leg.range.to_string())
        .header(TIME_LEFT, format!("{}us", leg.time_left.0))
        .body(())
}

/// What a reply's status says, unless it is the status of a whole reply.
pub(super) fn failure(status: StatusCode, headers: &HeaderMap) -> Option<LegFailure> {
    match status {
        StatusCode::OK => None,
        StatusCode::GONE => Some(LegFailure::SnapshotGone),
        StatusCode::GATEWAY_TIMEOUT => Some(LegFailure::OutOfTime),
        StatusCode::SERVICE_UNAVAILABLE => {
            let draining = headers.get(REASON).is_some_and(|reason| reason == DRAINING);
            Some(if draining {
                LegFailure::Draining
            } else {
                LegFailure::Shed
            })
        }
        _ => Some(LegFailure::Failed),
    }
}

/// A reply with the ids its headers state, or a failure when any is missing.
pub(super) fn reply(headers: &HeaderMap, body: Vec<u8>) -> Result<LegReply, LegFailure> {
    Ok(LegReply {
        query: read(headers, QUERY)?,
        leg: read(headers, LEG)?,
        snapshot: read(headers, SNAPSHOT)?,
        range: read(headers, RANGE)?,
        head: None,
        body,
    })
}

fn read<T>(headers: &HeaderMap, name: &str) -> Result<T, LegFailure>
where
    T: std::str::FromStr<Err = ParseError>,
{
    let text = headers.get(name).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok())
        .ok_or(LegFailure::Mangled)
}

/// Reads a reply's body whole, up to `most` bytes.
pub(super) async fn read_body(mut body: RecvStream, most: usize) -> Result<Vec<u8>, Broken> {
    let mut buf = Vec::with_capacity(FIRST_BYTES);
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|error| Broken::of_body(&error))?;
        if buf.len() + chunk.len() > most {
            return Err(LegFailure::Mangled.into());
        }
        buf.extend_from_slice(&chunk);
        body.flow_control()
            .release_capacity(chunk.len())
            .map_err(|error| Broken::of_body(&error))?;
    }
    Ok(buf)
}
