//! State that lives for one request: its legs, its answer and the decisions about them.
//!
//! This module reads no clock, does no I/O and is independent of encodings. A [`Query`]
//! takes events and returns actions; see `docs/DESIGN.md`, "Decisions".

mod admit;
mod answer;
mod body;
mod context;
mod crashes;
mod extra;
mod hedge;
mod leg;
mod merge;
mod options;
mod outcome;
mod query;
mod restart;
mod send;
mod shard;
mod shard_timers;

#[cfg(test)]
mod crash_tests;
#[cfg(test)]
mod extra_tests;
#[cfg(test)]
mod harness_tests;
#[cfg(test)]
mod invariant_tests;
#[cfg(test)]
mod poison_tests;
#[cfg(test)]
mod query_tests;
#[cfg(test)]
mod simulation_tests;
#[cfg(test)]
mod snapshot_tests;
#[cfg(test)]
mod stated_room_tests;

pub use answer::{Answer, Part};
pub use body::Body;
pub use context::{Action, Context, Event};
pub use leg::{LegFailure, LegReply, LegRequest, ReplyHead};
pub use options::QueryOptions;
pub use query::Query;

pub(crate) use admit::time_needed;
pub(crate) use merge::merge_top_records;

use std::sync::Arc;

use crate::types::{CallerName, ClassName, IdempotencyKey, Span};

/// A query as received from a caller, independent of the front end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueryRequest {
    /// The caller that sent it.
    pub caller: CallerName,
    /// The class whose targets apply to the query.
    pub class: ClassName,
    /// The body of the query, forwarded without parsing.
    pub body: Arc<[u8]>,
    /// The caller's own timeout, if it is shorter than the latency target of the class.
    pub timeout: Option<Span>,
    /// The idempotency key, which identifies an order across its repetitions.
    pub key: Option<IdempotencyKey>,
}
