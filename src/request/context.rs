//! What a query is given and what it wants done.

use std::sync::Arc;

use rand::rngs::SmallRng;

use super::{Answer, LegFailure, LegReply, LegRequest};
use crate::error::Refusal;
use crate::process::{Budgets, Limits, Suspects, Upstreams};
use crate::types::{LegId, Timestamp};
use crate::version::Snapshot;

/// What happens to a query.
#[derive(Clone, Debug)]
pub enum Event {
    /// An upstream replied to a leg.
    Reply(LegId, LegReply),
    /// A leg failed.
    Failure(LegId, LegFailure),
    /// A time that the query asked to be woken at has come.
    Wake,
    /// The caller hung up.
    CallerGone,
}

/// What a query wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a leg.
    Send(LegRequest),
    /// Stop a leg, whose reply is no longer of use.
    Cancel(LegId),
    /// Wake the query at this time.
    WakeAt(Timestamp),
    /// Tell the caller; nothing follows it.
    Finish(Result<Answer, Refusal>),
}

/// The shared tables that a query decides by, at one moment.
#[derive(Debug)]
pub struct Context<'a> {
    /// The present.
    pub now: Timestamp,
    /// The published snapshots of the query's index, newest first.
    pub snapshots: &'a [Arc<Snapshot>],
    /// The requests that crashed upstreams.
    pub suspects: &'a mut Suspects,
    /// This instance's share of every upstream's slots.
    pub limits: &'a mut Limits,
    /// Every upstream as this instance observes it.
    pub upstreams: &'a mut Upstreams,
    /// How much extra load each class may still cause.
    pub budgets: &'a mut Budgets,
    /// Seeded randomness.
    pub rng: &'a mut SmallRng,
}
