//! The lease of a cell, and who may act on it.
//!
//! No two clocks are compared: a holder counts from just before its write was sent, a
//! contender from when it first read the state it wants to replace, so a holder's
//! lease ends first; see `docs/DESIGN.md`, "Membership".

use std::net::SocketAddr;

use crate::types::{Epoch, Incarnation, InstanceName, ObjectVersion, Span, Timestamp};

/// What the platform's object says about a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LeaseRecord {
    /// The fence.
    pub(crate) epoch: Epoch,
    /// Who holds it.
    pub(crate) holder: InstanceName,
    /// Which process of that name.
    pub(crate) incarnation: Incarnation,
    /// Where the holder takes heartbeats.
    pub(crate) peer_addr: SocketAddr,
    /// How often it was renewed.
    pub(crate) renewals: u64,
    /// Whether its holder gave it up.
    pub(crate) released: bool,
}

/// The lease of this instance's cell as this instance sees it.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    span: Span,
    seen: Option<Seen>,
    held: Option<Held>,
}

#[derive(Clone, Debug)]
struct Seen {
    version: ObjectVersion,
    since: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    epoch: Epoch,
    until: Timestamp,
    version: ObjectVersion,
    renewals: u64,
}

/// What to do after the lease's object was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Contend {
    /// Another instance may hold it; send it heartbeats.
    Follow,
    /// It has lapsed, or nobody held it: write it with this epoch.
    Take(Epoch),
    /// It is this process's own, written by a call whose reply was lost.
    Own(Epoch, u64),
}

impl Lease {
    pub(crate) fn new(span: Span) -> Self {
        Self {
            span,
            seen: None,
            held: None,
        }
    }

    /// The epoch in which this instance may act as leader now.
    pub(crate) fn epoch(&self, now: Timestamp) -> Option<Epoch> {
        self.held
            .filter(|held| now < held.until)
            .map(|held| held.epoch)
    }

    /// The version to replace and the count to write when the lease is renewed.
    pub(crate) fn renewal(&self, now: Timestamp) -> Option<(Epoch, ObjectVersion, u64)> {
        self.held
            .filter(|held| now < held.until)
            .map(|held| (held.epoch, held.version, held.renewals + 1))
    }

    /// What is left of the lease.
    pub(crate) fn left(&self, now: Timestamp) -> Span {
        self.held.map_or(Span::ZERO, |held| held.until.since(now))
    }

    /// Decides over the object as it was read, `None` when there is none.
    pub(crate) fn contend(
        &mut self,
        now: Timestamp,
        me: (&InstanceName, Incarnation),
        object: Option<(&LeaseRecord, ObjectVersion)>,
    ) -> Contend {
        let Some((record, version)) = object else {
            return Contend::Take(Epoch(1));
        };
        let own = record.holder == *me.0 && record.incarnation == me.1;
        if own && !record.released {
            return Contend::Own(record.epoch, record.renewals);
        }
        let next = Epoch(record.epoch.0 + 1);
        if record.released {
            return Contend::Take(next);
        }
        let restarted = record.holder == *me.0 && record.incarnation < me.1;
        if restarted || self.lapsed(now, version) {
            return Contend::Take(next);
        }
        Contend::Follow
    }

    fn lapsed(&mut self, now: Timestamp, version: ObjectVersion) -> bool {
        match &self.seen {
            Some(seen) if seen.version == version => now.since(seen.since) > self.span,
            _ => {
                self.seen = Some(Seen {
                    version,
                    since: now,
                });
                false
            }
        }
    }

    /// Notes a write that took effect and was sent at `sent`.
    pub(crate) fn wrote(
        &mut self,
        sent: Timestamp,
        epoch: Epoch,
        version: ObjectVersion,
        renewals: u64,
    ) {
        self.held = Some(Held {
            epoch,
            until: sent + self.span,
            version,
            renewals,
        });
        self.seen = None;
    }

    /// Notes the version that the lease's object was found at, after a lost reply.
    pub(crate) fn found(&mut self, found: ObjectVersion, counted: u64) {
        if let Some(held) = &mut self.held {
            held.version = found;
            held.renewals = counted;
        }
    }

    /// Notes that the lease is another's or was given up.
    pub(crate) fn lose(&mut self) {
        self.held = None;
    }
}
