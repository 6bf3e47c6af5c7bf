//! One upstream as this instance's own legs showed it.
//!
//! Failures make it avoided for exponentially longer, up to a bound, and then one leg
//! at a time probes it. A new or returned upstream gets a share that grows with time.
//! See `docs/DESIGN.md`, "Choice of replica".

use rand::Rng;
use rand::rngs::SmallRng;

use super::LegEnd;
use crate::request::LegFailure;
use crate::types::{SnapshotId, Span, Timestamp};

const AVOID_AFTER_FAILURE: Span = Span::from_millis(500);
const MOST_AVOIDED: Span = Span::from_secs(30);
const DRAIN_AVOIDED: Span = Span::from_secs(5);
const BACK_OFF_AFTER_SHED: Span = Span::from_millis(5);
const MOST_BACK_OFF: Span = Span::from_millis(500);
/// A connection of this instance's share becomes free with the next reply on one.
const LOOK_FOR_SHARE: Span = Span::from_millis(4);
/// So many legs in a row were given up for another replica's reply and never answered: a
/// pause of a replica ends sooner than that many come.
const MOST_UNHEARD: u32 = 3;
const MOST_DOUBLINGS: u32 = 16;
const SLOW_START: Span = Span::from_secs(10);
const LEAST_SHARE: f64 = 0.05;
const GONE_REMEMBERED: Span = Span::from_secs(1);
const SNAPSHOTS_REMEMBERED: usize = 2;
const MEAN_WEIGHT: f64 = 0.2;
const IDLE_HALF_LIFE: Span = Span::from_secs(1);
/// Three of four legs that are shed are noticed within five legs, as is their end.
const SHED_WEIGHT: f64 = 0.25;
/// How fast the part that was shed is forgotten without legs: replicas that shed were seen
/// to do so for five to nine seconds.
const SHED_HALF_LIFE: Span = Span::from_secs(2);
/// What a shed leg costs its query. It needs one of the few repeats that
/// all instances share, and without one its part is missing: more than the users' longest
/// target for a gather, 300 ms, is lost then.
const SHED_COST: Span = Span::from_millis(500);

/// What is known of one upstream.
#[derive(Clone, Debug)]
pub(super) struct Observed {
    pub(super) in_flight: u32,
    pub(super) last_used: Timestamp,
    /// Whether the platform took it back after it was listed.
    pub(super) withdrawn: bool,
    mean_micros: f64,
    learnt: Timestamp,
    ramp_from: Option<Timestamp>,
    /// Cancelled legs since the last reply, also a late one.
    unheard: u32,
    failures: u32,
    avoid_until: Timestamp,
    heard_at: Timestamp,
    /// Until when it is avoided because other instances found it silent.
    silent_until: Timestamp,
    sheds: u32,
    /// The part of its legs that it shed lately, from 0 to 1.
    shed_part: f64,
    shed_learnt: Timestamp,
    busy_until: Timestamp,
    drains: u32,
    drained_until: Timestamp,
    gone: [Option<(SnapshotId, Timestamp)>; SNAPSHOTS_REMEMBERED],
}

/// How ready an upstream is for one more leg; the smaller, the better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Readiness {
    /// It may be chosen.
    Ready,
    /// It is new or returned, and this leg is beyond its share.
    Ramping,
    /// It failed a moment ago; better than nothing.
    Avoided,
}

impl Observed {
    /// An upstream that was never used, with a guess of its latency. One that appears
    /// while the others are in use is taken for a cold one.
    pub(super) fn new(now: Timestamp, guess_micros: f64, cold: bool) -> Self {
        Self {
            in_flight: 0,
            last_used: now,
            withdrawn: false,
            mean_micros: guess_micros,
            learnt: now,
            ramp_from: cold.then_some(now),
            unheard: 0,
            failures: 0,
            avoid_until: Timestamp::default(),
            heard_at: Timestamp::default(),
            silent_until: Timestamp::default(),
            sheds: 0,
            shed_part: 0.0,
            shed_learnt: now,
            busy_until: Timestamp::default(),
            drains: 0,
            drained_until: Timestamp::default(),
            gone: [None; SNAPSHOTS_REMEMBERED],
        }
    }

    pub(super) fn begin(&mut self, now: Timestamp) {
        self.in_flight += 1;
        self.last_used = now;
    }

    pub(super) fn end(&mut self, now: Timestamp, took: Span, end: LegEnd) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match end {
            LegEnd::Replied => self.on_reply(now, took),
            LegEnd::Failed(failure) => self.on_failure(now, took, failure),
            LegEnd::Cancelled => {
                self.learn_at_least(now, took);
                self.unheard += 1;
                if self.unheard >= MOST_UNHEARD {
                    self.avoid(now);
                }
            }
        }
    }

    /// Notes that it sent a reply, be it one that nobody waits for any more.
    pub(super) fn heard(&mut self, now: Timestamp) {
        if self.unheard >= MOST_UNHEARD {
            self.avoid_until = now;
            self.failures = 0;
        }
        self.unheard = 0;
        self.heard_at = now;
        self.silent_until = now;
    }

    /// Whether nothing came from it since that time.
    pub(super) fn is_silent_since(&self, since: Timestamp) -> bool {
        self.heard_at < since
    }

    /// Notes that other instances found it silent.
    pub(super) fn avoid_silent(&mut self, since: Timestamp, until: Timestamp) {
        if self.is_silent_since(since) {
            self.silent_until = self.silent_until.max(until);
        }
    }

    /// Whether it must not be sent a leg of this snapshot, even as the last resort.
    pub(super) fn is_closed(&self, now: Timestamp, snapshot: SnapshotId) -> bool {
        self.withdrawn || now < self.drained_until || self.lost(now, snapshot)
    }

    /// Whether it said that it does not hold the snapshot. That says nothing of others:
    /// it may have dropped an old one or not have loaded a new one yet.
    pub(super) fn lost(&self, now: Timestamp, snapshot: SnapshotId) -> bool {
        let mut gone = self.gone.iter().flatten();
        gone.any(|(id, until)| *id == snapshot && now < *until)
    }

    pub(super) fn lose(&mut self, now: Timestamp, snapshot: SnapshotId) {
        let known = |gone: &Option<(SnapshotId, Timestamp)>| {
            gone.is_none_or(|(id, until)| id == snapshot || until <= now)
        };
        let at = self.gone.iter().position(known).unwrap_or_default();
        self.gone[at] = Some((snapshot, now + GONE_REMEMBERED));
    }

    /// Until when it sheds, as far as it said.
    pub(super) fn busy_until(&self) -> Timestamp {
        self.busy_until
    }

    pub(super) fn readiness(&self, now: Timestamp, rng: &mut SmallRng) -> Readiness {
        let probed = self.failures > 0 && self.in_flight > 0;
        if now < self.avoid_until.max(self.silent_until) || probed {
            return Readiness::Avoided;
        }
        let share = self.share(now);
        if share < 1.0 && rng.random::<f64>() >= share {
            return Readiness::Ramping;
        }
        Readiness::Ready
    }

    /// The latency expected of it, in microseconds. An old observation loses weight
    /// with time, so that an upstream that was slow once is tried again.
    pub(super) fn expected_micros(&self, now: Timestamp) -> f64 {
        self.mean_micros * self.freshness(now)
    }

    /// What one more leg to it costs in time, in microseconds, when a leg that it runs
    /// takes `takes`: it may shed the leg, which then has to be sent again.
    pub(super) fn cost_micros(&self, now: Timestamp, takes: f64) -> f64 {
        takes * f64::from(self.in_flight + 1) + self.shed_part(now) * micros(SHED_COST)
    }

    fn shed_part(&self, now: Timestamp) -> f64 {
        let idle = micros(now.since(self.shed_learnt)) / micros(SHED_HALF_LIFE);
        self.shed_part * (-idle).exp2()
    }

    fn learn_shed(&mut self, now: Timestamp, shed: f64) {
        let known = self.shed_part(now);
        self.shed_part = known + (shed - known) * SHED_WEIGHT;
        self.shed_learnt = now;
    }

    /// The part of its share that a new or returned upstream gets by now.
    fn share(&self, now: Timestamp) -> f64 {
        let Some(from) = self.ramp_from else {
            return 1.0;
        };
        let grown = micros(now.since(from)) / micros(SLOW_START);
        grown.clamp(LEAST_SHARE, 1.0)
    }

    fn on_reply(&mut self, now: Timestamp, took: Span) {
        self.learn(now, micros(took));
        self.unheard = 0;
        self.heard_at = now;
        self.silent_until = now;
        let returned = self.failures > 0 || self.drains > 0;
        if returned {
            self.ramp_from = Some(now);
        }
        self.failures = 0;
        self.drains = 0;
        self.sheds = 0;
        self.learn_shed(now, 0.0);
    }

    fn on_failure(&mut self, now: Timestamp, took: Span, failure: LegFailure) {
        match failure {
            LegFailure::Unreachable
            | LegFailure::Lost
            | LegFailure::Mangled
            | LegFailure::Failed => self.avoid(now),
            LegFailure::Shed => {
                self.busy_until = now + doubled(BACK_OFF_AFTER_SHED, self.sheds, MOST_BACK_OFF);
                self.sheds += 1;
                self.learn_shed(now, 1.0);
            }
            LegFailure::Draining => {
                self.drained_until = now + doubled(DRAIN_AVOIDED, self.drains, MOST_AVOIDED);
                self.drains += 1;
            }
            LegFailure::OutOfTime => self.learn_at_least(now, took),
            LegFailure::NoShare => {
                self.busy_until = self.busy_until.max(now + LOOK_FOR_SHARE);
            }
            LegFailure::SnapshotGone | LegFailure::Silent => {}
        }
    }

    fn avoid(&mut self, now: Timestamp) {
        let already = now < self.avoid_until;
        if !already {
            self.avoid_until = now + doubled(AVOID_AFTER_FAILURE, self.failures, MOST_AVOIDED);
            self.failures += 1;
        }
    }

    fn learn_at_least(&mut self, now: Timestamp, age: Span) {
        let age = micros(age);
        if age > self.mean_micros {
            self.learn(now, age);
        }
    }

    fn learn(&mut self, now: Timestamp, took_micros: f64) {
        let weight = 1.0 - (1.0 - MEAN_WEIGHT) * self.freshness(now);
        self.mean_micros += (took_micros - self.mean_micros) * weight;
        self.learnt = now;
    }

    fn freshness(&self, now: Timestamp) -> f64 {
        let idle = micros(now.since(self.learnt)) / micros(IDLE_HALF_LIFE);
        (-idle).exp2()
    }
}

fn doubled(first: Span, times: u32, most: Span) -> Span {
    Span(first.0 << times.min(MOST_DOUBLINGS)).min(most)
}

#[expect(clippy::cast_precision_loss, reason = "a span is far below 2^53 us")]
pub(super) fn micros(span: Span) -> f64 {
    span.0 as f64
}
