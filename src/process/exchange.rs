//! What instances tell each other, apart from how it is encoded; see
//! `docs/INTERFACES.md`, "Between instances".

use std::sync::Arc;

use super::cells::{CellId, CellVersion, Member};
use super::fleet::{Follow, News};
use super::{Object, ObjectKey};
use crate::types::{
    ConfigVersion, Epoch, Fingerprint, Incarnation, InstanceName, ObjectVersion, Position, Span,
};

/// Says that the sender is alive, and asks for what it does not know yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Heartbeat {
    /// The sender.
    pub(crate) from: Member,
    /// The sender's cell.
    pub(crate) cell: Option<CellId>,
    /// The configuration in force at the sender.
    pub(crate) config: ConfigVersion,
    /// Up to where the sender knows the journal of the process in `seen_of`.
    pub(crate) seen: Position,
    /// The process whose journal `seen` is a place in.
    pub(crate) seen_of: Incarnation,
    /// The digest of the sender's own journal.
    pub(crate) digest: u64,
    /// Some of the instances that the sender heard of lately.
    pub(crate) met: Vec<Met>,
    /// Requests that the sender refuses because they crashed upstreams.
    pub(crate) poison: Vec<Fingerprint>,
}

/// An instance that was heard of some time ago.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Met {
    /// The instance.
    pub(crate) member: Member,
    /// The configuration in force there.
    pub(crate) config: ConfigVersion,
    /// How long ago it said so.
    pub(crate) age: Span,
}

/// The reply to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HeartbeatReply {
    /// Who replies.
    pub(crate) from: Member,
    /// The cell that it leads, and its fence.
    pub(crate) leading: Option<(CellId, Epoch)>,
    /// Whether it heard from the platform or others lately.
    pub(crate) fresh: bool,
    /// The latest configuration that anybody is known to have had in force.
    pub(crate) said_config: ConfigVersion,
    /// Up to where this reply tells its journal.
    pub(crate) up_to: Position,
    /// Whether the journal goes on after `up_to`.
    pub(crate) more: bool,
    /// Objects that changed; their values are fetched by whoever lacks them.
    pub(crate) objects: Vec<(ObjectKey, ObjectVersion)>,
    /// Summaries that changed.
    pub(crate) cells: Vec<CellDelta>,
    /// Some of the instances that it heard of lately.
    pub(crate) met: Vec<Met>,
    /// Requests that it refuses because they crashed upstreams.
    pub(crate) poison: Vec<Fingerprint>,
}

/// What changed in a cell's summary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CellDelta {
    /// The cell.
    pub(crate) cell: CellId,
    /// The summary's version after the change.
    pub(crate) version: CellVersion,
    /// Whether `changed` holds every instance of the cell.
    pub(crate) whole: bool,
    /// The instances that are new or differ.
    pub(crate) changed: Vec<Member>,
    /// The instances that are gone.
    pub(crate) removed: Vec<InstanceName>,
}

/// A request of one instance to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Ask {
    /// A heartbeat.
    Heartbeat(Box<Heartbeat>),
    /// The values of these objects.
    Fetch(Vec<ObjectKey>),
    /// What the asker lacks, as soon as there is something.
    Follow(Box<Follow>),
}

/// The reply to an [`Ask`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Told {
    /// To a heartbeat.
    Heartbeat(Box<HeartbeatReply>),
    /// As many of the objects as fit in a message, in the order they were asked for.
    Objects(Vec<Arc<Object>>),
    /// To a follower.
    News(Box<News>),
}
