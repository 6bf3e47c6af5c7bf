//! Messages between instances, independent of their encoding; see
//! `docs/INTERFACES.md`, "Between instances".

use std::sync::Arc;

use super::cells::{CellId, CellVersion, Member};
use super::fleet::{FollowRequest, Updates};
use super::shared_marks::MarkReport;
use super::{Object, ObjectKey};
use crate::types::{
    ConfigVersion, Epoch, Fingerprint, Incarnation, InstanceName, ObjectVersion, Position, Span,
};

/// Shows that the sender is alive, and requests the changes that it lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Heartbeat {
    /// The sender.
    pub(crate) from: Member,
    /// The cell of the sender.
    pub(crate) cell: Option<CellId>,
    /// The configuration in force at the sender.
    pub(crate) config: ConfigVersion,
    /// Position up to which the sender has read the receiver's change log.
    pub(crate) seen: Position,
    /// Incarnation of the receiver whose change log `seen` refers to.
    pub(crate) seen_of: Incarnation,
    /// The digest of the sender's own change log.
    pub(crate) digest: u64,
    /// Some of the instances that the sender had contact with lately; empty unless the
    /// sender has no leader.
    pub(crate) met: Vec<SeenInstance>,
    /// Fingerprints of the requests that the sender refuses because they crashed upstreams.
    pub(crate) poison: Vec<Fingerprint>,
}

/// An instance that another instance had contact with, directly or through others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SeenInstance {
    /// The instance.
    pub(crate) member: Member,
    /// The configuration in force at the instance.
    pub(crate) config: ConfigVersion,
    /// The time since the contact.
    pub(crate) age: Span,
}

/// The reply to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HeartbeatReply {
    /// The instance that replies.
    pub(crate) from: Member,
    /// The cell that the instance leads, and its fencing token.
    pub(crate) leading: Option<(CellId, Epoch)>,
    /// Whether the instance has learned the configuration and had recent contact with the
    /// platform or a peer.
    pub(crate) fresh: bool,
    /// The latest configuration known to have been in force at any instance.
    pub(crate) said_config: ConfigVersion,
    /// Position in the change log up to which this reply reports changes.
    pub(crate) up_to: Position,
    /// Whether the change log may have entries after `up_to`.
    pub(crate) more: bool,
    /// Objects that changed; the receiver fetches the values that it lacks.
    pub(crate) objects: Vec<(ObjectKey, ObjectVersion)>,
    /// Summaries that changed.
    pub(crate) cells: Vec<CellDelta>,
    /// Some of the instances that the sender had contact with lately; empty unless the
    /// sender has no leader.
    pub(crate) met: Vec<SeenInstance>,
    /// Fingerprints of the requests that the sender refuses because they crashed upstreams.
    pub(crate) poison: Vec<Fingerprint>,
}

/// What changed in a cell's summary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CellDelta {
    /// The cell.
    pub(crate) cell: CellId,
    /// The version of the summary after the change.
    pub(crate) version: CellVersion,
    /// Whether `changed` holds every instance of the cell.
    pub(crate) whole: bool,
    /// The instances that were added or changed.
    pub(crate) changed: Vec<Member>,
    /// The instances that were removed.
    pub(crate) removed: Vec<InstanceName>,
}

/// A request from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PeerRequest {
    /// Sends a heartbeat.
    Heartbeat(Box<Heartbeat>),
    /// Requests the values of these objects.
    Fetch(Vec<ObjectKey>),
    /// Requests the updates that the sender lacks; the reply may wait for one.
    Follow(Box<FollowRequest>),
    /// Reports the marks of requests; the reply is empty.
    Marks(Vec<MarkReport>),
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PeerResponse {
    /// The reply to a heartbeat.
    Heartbeat(Box<HeartbeatReply>),
    /// As many of the requested objects as fit in a message, in the requested order.
    Objects(Vec<Arc<Object>>),
    /// The reply to a follower.
    News(Box<Updates>),
}
