//! The upstreams as this instance observes them, and the choice among replicas.
//!
//! Health and load endpoints lag or mislead, so only what this instance's own legs
//! showed counts; see `docs/DESIGN.md`, "Choice of replica".

use std::sync::Arc;

use indexmap::IndexMap;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::request::LegFailure;
use crate::types::{Span, Timestamp, UpstreamName};
use crate::version::UpstreamSpec;

const FIRST_LATENCY: Span = Span::from_millis(20);
const LEAST_HEDGE: Span = Span::from_millis(2);
const AVOID_AFTER_FAILURE: Span = Span::from_millis(500);
const LATENCY_WEIGHT: f64 = 0.1;
const HEDGE_DEVIATIONS: f64 = 3.0;

/// How a leg ended, as far as its upstream is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LegEnd {
    /// The upstream replied.
    Replied,
    /// The leg failed.
    Failed(LegFailure),
    /// The reply was no longer needed.
    Cancelled,
}

/// Every upstream that was used, by name.
#[derive(Clone, Debug, Default)]
pub struct Upstreams {
    by_name: IndexMap<UpstreamName, Observed>,
}

#[derive(Clone, Debug)]
struct Observed {
    in_flight: u32,
    begun: Vec<Timestamp>,
    mean: f64,
    deviation: f64,
    avoid_until: Timestamp,
}

impl Default for Observed {
    fn default() -> Self {
        #[expect(clippy::cast_precision_loss, reason = "a few thousand microseconds")]
        let mean = FIRST_LATENCY.0 as f64;
        Self {
            in_flight: 0,
            begun: Vec::new(),
            mean,
            deviation: mean / 4.0,
            avoid_until: Timestamp::default(),
        }
    }
}

impl Upstreams {
    /// The replica to send to: the better of two drawn at random, among those that
    /// were not tried and, where there is a choice, did not fail a moment ago.
    pub fn choose(
        &self,
        now: Timestamp,
        replicas: &[Arc<UpstreamSpec>],
        tried: &[UpstreamName],
        rng: &mut SmallRng,
    ) -> Option<Arc<UpstreamSpec>> {
        let untried: Vec<_> = replicas
            .iter()
            .filter(|spec| !spec.leaving && !tried.contains(&spec.name))
            .collect();
        let usable: Vec<_> = untried
            .iter()
            .copied()
            .filter(|spec| {
                self.get(&spec.name)
                    .is_none_or(|seen| seen.avoid_until <= now)
            })
            .collect();
        let among = if usable.is_empty() { &untried } else { &usable };
        if among.is_empty() {
            return None;
        }
        let one = among[rng.random_range(0..among.len())];
        let two = among[rng.random_range(0..among.len())];
        let better = if self.cost(&one.name) <= self.cost(&two.name) {
            one
        } else {
            two
        };
        Some(Arc::clone(better))
    }

    /// How long to wait for this upstream before another replica is asked as well.
    #[must_use]
    pub fn hedge_after(&self, name: &UpstreamName) -> Span {
        let seen = self.get(name).cloned().unwrap_or_default();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a latency is positive and far below 2^53"
        )]
        let micros = (seen.mean + HEDGE_DEVIATIONS * seen.deviation) as u64;
        Span(micros).max(LEAST_HEDGE)
    }

    /// Notes that a leg was sent.
    pub fn begin(&mut self, name: &UpstreamName, now: Timestamp) {
        let seen = self.by_name.entry(name.clone()).or_default();
        seen.in_flight += 1;
        seen.begun.push(now);
    }

    /// Notes that a leg ended.
    pub fn end(&mut self, name: &UpstreamName, now: Timestamp, end: LegEnd) {
        let Some(seen) = self.by_name.get_mut(name) else {
            return;
        };
        seen.in_flight = seen.in_flight.saturating_sub(1);
        let begun = if seen.begun.is_empty() {
            now
        } else {
            seen.begun.remove(0)
        };
        match end {
            LegEnd::Replied => seen.learn(now.since(begun)),
            LegEnd::Failed(LegFailure::Silent | LegFailure::NoShare) | LegEnd::Cancelled => {}
            LegEnd::Failed(_) => seen.avoid_until = now + AVOID_AFTER_FAILURE,
        }
    }

    /// The legs under way at all upstreams.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.by_name.values().map(|seen| seen.in_flight).sum()
    }

    fn get(&self, name: &UpstreamName) -> Option<&Observed> {
        self.by_name.get(name)
    }

    fn cost(&self, name: &UpstreamName) -> f64 {
        let seen = self.get(name).cloned().unwrap_or_default();
        f64::from(seen.in_flight + 1) * seen.mean
    }
}

impl Observed {
    fn learn(&mut self, took: Span) {
        #[expect(clippy::cast_precision_loss, reason = "a latency is far below 2^53")]
        let took = took.0 as f64;
        let off = (took - self.mean).abs();
        self.mean += (took - self.mean) * LATENCY_WEIGHT;
        self.deviation += (off - self.deviation) * LATENCY_WEIGHT;
    }
}
