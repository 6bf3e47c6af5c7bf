//! The times of membership, and what an instance is in its cell and towards callers.

use std::fmt;

use crate::types::{Epoch, Span};

/// The times that follow from the time between heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Timing {
    /// Between two heartbeats.
    pub(crate) beat: Span,
}

impl Timing {
    /// A leader that did not reply for so long is given up.
    pub(crate) fn silent(self) -> Span {
        Span(self.beat.0 * 2)
    }

    /// Between two renewals of a lease.
    pub(crate) fn renew(self) -> Span {
        Span(self.beat.0 * 3)
    }

    /// How long a lease lasts.
    pub(crate) fn lease(self) -> Span {
        Span(self.beat.0 * 9)
    }

    /// An instance that sent no heartbeat for so long is taken out of its cell.
    pub(crate) fn dead(self) -> Span {
        Span(self.beat.0 * 5)
    }

    /// An instance that reached nobody for so long says that it is stale.
    pub(crate) fn stale(self) -> Span {
        Span(self.beat.0 * 10)
    }

    /// How long an instance that is gone still counts for the limits.
    pub(crate) fn count_hold(self) -> Span {
        Span(self.beat.0 * 30)
    }
}

/// What an instance is in its cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// It holds the lease of this epoch.
    Leading(Epoch),
    /// Its leader, of this epoch, replies to its heartbeats.
    Following(Epoch),
    /// It has no leader.
    Orphan,
}

/// Whether callers may be sent to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Readiness {
    /// It is in force with what others have.
    Ready,
    /// It has not learned the configuration and the indexes yet.
    Learning,
    /// It has reached neither the platform nor a peer for a while.
    Stale,
    /// It is leaving.
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
