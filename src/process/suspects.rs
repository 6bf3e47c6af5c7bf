//! Requests that crashed the upstreams that ran them.
//!
//! A crash counts against every request that was under way there, so one crash proves
//! nothing; any reply clears a request, since a poisonous one never gets that far. See
//! `docs/DESIGN.md`, "Poison requests".

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::types::{Fingerprint, Timestamp, UpstreamName};

const CRASHES_OF_POISON: usize = 2;

/// The requests under suspicion.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    crashes: IndexMap<Fingerprint, IndexSet<UpstreamName>>,
}

impl Suspects {
    /// Notes that an upstream crashed while it ran the request.
    pub fn crashed(&mut self, _now: Timestamp, request: Fingerprint, upstream: &UpstreamName) {
        self.crashes
            .entry(request)
            .or_default()
            .insert(upstream.clone());
    }

    /// Notes that an upstream ran the request and replied.
    pub fn replied(&mut self, _now: Timestamp, request: Fingerprint) {
        self.crashes.swap_remove(&request);
    }

    /// Whether the request may not be sent to any upstream.
    #[must_use]
    pub fn is_poison(&self, _now: Timestamp, request: Fingerprint) -> bool {
        self.crashes
            .get(&request)
            .is_some_and(|at| at.len() >= CRASHES_OF_POISON)
    }
}
