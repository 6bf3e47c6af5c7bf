//! The timing of membership, the role of an instance in its cell, and its readiness.

use std::fmt;

use crate::types::{Epoch, Span};

/// The heartbeat interval, and the times derived from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Timing {
    /// The time between two heartbeats.
    pub(crate) heartbeat_interval: Span,
}

impl Timing {
    /// The time without a reply after which a follower drops its leader.
    pub(crate) fn leader_timeout(self) -> Span {
        Span(self.heartbeat_interval.0 * 2)
    }

    /// The time between two renewals of a lease.
    pub(crate) fn lease_renewal_interval(self) -> Span {
        Span(self.heartbeat_interval.0 * 3)
    }

    /// The duration of a lease.
    pub(crate) fn lease_duration(self) -> Span {
        Span(self.heartbeat_interval.0 * 9)
    }

    /// The time without a heartbeat after which an instance is removed from its cell.
    pub(crate) fn member_timeout(self) -> Span {
        Span(self.heartbeat_interval.0 * 5)
    }

    /// The time without contact to the platform or a peer after which an instance is stale.
    pub(crate) fn stale_after(self) -> Span {
        Span(self.heartbeat_interval.0 * 10)
    }

    /// How long a departed instance still counts in the division of the limits.
    pub(crate) fn departed_retention(self) -> Span {
        Span(self.heartbeat_interval.0 * 30)
    }
}

/// The role of an instance in its cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// The instance holds the lease with this epoch.
    Leading(Epoch),
    /// The leader of this epoch replies to its heartbeats.
    Following(Epoch),
    /// The instance has no leader and is not the leader.
    Orphan,
}

/// Whether callers may be sent to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Readiness {
    /// The instance has learned the configuration and the indexes, and is in contact with
    /// the platform or a peer.
    Ready,
    /// The instance has not learned the configuration and the indexes yet.
    Learning,
    /// The instance has had no contact with the platform or a peer for
    /// [`Timing::stale_after`].
    Stale,
    /// The instance is leaving or has stopped.
    Leaving,
}

impl fmt::Display for Readiness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ready => "ready",
            Self::Learning => "learning",
            Self::Stale => "stale",
            Self::Leaving => "leaving",
        })
    }
}
