//! This instance's share of every upstream's slots.
//!
//! Slots are shared by all instances without a call between them: each instance
//! keeps to its part of them, which follows the number of live instances; see
//! `docs/DESIGN.md`, "Limits".

use indexmap::IndexMap;

use crate::types::{Span, Timestamp, UpstreamName};
use crate::version::UpstreamSpec;

const LOOK_AGAIN: Span = Span::from_millis(1);

/// What this instance uses of its share at each upstream.
#[derive(Clone, Debug)]
pub struct Limits {
    live: u32,
    used: IndexMap<UpstreamName, u32>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            live: 1,
            used: IndexMap::new(),
        }
    }
}

impl Limits {
    /// Says how many instances are alive, this one included.
    pub fn set_live(&mut self, _now: Timestamp, live: u32) {
        self.live = live.max(1);
    }

    /// When this instance may next send a leg to the upstream; `now` when it may at once.
    #[must_use]
    pub fn room_at(&self, now: Timestamp, spec: &UpstreamSpec) -> Timestamp {
        let used = self.used.get(&spec.name).copied().unwrap_or_default();
        if used < self.share(spec) {
            now
        } else {
            now + LOOK_AGAIN
        }
    }

    /// Notes that a leg is sent; call it only when there is room.
    pub fn take(&mut self, _now: Timestamp, spec: &UpstreamSpec) {
        *self.used.entry(spec.name.clone()).or_default() += 1;
    }

    /// Notes that a leg has ended after it was under way for `_took`.
    pub fn give(&mut self, _now: Timestamp, name: &UpstreamName, _took: Span) {
        if let Some(used) = self.used.get_mut(name) {
            *used = used.saturating_sub(1);
        }
    }

    fn share(&self, spec: &UpstreamSpec) -> u32 {
        spec.slots.0.div_ceil(self.live).max(1)
    }
}
