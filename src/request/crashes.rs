//! Whether a query may be what crashes the upstreams that run it.
//!
//! A request that crashes upstreams never gets a reply, so one reply is proof of
//! innocence. Until then a crash stops the sending of further legs, and after a second
//! one only a leg that is under way already can clear the query; see `docs/DESIGN.md`,
//! "Poison inside a query".

use crate::types::UpstreamName;

const CRASHES_OF_POISON: usize = 2;

/// The crashes of one query before its first reply.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    at: Vec<UpstreamName>,
    innocent: bool,
    known_suspect: bool,
    known_poison: bool,
}

impl Crashes {
    /// Notes a reply; returns whether it is the proof that was waited for.
    pub(super) fn on_reply(&mut self) -> bool {
        let held = self.suspected();
        self.innocent = true;
        held
    }

    /// Notes a crash; returns whether it counts against the query.
    pub(super) fn on_crash(&mut self, upstream: &UpstreamName) -> bool {
        if self.innocent {
            return false;
        }
        if !self.at.contains(upstream) {
            self.at.push(upstream.clone());
        }
        true
    }

    /// Notes that the same request lost its connections in another query.
    pub(super) fn on_known_suspect(&mut self) {
        self.known_suspect = true;
    }

    /// Notes that the same request crashed upstreams in other queries.
    pub(super) fn on_known_poison(&mut self) {
        self.known_poison = true;
    }

    /// Whether further legs have to wait for a reply.
    pub(super) fn suspected(&self) -> bool {
        !self.innocent && (self.known_suspect || !self.at.is_empty())
    }

    /// Whether the query must not be sent to any further upstream.
    pub(super) fn condemned(&self) -> bool {
        self.suspected() && (self.known_poison || self.at.len() >= CRASHES_OF_POISON)
    }
}
