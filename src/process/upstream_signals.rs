//! What an upstream says of itself in its replies.
//!
//! The platform's adapter decodes it once. Unlike health endpoints, which lag, it is as new
//! as the reply. See `docs/DESIGN.md`, "What upstreams say of themselves".

use crate::request::{LegFailure, LegReply};
use crate::types::{PerSecond, Span};

/// What an upstream said of itself in one reply.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct UpstreamSignals {
    /// The requests that it takes from all instances together, until a reply states none.
    pub(crate) rate_limit: Option<PerSecond>,
    /// Whether it leaves, and takes no new requests.
    pub(crate) leaving: bool,
    /// How long it wants no requests from this instance, when it turned one away.
    pub(crate) pause: Option<Span>,
    /// How many of the signals could not be decoded.
    pub(crate) invalid: u32,
}

/// The result of a leg.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LegResult {
    /// What the upstream said of itself; `None` unless it replied.
    pub(crate) signals: Option<UpstreamSignals>,
    pub(crate) outcome: Result<LegReply, LegFailure>,
}

impl From<Result<LegReply, LegFailure>> for LegResult {
    /// A result of a protocol in which upstreams say nothing of themselves.
    fn from(outcome: Result<LegReply, LegFailure>) -> Self {
        Self {
            signals: None,
            outcome,
        }
    }
}
