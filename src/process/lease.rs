//! The lease of a cell, and the rules for holding and taking it.
//!
//! Clocks of different instances are never compared. A holder measures the lease from just
//! before it sent its write, a contender from its first read of the version to replace, so
//! the lease ends for the holder first; see `docs/DESIGN.md`, "Membership".

use std::net::SocketAddr;

use crate::types::{Epoch, Incarnation, InstanceName, ObjectVersion, Span, Timestamp};

/// The content of a lease's object in the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LeaseRecord {
    /// The fencing token.
    pub(crate) epoch: Epoch,
    /// The name of the holder.
    pub(crate) holder: InstanceName,
    /// Distinguishes the holder from other processes of the same name.
    pub(crate) incarnation: Incarnation,
    /// The address at which the holder receives heartbeats.
    pub(crate) peer_addr: SocketAddr,
    /// How often the lease was renewed.
    pub(crate) renewals: u64,
    /// Whether the holder released the lease.
    pub(crate) released: bool,
}

/// The lease of a cell as this instance observes or holds it.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    duration: Span,
    observed: Option<ObservedVersion>,
    held: Option<HeldLease>,
}

#[derive(Clone, Debug)]
struct ObservedVersion {
    version: ObjectVersion,
    since: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    epoch: Epoch,
    until: Timestamp,
    version: ObjectVersion,
    renewals: u64,
}

/// The action to take after a read of the lease's object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseAction {
    /// Another instance may hold the lease: send heartbeats to it.
    Follow,
    /// The lease has expired, was released or never held: take it with this epoch.
    Take(Epoch),
    /// This process holds the lease with this epoch and renewal count, through a write
    /// whose reply was lost.
    Own(Epoch, u64),
}

impl Lease {
    pub(crate) fn new(duration: Span) -> Self {
        Self {
            duration,
            observed: None,
            held: None,
        }
    }

    /// The epoch with which this instance may act as leader at `now`.
    pub(crate) fn epoch(&self, now: Timestamp) -> Option<Epoch> {
        self.held
            .filter(|held| now < held.until)
            .map(|held| held.epoch)
    }

    /// The epoch, the version to replace and the renewal count to write for a renewal.
    pub(crate) fn renewal(&self, now: Timestamp) -> Option<(Epoch, ObjectVersion, u64)> {
        self.held
            .filter(|held| now < held.until)
            .map(|held| (held.epoch, held.version, held.renewals + 1))
    }

    /// The time until the lease expires.
    pub(crate) fn left(&self, now: Timestamp) -> Span {
        self.held.map_or(Span::ZERO, |held| held.until.since(now))
    }

    /// Returns the action for the object as it was read; `None` when there is no object.
    pub(crate) fn next_action(
        &mut self,
        now: Timestamp,
        me: (&InstanceName, Incarnation),
        object: Option<(&LeaseRecord, ObjectVersion)>,
    ) -> LeaseAction {
        let Some((record, version)) = object else {
            return LeaseAction::Take(Epoch(1));
        };
        let own = record.holder == *me.0 && record.incarnation == me.1;
        if own && !record.released {
            return LeaseAction::Own(record.epoch, record.renewals);
        }
        let next = Epoch(record.epoch.0 + 1);
        if record.released {
            return LeaseAction::Take(next);
        }
        let restarted = record.holder == *me.0 && record.incarnation < me.1;
        if restarted || self.has_expired(now, version) {
            return LeaseAction::Take(next);
        }
        LeaseAction::Follow
    }

    fn has_expired(&mut self, now: Timestamp, version: ObjectVersion) -> bool {
        match &self.observed {
            Some(observed) if observed.version == version => {
                now.since(observed.since) > self.duration
            }
            _ => {
                self.observed = Some(ObservedVersion {
                    version,
                    since: now,
                });
                false
            }
        }
    }

    /// Records a write that was sent at `sent` and took effect.
    pub(crate) fn record_write(
        &mut self,
        sent: Timestamp,
        epoch: Epoch,
        version: ObjectVersion,
        renewals: u64,
    ) {
        self.held = Some(HeldLease {
            epoch,
            until: sent + self.duration,
            version,
            renewals,
        });
        self.observed = None;
    }

    /// Records the version and renewal count of this instance's own lease, read back after
    /// a renewal with a conflict or an unknown outcome.
    pub(crate) fn record_found(&mut self, version: ObjectVersion, renewals: u64) {
        if let Some(held) = &mut self.held {
            held.version = version;
            held.renewals = renewals;
        }
    }

    /// Records that this instance no longer holds the lease.
    pub(crate) fn clear_held(&mut self) {
        self.held = None;
    }
}
