//! What lives for one request: its legs, its answer, and the decisions between them.
//!
//! Nothing here reads a clock, touches a socket or knows an encoding. A [`Query`] is
//! given events and returns actions; see `docs/DESIGN.md`, "Decisions".

mod admit;
mod answer;
mod context;
mod crashes;
mod due;
mod extra;
mod hedge;
mod leg;
mod merge;
mod outcome;
mod query;
mod restart;
mod send;
mod shard;
mod terms;

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
mod snapshot_tests;
#[cfg(test)]
mod world_tests;

pub use answer::{Answer, Part};
pub use context::{Action, Context, Event};
pub use leg::{LegFailure, LegReply, LegRequest, ReplyHead};
pub use query::Query;
pub use terms::Terms;

pub(crate) use merge::greatest;

use std::sync::Arc;

use crate::types::{CallerName, ClassName, IdempotencyKey, Span};

/// What a caller asks, whichever front end it came through.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Inquiry {
    /// Who asks.
    pub caller: CallerName,
    /// The class of work.
    pub class: ClassName,
    /// The query itself, which hyssopwalk passes on unread.
    pub body: Arc<[u8]>,
    /// The caller's own timeout, when it is shorter than the class's target.
    pub timeout: Option<Span>,
    /// The key that names an order across its repetitions.
    pub key: Option<IdempotencyKey>,
}
