//! What a follower asks, and what it is told.

use super::{Entry, Presence, SilenceReport, Silent};
use crate::types::{Fingerprint, Incarnation, InstanceName, Position, Span};

/// What an asker is after.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reason {
    /// It follows, and will ask again at once.
    Follows,
    /// It knows nothing yet and wants to know all, once.
    Joins,
    /// It looks who is there, once, because it lost somebody.
    Looks,
}

/// Asks for what the asker does not know yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Follow {
    pub(crate) from: Presence,
    pub(crate) reason: Reason,
    /// The process whose positions `objects` and `members` are.
    pub(crate) of: Incarnation,
    /// Up to where the asker knows that process's objects.
    pub(crate) objects: Position,
    /// Up to where the asker knows that process's instances.
    pub(crate) members: Position,
    /// The instances that the asker learned of and has not told here.
    pub(crate) learned: Vec<Presence>,
    /// Requests that crashed upstreams.
    pub(crate) poison: Vec<Fingerprint>,
    /// Replicas that the asker, or those that follow it, found silent.
    pub(crate) silent: Vec<SilenceReport>,
}

/// What the asker lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct News {
    pub(crate) from: Presence,
    /// The process that tells this.
    pub(crate) of: Incarnation,
    /// How long ago the store stated the objects; none when it never did.
    pub(crate) age: Option<Span>,
    /// The instances that the objects came through, the teller first.
    pub(crate) via: Vec<InstanceName>,
    pub(crate) objects: Vec<Entry>,
    pub(crate) objects_to: Position,
    pub(crate) members: Vec<Presence>,
    pub(crate) members_to: Position,
    /// Requests that crashed upstreams.
    pub(crate) poison: Vec<Fingerprint>,
    /// Replicas that enough instances found silent.
    pub(crate) silent: Vec<Silent>,
}
