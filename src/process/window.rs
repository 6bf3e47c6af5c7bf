//! How many legs one instance may have under way at one upstream.
//!
//! The window follows the standing queue at the upstream, seen as the least latency of
//! the last few replies above the least of the last seconds; see `docs/DESIGN.md`,
//! "Limits". The least is used and not the mean, because a link whose delay varies or a
//! long query raises some latencies, and only a queue raises them all.

use crate::types::{SlotCount, Span, Timestamp};

/// The window never exceeds this many legs for each slot of the upstream.
const MOST_PER_SLOT: f64 = 16.0;
const LEAST_REPLIES_A_ROUND: u32 = 16;
const LEAST_QUEUE: f64 = 0.75;
const CUT_ON_QUEUE: f64 = 0.8;
const CUT_ON_SHED: f64 = 0.5;
const EPOCH: Span = Span::from_secs(10);
const FIRST_PAUSE: Span = Span::from_millis(2);
const LONGEST_PAUSE: Span = Span::from_millis(100);
const LOOK_AGAIN: Span = Span::from_millis(1);

/// One upstream's window.
#[derive(Clone, Debug)]
pub(super) struct Window {
    slots: SlotCount,
    share: f64,
    size: f64,
    used: u32,
    used_at: Timestamp,
    base: Base,
    round: Round,
    cut_at: Option<Timestamp>,
    pause: Span,
    not_before: Timestamp,
}

/// The least latency of this epoch and the one before it.
#[derive(Clone, Copy, Debug, Default)]
struct Base {
    begun: Timestamp,
    least: Option<Span>,
    least_before: Option<Span>,
}

/// The replies since the last decision.
#[derive(Clone, Copy, Debug, Default)]
struct Round {
    replies: u32,
    least: Option<Span>,
    full: bool,
    most_used: u32,
}

impl Window {
    pub(super) fn new(slots: SlotCount, live: u32) -> Self {
        let share = share(slots, live);
        Self {
            slots,
            share,
            size: share.ceil(),
            used: 0,
            used_at: Timestamp::default(),
            base: Base::default(),
            round: Round::default(),
            cut_at: None,
            pause: FIRST_PAUSE,
            not_before: Timestamp::default(),
        }
    }

    /// Follows the number of slots.
    pub(super) fn set_slots(&mut self, slots: SlotCount, live: u32) {
        if slots != self.slots {
            self.slots = slots;
            self.set_live(live);
        }
    }

    /// Follows the number of live instances. A smaller share cuts the window in
    /// proportion; a larger one raises its floor and lets it grow.
    pub(super) fn set_live(&mut self, live: u32) {
        let share = share(self.slots, live);
        let change = (share / self.share).min(1.0);
        self.share = share;
        self.resize(self.size * change);
    }

    /// How long ago the last leg was sent; zero while one is under way.
    pub(super) fn unused_for(&self, now: Timestamp) -> Span {
        if self.used > 0 {
            return Span::ZERO;
        }
        now.since(self.used_at)
    }

    pub(super) fn room_at(&self, now: Timestamp) -> Timestamp {
        if self.not_before > now {
            return self.not_before;
        }
        if f64::from(self.used) + 1.0 <= self.size.floor() {
            return now;
        }
        now + self.look_again()
    }

    pub(super) fn take(&mut self, now: Timestamp) {
        self.used_at = now;
        self.used += 1;
        self.round.most_used = self.round.most_used.max(self.used);
        self.round.full |= f64::from(self.used) >= self.size.floor();
    }

    pub(super) fn give(&mut self) {
        self.used = self.used.saturating_sub(1);
    }

    /// Learns from a reply, before its leg is given back.
    pub(super) fn replied(&mut self, now: Timestamp, took: Span) {
        self.pause = FIRST_PAUSE;
        self.base.learn(now, took);
        self.round.replies += 1;
        self.round.least = Some(least(self.round.least, took));
        if self.round.replies >= LEAST_REPLIES_A_ROUND.max(self.used) {
            self.decide(now);
        }
    }

    /// Learns that the upstream refused a leg for want of room.
    pub(super) fn shed(&mut self, now: Timestamp) {
        if self.size <= self.floor() {
            self.not_before = now + self.pause;
            self.pause = Span(self.pause.0.saturating_mul(2)).min(LONGEST_PAUSE);
        }
        if self.may_cut(now) {
            self.cut(now, CUT_ON_SHED);
        }
        self.round = Round::default();
    }

    fn decide(&mut self, now: Timestamp) {
        let round = std::mem::take(&mut self.round);
        let queue = round.queue(self.base.least());
        if queue > self.share.max(LEAST_QUEUE) {
            if self.may_cut(now) {
                self.cut(now, CUT_ON_QUEUE);
            }
        } else if round.full {
            self.resize(self.size + 1.0);
        }
    }

    fn cut(&mut self, now: Timestamp, part: f64) {
        self.cut_at = Some(now);
        self.resize(self.size * part);
    }

    /// One cut answers for everything that was sent before it.
    fn may_cut(&self, now: Timestamp) -> bool {
        let latency = self.base.least().unwrap_or(LOOK_AGAIN);
        self.cut_at.is_none_or(|at| now.since(at) >= latency)
    }

    fn resize(&mut self, size: f64) {
        let most = f64::from(self.slots.0.max(1)) * MOST_PER_SLOT;
        self.size = size.clamp(self.floor(), most);
    }

    fn floor(&self) -> f64 {
        self.share.floor().max(1.0)
    }

    fn look_again(&self) -> Span {
        let latency = self.base.least().unwrap_or_default();
        Span(latency.0 / u64::from(self.used.max(1)) / 2).max(LOOK_AGAIN)
    }
}

impl Base {
    fn learn(&mut self, now: Timestamp, took: Span) {
        if now.since(self.begun) >= EPOCH {
            self.begun = now;
            self.least_before = self.least.take();
        }
        self.least = Some(least(self.least, took));
    }

    fn least(&self) -> Option<Span> {
        match (self.least, self.least_before) {
            (Some(one), Some(two)) => Some(one.min(two)),
            (one, two) => one.or(two),
        }
    }
}

impl Round {
    /// How many of this instance's legs stood in the upstream's queue all the time.
    #[expect(clippy::cast_precision_loss, reason = "latencies are far below 2^53")]
    fn queue(&self, base: Option<Span>) -> f64 {
        let (Some(base), Some(least)) = (base, self.least) else {
            return 0.0;
        };
        let waited = least.0.saturating_sub(base.0) as f64;
        f64::from(self.most_used) * waited / (least.0.max(1) as f64)
    }
}

/// This instance's part of the slots, which may be less than one.
fn share(slots: SlotCount, live: u32) -> f64 {
    f64::from(slots.0.max(1)) / f64::from(live)
}

fn least(known: Option<Span>, took: Span) -> Span {
    known.map_or(took, |known| known.min(took))
}
