//! The inputs and outputs of a query: events, actions and the shared tables.

use std::sync::Arc;

use rand::rngs::SmallRng;

use super::{Answer, LegFailure, LegReply, LegRequest};
use crate::error::Refusal;
use crate::process::{ClassBudgets, Limits, Suspects, Upstreams};
use crate::types::{LegId, Timestamp};
use crate::version::Snapshot;

/// An input of the state machine of a query.
#[derive(Clone, Debug)]
pub enum Event {
    /// An upstream replied to a leg.
    Reply(LegId, LegReply),
    /// A leg failed.
    Failure(LegId, LegFailure),
    /// A time requested with [`Action::WakeAt`] has come.
    Wake,
    /// The caller disconnected.
    CallerGone,
    /// The query has to end now, as at its deadline.
    Expire,
}

/// An output of the state machine of a query, for the worker to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a leg.
    Send(LegRequest),
    /// Cancel a leg whose reply is no longer needed.
    Cancel(LegId),
    /// Deliver [`Event::Wake`] at this time.
    WakeAt(Timestamp),
    /// Return the result to the caller; this is the last action of a query.
    Finish(Result<Answer, Refusal>),
}

/// The shared tables that a query reads and updates, and the current time.
#[derive(Debug)]
pub struct Context<'a> {
    /// The current time.
    pub now: Timestamp,
    /// Published snapshots of the queried index, newest first.
    pub snapshots: &'a [Arc<Snapshot>],
    /// Requests suspected of crashing upstreams.
    pub suspects: &'a mut Suspects,
    /// This instance's share of the slots of each upstream.
    pub limits: &'a mut Limits,
    /// Load and latency of each upstream, as observed by this instance.
    pub upstreams: &'a mut Upstreams,
    /// How many extra legs each class may still send.
    pub budgets: &'a mut ClassBudgets,
    /// Seeded random number generator.
    pub rng: &'a mut SmallRng,
}
