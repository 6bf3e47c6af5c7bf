//! Health and latency of one upstream, as measured by this instance's own legs.
//!
//! An upstream that fails is avoided for a time that doubles with each failure, up to a
//! limit; after that, it is probed with one leg at a time. A new or recovered upstream
//! goes through slow start. See `docs/DESIGN.md`, "Choice of replica".

use rand::Rng;
use rand::rngs::SmallRng;

use super::LegEnd;
use super::candidates::Readiness;
use super::stated_availability::StatedAvailability;
use crate::request::LegFailure;
use crate::types::{SnapshotId, Span, Timestamp};

const AVOID_AFTER_FAILURE: Span = Span::from_millis(500);
const MAX_AVOIDED: Span = Span::from_secs(30);
const AVOID_AFTER_DRAIN: Span = Span::from_secs(5);
const SHED_BACKOFF: Span = Span::from_millis(5);
const MAX_SHED_BACKOFF: Span = Span::from_millis(500);
/// Backoff while all connections of this instance's share are busy; the next reply frees one.
const CONNECTION_SHARE_BACKOFF: Span = Span::from_millis(4);
/// An upstream is avoided after this many consecutive legs were cancelled without a reply,
/// because another replica had replied. A short pause of a replica ends before that.
const MAX_UNANSWERED: u32 = 3;
const MAX_DOUBLINGS: u32 = 16;
const SLOW_START: Span = Span::from_secs(10);
const MIN_SLOW_START_SHARE: f64 = 0.05;
const GONE_SNAPSHOT_TTL: Span = Span::from_secs(1);
const MAX_GONE_SNAPSHOTS: usize = 2;
const LATENCY_WEIGHT: f64 = 0.2;
const LATENCY_HALF_LIFE: Span = Span::from_secs(1);
/// With this weight, an upstream that sheds three of four legs is detected within five
/// legs, and so is its recovery.
const SHED_WEIGHT: f64 = 0.25;
/// How fast the shed ratio decays while no legs are sent: replicas were observed to shed
/// for five to nine seconds at a time.
const SHED_HALF_LIFE: Span = Span::from_secs(2);
/// The latency cost of a shed leg, above the longest latency target of a gather, 300 ms: it takes one
/// of the few repeats that all instances share, and without a repeat the part of its shard is missing.
const SHED_COST: Span = Span::from_millis(500);

/// What this instance has observed of one upstream.
#[derive(Clone, Debug)]
pub(super) struct UpstreamStats {
    pub(super) in_flight: u32,
    pub(super) last_used: Timestamp,
    /// Whether the platform withdrew it after listing it.
    pub(super) withdrawn: bool,
    /// What it said of itself.
    pub(super) stated: StatedAvailability,
    mean_micros: f64,
    mean_updated_at: Timestamp,
    slow_start_from: Option<Timestamp>,
    /// Legs cancelled since the last reply, even if that reply was to a cancelled leg.
    unanswered: u32,
    consecutive_failures: u32,
    avoid_until: Timestamp,
    last_reply_at: Timestamp,
    /// It is avoided until this time because other instances found it silent.
    silent_until: Timestamp,
    consecutive_sheds: u32,
    /// The fraction of recent legs that it shed, from 0 to 1.
    shed_ratio: f64,
    shed_updated_at: Timestamp,
    backoff_until: Timestamp,
    consecutive_drains: u32,
    drained_until: Timestamp,
    gone_snapshots: [Option<(SnapshotId, Timestamp)>; MAX_GONE_SNAPSHOTS],
}

impl UpstreamStats {
    /// Creates the entry of an unused upstream with an estimated latency. If `cold`, as
    /// for one that appears while others are already in use, it begins with slow start.
    pub(super) fn new(now: Timestamp, guess_micros: f64, cold: bool) -> Self {
        Self {
            in_flight: 0,
            last_used: now,
            withdrawn: false,
            stated: StatedAvailability::default(),
            mean_micros: guess_micros,
            mean_updated_at: now,
            slow_start_from: cold.then_some(now),
            unanswered: 0,
            consecutive_failures: 0,
            avoid_until: Timestamp::default(),
            last_reply_at: Timestamp::default(),
            silent_until: Timestamp::default(),
            consecutive_sheds: 0,
            shed_ratio: 0.0,
            shed_updated_at: now,
            backoff_until: Timestamp::default(),
            consecutive_drains: 0,
            drained_until: Timestamp::default(),
            gone_snapshots: [None; MAX_GONE_SNAPSHOTS],
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
                self.unanswered += 1;
                if self.unanswered >= MAX_UNANSWERED {
                    self.avoid(now);
                }
            }
        }
    }

    /// Records a reply, even if its leg was cancelled.
    pub(super) fn note_reply(&mut self, now: Timestamp) {
        if self.unanswered >= MAX_UNANSWERED {
            self.avoid_until = now;
            self.consecutive_failures = 0;
        }
        self.unanswered = 0;
        self.last_reply_at = now;
        self.silent_until = now;
    }

    /// Whether it has not replied since that time.
    pub(super) fn is_silent_since(&self, since: Timestamp) -> bool {
        self.last_reply_at < since
    }

    /// Avoids it because other instances found it silent, unless it has replied since.
    pub(super) fn avoid_silent(&mut self, since: Timestamp, until: Timestamp) {
        if self.is_silent_since(since) {
            self.silent_until = self.silent_until.max(until);
        }
    }

    /// Whether it must not be sent legs of this snapshot, even as a last resort.
    pub(super) fn is_excluded(&self, now: Timestamp, snapshot: SnapshotId) -> bool {
        self.withdrawn
            || self.stated.is_leaving(now)
            || now < self.drained_until
            || self.lacks_snapshot(now, snapshot)
    }

    /// Whether it recently reported that it does not have the snapshot. Other snapshots
    /// are unaffected: it may have dropped an old one or not yet loaded a new one.
    pub(super) fn lacks_snapshot(&self, now: Timestamp, snapshot: SnapshotId) -> bool {
        let mut gone_snapshots = self.gone_snapshots.iter().flatten();
        gone_snapshots.any(|(id, until)| *id == snapshot && now < *until)
    }

    pub(super) fn note_snapshot_gone(&mut self, now: Timestamp, snapshot: SnapshotId) {
        let reusable = |gone: &Option<(SnapshotId, Timestamp)>| {
            gone.is_none_or(|(id, until)| id == snapshot || until <= now)
        };
        let at = self
            .gone_snapshots
            .iter()
            .position(reusable)
            .unwrap_or_default();
        self.gone_snapshots[at] = Some((snapshot, now + GONE_SNAPSHOT_TTL));
    }

    /// The end of the backoff after a shed leg or without a free connection, and of a stated pause.
    pub(super) fn backoff_until(&self, now: Timestamp) -> Timestamp {
        let stated = self.stated.room_at(now).unwrap_or(now);
        self.backoff_until.max(stated)
    }

    pub(super) fn readiness(&self, now: Timestamp, rng: &mut SmallRng) -> Readiness {
        let probe_in_flight = self.consecutive_failures > 0 && self.in_flight > 0;
        let is_avoided = now < self.avoid_until.max(self.silent_until);
        // While one replica wants a pause, any other that has room is better.
        if is_avoided || probe_in_flight || self.stated.is_paused(now) {
            return Readiness::Avoided;
        }
        let slow_start_share = self.slow_start_share(now);
        if slow_start_share < 1.0 && rng.random::<f64>() >= slow_start_share {
            return Readiness::Ramping;
        }
        Readiness::Ready
    }

    /// Returns its expected latency, in microseconds. It decays while no legs are sent, so
    /// that an upstream that was slow once is tried again.
    pub(super) fn expected_micros(&self, now: Timestamp) -> f64 {
        self.mean_micros * self.freshness(now)
    }

    /// Returns the expected time cost of one more leg, in microseconds, if one that is not
    /// shed takes `leg_micros`. A shed leg has to be sent again.
    pub(super) fn cost_micros(&self, now: Timestamp, leg_micros: f64) -> f64 {
        leg_micros * f64::from(self.in_flight + 1) + self.shed_ratio(now) * micros(SHED_COST)
    }

    fn shed_ratio(&self, now: Timestamp) -> f64 {
        let idle = micros(now.since(self.shed_updated_at)) / micros(SHED_HALF_LIFE);
        self.shed_ratio * (-idle).exp2()
    }

    fn update_shed_ratio(&mut self, now: Timestamp, shed: f64) {
        let known = self.shed_ratio(now);
        self.shed_ratio = known + (shed - known) * SHED_WEIGHT;
        self.shed_updated_at = now;
    }

    /// Returns the fraction of its normal share that slow start grants by now.
    fn slow_start_share(&self, now: Timestamp) -> f64 {
        let Some(from) = self.slow_start_from else {
            return 1.0;
        };
        let grown = micros(now.since(from)) / micros(SLOW_START);
        grown.clamp(MIN_SLOW_START_SHARE, 1.0)
    }

    fn on_reply(&mut self, now: Timestamp, took: Span) {
        self.learn(now, micros(took));
        self.unanswered = 0;
        self.last_reply_at = now;
        self.silent_until = now;
        let recovered = self.consecutive_failures > 0 || self.consecutive_drains > 0;
        if recovered {
            self.slow_start_from = Some(now);
        }
        self.consecutive_failures = 0;
        self.consecutive_drains = 0;
        self.consecutive_sheds = 0;
        self.update_shed_ratio(now, 0.0);
    }

    fn on_failure(&mut self, now: Timestamp, took: Span, failure: LegFailure) {
        match failure {
            LegFailure::Unreachable
            | LegFailure::Lost
            | LegFailure::Mangled
            | LegFailure::Failed => self.avoid(now),
            LegFailure::Shed => {
                self.backoff_until =
                    now + doubled(SHED_BACKOFF, self.consecutive_sheds, MAX_SHED_BACKOFF);
                self.consecutive_sheds += 1;
                // The end of a pause is stated; the ratio is a guess at when sheds end.
                if !self.stated.is_paused(now) {
                    self.update_shed_ratio(now, 1.0);
                }
            }
            LegFailure::Draining => {
                self.drained_until =
                    now + doubled(AVOID_AFTER_DRAIN, self.consecutive_drains, MAX_AVOIDED);
                self.consecutive_drains += 1;
            }
            LegFailure::OutOfTime => self.learn_at_least(now, took),
            LegFailure::NoShare => {
                self.backoff_until = self.backoff_until.max(now + CONNECTION_SHARE_BACKOFF);
            }
            LegFailure::SnapshotGone | LegFailure::Silent | LegFailure::NoMemory => {}
        }
    }

    fn avoid(&mut self, now: Timestamp) {
        let already = now < self.avoid_until;
        if !already {
            self.avoid_until =
                now + doubled(AVOID_AFTER_FAILURE, self.consecutive_failures, MAX_AVOIDED);
            self.consecutive_failures += 1;
        }
    }

    fn learn_at_least(&mut self, now: Timestamp, age: Span) {
        let age = micros(age);
        if age > self.mean_micros {
            self.learn(now, age);
        }
    }

    fn learn(&mut self, now: Timestamp, took_micros: f64) {
        let weight = 1.0 - (1.0 - LATENCY_WEIGHT) * self.freshness(now);
        self.mean_micros += (took_micros - self.mean_micros) * weight;
        self.mean_updated_at = now;
    }

    fn freshness(&self, now: Timestamp) -> f64 {
        let idle = micros(now.since(self.mean_updated_at)) / micros(LATENCY_HALF_LIFE);
        (-idle).exp2()
    }
}

fn doubled(first: Span, times: u32, max: Span) -> Span {
    Span(first.0 << times.min(MAX_DOUBLINGS)).min(max)
}

#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^53 us")]
pub(super) fn micros(span: Span) -> f64 {
    span.0 as f64
}
