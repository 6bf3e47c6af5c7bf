//! This instance's share of every upstream's slots and connections.
//!
//! All instances share the slots of an upstream without coordination. Each keeps a
//! concurrency limit ([`Window`]) that starts at an equal share of the slots, follows the
//! number of live instances, and adapts to the queue observed at the upstream. See
//! `docs/DESIGN.md`, "Limits".

use super::rate_budget::RateBudget;
use super::window::Window;
use super::{LegEnd, Table};
use crate::request::LegFailure;
use crate::types::{ConnectionCount, PerSecond, Span, Timestamp, UpstreamName};
use crate::version::UpstreamSpec;

/// For every this many instances, the connections of one more are reserved, since a new
/// instance runs alongside the one that it replaces.
const INSTANCES_PER_SPARE: u32 = 4;
/// Until this time after its start, an instance leaves room for connections of its previous
/// run that were never closed: upstreams were observed to reset new connections for about
/// 4 s after a loss of power.
const OLD_CONNECTIONS_CLOSED_AT: Timestamp = Timestamp(5_000_000);
/// Where a connection carries one leg at a time, a leg that hangs on a single connection
/// would block all others.
const MIN_STARTUP_CONNECTIONS: u32 = 2;
const DROP_UNUSED_AFTER: Span = Span::from_secs(3_600);

/// The concurrency limits of this instance, one for each upstream in use.
#[derive(Clone, Debug)]
pub struct Limits {
    live: u32,
    windows: Table<UpstreamName, Window>,
    /// The number of instances that divide the rates which upstreams state.
    rate_sharers: u32,
    /// The upstreams that state how many requests a second they take.
    rates: Table<UpstreamName, RateBudget>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            live: 1,
            windows: Table::default(),
            rate_sharers: 1,
            rates: Table::default(),
        }
    }
}

impl Limits {
    /// Sets the number of live instances, including this one.
    pub fn set_live(&mut self, _now: Timestamp, live: u32) {
        self.live = live.max(1);
        for window in self.windows.values_mut() {
            window.set_live(self.live);
        }
    }

    /// Returns when this instance may next send a leg to the upstream: `now` if there is
    /// capacity, else when to check again.
    #[must_use]
    pub fn room_at(&self, now: Timestamp, spec: &UpstreamSpec) -> Timestamp {
        let window = self.windows.get(&spec.name);
        let window_room = window.map_or(now, |window| window.room_at(now));
        window_room.max(self.rate_room_at(now, &spec.name))
    }

    /// Returns when the rate that the upstream states allows the next leg.
    pub(crate) fn rate_room_at(&self, now: Timestamp, name: &UpstreamName) -> Timestamp {
        let rate = self.rates.get(name);
        rate.map_or(now, |rate| rate.room_at(now))
    }

    /// Whether any upstream states how many requests it takes.
    pub(crate) fn has_rates(&self) -> bool {
        !self.rates.is_empty()
    }

    /// Sets the number of instances that divide the rates which upstreams state.
    pub(crate) fn set_rate_sharers(&mut self, now: Timestamp, sharers: u32) {
        let sharers = sharers.max(1);
        if sharers == self.rate_sharers {
            return;
        }
        self.rate_sharers = sharers;
        for rate in self.rates.values_mut() {
            rate.set_sharers(now, sharers);
        }
    }

    /// Records the rate that an upstream stated in its reply to a leg, or that it stated none.
    /// Returns whether a limit began or ended.
    pub(crate) fn note_rate(
        &mut self,
        now: Timestamp,
        name: &UpstreamName,
        sent_at: Timestamp,
        stated: Option<PerSecond>,
    ) -> bool {
        match (stated, self.rates.get_mut(name)) {
            (None, None) => false,
            (None, Some(rate)) => {
                let lifted = rate.is_lifted_by(sent_at);
                if lifted {
                    self.rates.swap_remove(name);
                }
                lifted
            }
            (Some(limit), Some(rate)) => {
                rate.state(now, limit);
                false
            }
            (Some(limit), None) => {
                let rate = RateBudget::new(now, limit, self.rate_sharers);
                self.rates.insert(name.clone(), rate);
                true
            }
        }
    }

    /// Records that a leg is sent. Call it only if [`Limits::room_at`] returned `now`.
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
        if let Some(rate) = self.rates.get_mut(&spec.name) {
            rate.take(now);
        }
    }

    /// Adapts the limit to the end of a leg after `took`. Call it before [`Limits::release`].
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

    /// Releases the capacity of a leg that ended after `_took`.
    pub fn release(&mut self, _now: Timestamp, name: &UpstreamName, _took: Span) {
        if let Some(window) = self.windows.get_mut(name) {
            window.release();
        }
    }

    /// Returns how many connections this instance may have open to the upstream. Some are
    /// reserved for instances that run alongside the ones they replace. For a while after
    /// a start, half are reserved, because an upstream still counts the connections of an
    /// instance whose machine lost power.
    #[must_use]
    pub fn connections(&self, now: Timestamp, spec: &UpstreamSpec) -> ConnectionCount {
        let instances = self.live + self.live.div_ceil(INSTANCES_PER_SPARE);
        let max = (spec.connections.0 / instances).max(1);
        if now >= OLD_CONNECTIONS_CLOSED_AT {
            return ConnectionCount(max);
        }
        let startup = spec.connections.0 / (2 * self.live);
        ConnectionCount(startup.max(MIN_STARTUP_CONNECTIONS.min(max)))
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.windows.len()
    }

    fn drop_unused(&mut self, now: Timestamp) {
        self.windows
            .retain(|_, window| window.unused_for(now) < DROP_UNUSED_AFTER);
        self.rates
            .retain(|_, rate| rate.stated_for(now) < DROP_UNUSED_AFTER);
    }
}
