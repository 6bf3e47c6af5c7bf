//! This instance's share of every upstream's slots and connections.
//!
//! Slots are shared by all instances without a call between them: each keeps a
//! [`Window`] that follows the queue it observes and begins at its part of the slots,
//! which follows the number of live instances; see `docs/DESIGN.md`, "Limits".

use super::window::Window;
use super::{LegEnd, Table};
use crate::request::LegFailure;
use crate::types::{ConnectionCount, Span, Timestamp, UpstreamName};
use crate::version::UpstreamSpec;

/// One place in so many is kept for an instance that runs beside the one it replaces.
const INSTANCES_A_SPARE: u32 = 4;
/// After its start, an instance leaves room for connections that its former life did not
/// close: upstreams were seen to reset new ones for about 4 s after a loss of power.
const FORMER_LIFE: Timestamp = Timestamp(5_000_000);
/// With a single connection of one leg each, a leg that hangs holds up all others.
const CONNECTIONS_FOR_A_HANG: u32 = 2;
const KEPT_UNUSED: Span = Span::from_secs(3_600);

/// What this instance uses of its share at each upstream.
#[derive(Clone, Debug)]
pub struct Limits {
    live: u32,
    windows: Table<UpstreamName, Window>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            live: 1,
            windows: Table::default(),
        }
    }
}

impl Limits {
    /// Says how many instances are alive, this one included.
    pub fn set_live(&mut self, _now: Timestamp, live: u32) {
        self.live = live.max(1);
        for window in self.windows.values_mut() {
            window.set_live(self.live);
        }
    }

    /// When this instance may next send a leg to the upstream; `now` when it may at once.
    #[must_use]
    pub fn room_at(&self, now: Timestamp, spec: &UpstreamSpec) -> Timestamp {
        self.windows
            .get(&spec.name)
            .map_or(now, |window| window.room_at(now))
    }

    /// Notes that a leg is sent; call it only when there is room.
    pub fn take(&mut self, now: Timestamp, spec: &UpstreamSpec) {
        if !self.windows.contains_key(&spec.name) {
            self.drop_unused(now);
        }
        let live = self.live;
        let window = self
            .windows
            .entry(spec.name.clone())
            .or_insert_with(|| Window::new(spec.slots, live));
        window.set_slots(spec.slots, live);
        window.take(now);
    }

    /// Learns from the end of a leg that was under way for `took`. Call it before
    /// [`Limits::give`].
    pub fn observe(&mut self, now: Timestamp, name: &UpstreamName, end: LegEnd, took: Span) {
        let Some(window) = self.windows.get_mut(name) else {
            return;
        };
        match end {
            LegEnd::Replied => window.replied(now, took),
            LegEnd::Failed(LegFailure::Shed) => window.shed(now),
            LegEnd::Failed(_) | LegEnd::Cancelled => {}
        }
    }

    /// Notes that a leg has ended after it was under way for `_took`.
    pub fn give(&mut self, _now: Timestamp, name: &UpstreamName, _took: Span) {
        if let Some(window) = self.windows.get_mut(name) {
            window.give();
        }
    }

    /// How many connections this instance may have open to the upstream. A part is left
    /// for instances that run beside those they replace, and half at first: an upstream
    /// goes on counting the connections of an instance whose machine lost power.
    #[must_use]
    pub fn connections(&self, now: Timestamp, spec: &UpstreamSpec) -> ConnectionCount {
        let beside = self.live + self.live.div_ceil(INSTANCES_A_SPARE);
        let most = (spec.connections.0 / beside).max(1);
        if now >= FORMER_LIFE {
            return ConnectionCount(most);
        }
        let halved = spec.connections.0 / (2 * self.live);
        ConnectionCount(halved.max(CONNECTIONS_FOR_A_HANG.min(most)))
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.windows.len()
    }

    fn drop_unused(&mut self, now: Timestamp) {
        self.windows
            .retain(|_, window| window.unused_for(now) < KEPT_UNUSED);
    }
}
