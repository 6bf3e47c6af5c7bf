//! The adaptive concurrency limit of one instance at one upstream.
//!
//! The limit follows the standing queue at the upstream, measured as the difference between
//! the minimum latency of the last round of replies and the minimum of the last epochs; see
//! `docs/DESIGN.md`, "Limits". It uses the minimum rather than the mean, because jitter on
//! the link or a long query raises some latencies, while a queue raises all of them.

use crate::types::{SlotCount, Span, Timestamp};

/// The limit never exceeds this many legs for each slot of the upstream.
const MAX_LEGS_PER_SLOT: f64 = 16.0;
const MIN_REPLIES_PER_ROUND: u32 = 16;
const MIN_QUEUE: f64 = 0.75;
const QUEUE_DECREASE_FACTOR: f64 = 0.8;
const SHED_DECREASE_FACTOR: f64 = 0.5;
const BASELINE_EPOCH: Span = Span::from_secs(10);
const FIRST_PAUSE: Span = Span::from_millis(2);
const MAX_PAUSE: Span = Span::from_millis(100);
const MIN_RECHECK: Span = Span::from_millis(1);

/// The concurrency limit of one upstream.
#[derive(Clone, Debug)]
pub(super) struct Window {
    slots: SlotCount,
    share: f64,
    size: f64,
    in_flight: u32,
    last_sent_at: Timestamp,
    baseline: BaselineLatency,
    round: Round,
    decreased_at: Option<Timestamp>,
    pause: Span,
    paused_until: Timestamp,
}

/// The minimum latency of the current epoch and of the previous one.
#[derive(Clone, Copy, Debug, Default)]
struct BaselineLatency {
    epoch_start: Timestamp,
    min_latency: Option<Span>,
    previous_min_latency: Option<Span>,
}

/// The replies since the limit was last adapted.
#[derive(Clone, Copy, Debug, Default)]
struct Round {
    replies: u32,
    min_latency: Option<Span>,
    was_full: bool,
    max_in_flight: u32,
}

impl Window {
    pub(super) fn new(slots: SlotCount, live: u32) -> Self {
        let share = share(slots, live);
        Self {
            slots,
            share,
            size: share.ceil(),
            in_flight: 0,
            last_sent_at: Timestamp::default(),
            baseline: BaselineLatency::default(),
            round: Round::default(),
            decreased_at: None,
            pause: FIRST_PAUSE,
            paused_until: Timestamp::default(),
        }
    }

    /// Updates the number of slots.
    pub(super) fn set_slots(&mut self, slots: SlotCount, live: u32) {
        if slots != self.slots {
            self.slots = slots;
            self.set_live(live);
        }
    }

    /// Updates the number of live instances. A smaller share reduces the limit in
    /// proportion; a larger one raises its minimum and lets it grow.
    pub(super) fn set_live(&mut self, live: u32) {
        let share = share(self.slots, live);
        let change = (share / self.share).min(1.0);
        self.share = share;
        self.resize(self.size * change);
    }

    /// Returns the time since the last leg was sent; zero while one is in flight.
    pub(super) fn unused_for(&self, now: Timestamp) -> Span {
        if self.in_flight > 0 {
            return Span::ZERO;
        }
        now.since(self.last_sent_at)
    }

    pub(super) fn room_at(&self, now: Timestamp) -> Timestamp {
        if self.paused_until > now {
            return self.paused_until;
        }
        if f64::from(self.in_flight) + 1.0 <= self.size.floor() {
            return now;
        }
        now + self.recheck_after()
    }

    pub(super) fn take(&mut self, now: Timestamp) {
        self.last_sent_at = now;
        self.in_flight += 1;
        self.round.max_in_flight = self.round.max_in_flight.max(self.in_flight);
        self.round.was_full |= f64::from(self.in_flight) >= self.size.floor();
    }

    pub(super) fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records a reply. Call it before the leg is released.
    pub(super) fn replied(&mut self, now: Timestamp, took: Span) {
        self.pause = FIRST_PAUSE;
        self.baseline.learn(now, took);
        self.round.replies += 1;
        self.round.min_latency = Some(min_of(self.round.min_latency, took));
        if self.round.replies >= MIN_REPLIES_PER_ROUND.max(self.in_flight) {
            self.decide(now);
        }
    }

    /// Records that the upstream shed a leg.
    pub(super) fn shed(&mut self, now: Timestamp) {
        if self.size <= self.min_size() {
            self.paused_until = now + self.pause;
            self.pause = Span(self.pause.0.saturating_mul(2)).min(MAX_PAUSE);
        }
        if self.may_decrease(now) {
            self.decrease(now, SHED_DECREASE_FACTOR);
        }
        self.round = Round::default();
    }

    fn decide(&mut self, now: Timestamp) {
        let round = std::mem::take(&mut self.round);
        let queue = round.queue(self.baseline.min_latency());
        if queue > self.share.max(MIN_QUEUE) {
            if self.may_decrease(now) {
                self.decrease(now, QUEUE_DECREASE_FACTOR);
            }
        } else if round.was_full {
            self.resize(self.size + 1.0);
        }
    }

    fn decrease(&mut self, now: Timestamp, factor: f64) {
        self.decreased_at = Some(now);
        self.resize(self.size * factor);
    }

    /// At most one decrease per round trip: legs sent before a decrease say nothing about
    /// its effect.
    fn may_decrease(&self, now: Timestamp) -> bool {
        let latency = self.baseline.min_latency().unwrap_or(MIN_RECHECK);
        self.decreased_at.is_none_or(|at| now.since(at) >= latency)
    }

    fn resize(&mut self, size: f64) {
        let max = f64::from(self.slots.0.max(1)) * MAX_LEGS_PER_SLOT;
        self.size = size.clamp(self.min_size(), max);
    }

    fn min_size(&self) -> f64 {
        self.share.floor().max(1.0)
    }

    fn recheck_after(&self) -> Span {
        let latency = self.baseline.min_latency().unwrap_or_default();
        Span(latency.0 / u64::from(self.in_flight.max(1)) / 2).max(MIN_RECHECK)
    }
}

impl BaselineLatency {
    fn learn(&mut self, now: Timestamp, took: Span) {
        if now.since(self.epoch_start) >= BASELINE_EPOCH {
            self.epoch_start = now;
            self.previous_min_latency = self.min_latency.take();
        }
        self.min_latency = Some(min_of(self.min_latency, took));
    }

    fn min_latency(&self) -> Option<Span> {
        match (self.min_latency, self.previous_min_latency) {
            (Some(current), Some(previous)) => Some(current.min(previous)),
            (current, previous) => current.or(previous),
        }
    }
}

impl Round {
    /// Returns how many legs of this instance were in the upstream's queue throughout the
    /// round.
    #[expect(clippy::cast_precision_loss, reason = "latencies are far below 2^53")]
    fn queue(&self, baseline: Option<Span>) -> f64 {
        let (Some(baseline), Some(min_latency)) = (baseline, self.min_latency) else {
            return 0.0;
        };
        let queued = min_latency.0.saturating_sub(baseline.0) as f64;
        f64::from(self.max_in_flight) * queued / (min_latency.0.max(1) as f64)
    }
}

/// Returns this instance's equal share of the slots, which may be less than one.
fn share(slots: SlotCount, live: u32) -> f64 {
    f64::from(slots.0.max(1)) / f64::from(live)
}

fn min_of(known: Option<Span>, took: Span) -> Span {
    known.map_or(took, |known| known.min(took))
}
