//! A leg as an HTTP/2 request, and its reply; see `docs/INTERFACES.md`, "Upstreams".

use h2::RecvStream;
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
pub(super) async fn read_body(mut body: RecvStream, most: usize) -> Result<Vec<u8>, LegFailure> {
    let mut buf = Vec::with_capacity(FIRST_BYTES);
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|_| LegFailure::Lost)?;
        if buf.len() + chunk.len() > most {
            return Err(LegFailure::Mangled);
        }
        buf.extend_from_slice(&chunk);
        body.flow_control()
            .release_capacity(chunk.len())
            .map_err(|_| LegFailure::Lost)?;
    }
    Ok(buf)
}
