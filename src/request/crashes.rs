//! Detects whether a query may be crashing the upstreams that run it.
//!
//! A request that crashes upstreams never gets a reply, so a single reply clears the
//! query. Until then a crash stops the sending of further legs, and after a second crash
//! only a leg that is already in flight can clear the query; see `docs/DESIGN.md`,
//! "Poison inside a query".

use crate::types::UpstreamName;

/// Crashes on this many upstreams make the query poison.
const MIN_POISON_CRASHES: usize = 2;

/// The crashes of one query before its first reply.
#[derive(Debug, Default)]
pub(super) struct CrashHistory {
    crashed: Vec<UpstreamName>,
    cleared: bool,
    known_suspect: bool,
    known_poison: bool,
}

impl CrashHistory {
    /// Records a reply, which clears the query; returns whether the query was suspected.
    pub(super) fn on_reply(&mut self) -> bool {
        let was_suspect = self.is_suspect();
        self.cleared = true;
        was_suspect
    }

    /// Records a crash; returns whether it counts against the query.
    pub(super) fn on_crash(&mut self, upstream: &UpstreamName) -> bool {
        if self.cleared {
            return false;
        }
        if !self.crashed.contains(upstream) {
            self.crashed.push(upstream.clone());
        }
        true
    }

    /// Records that the same request lost its connections in another query.
    pub(super) fn mark_suspect(&mut self) {
        self.known_suspect = true;
    }

    /// Records that the same request crashed upstreams in other queries.
    pub(super) fn mark_poison(&mut self) {
        self.known_poison = true;
    }

    /// Whether further legs have to wait until a reply clears the query.
    pub(super) fn is_suspect(&self) -> bool {
        !self.cleared && (self.known_suspect || !self.crashed.is_empty())
    }

    /// Whether the query must not be sent to any further upstream.
    pub(super) fn is_poison(&self) -> bool {
        self.is_suspect() && (self.known_poison || self.crashed.len() >= MIN_POISON_CRASHES)
    }
}
