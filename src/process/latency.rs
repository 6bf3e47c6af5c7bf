//! A decaying histogram of leg latencies and waits, used to time hedges and to refuse
//! queries early.
//!
//! Each bucket is half an octave wide, which is precise enough for a hedge delay and keeps
//! a histogram at about a hundred bytes. A cancelled leg is a censored observation: its
//! weight is spread over the buckets above its age, as in the Kaplan-Meier estimator. See
//! `docs/DESIGN.md`, "Stragglers".

use crate::types::{Span, Timestamp};

const BUCKETS: usize = 24;
const FIRST_EDGE_MICROS: f32 = 500.0;
const BUCKETS_PER_OCTAVE: f32 = 2.0;
const MIN_SAMPLES: f32 = 8.0;
const HALVE_AT_SAMPLES: f32 = 512.0;
/// While queries are refused, few legs bring new evidence, so the old evidence loses half of its
/// weight in this time.
const REFUSAL_HALF_LIFE: Span = Span::from_secs(2);
/// How often at least a query is tried while others are refused.
const TRIAL_INTERVAL: Span = Span::from_millis(500);

/// A histogram of the latencies of the last few hundred legs; older ones weigh less.
#[derive(Clone, Debug, Default)]
pub(crate) struct Latency {
    counts: [f32; BUCKETS],
    total: f32,
}

/// The latencies of the legs of one class.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassLatency {
    /// The time from sending a leg to its reply.
    pub(crate) legs: Latency,
    /// The same, less the minimum latency to the upstream's failure domain, so that near
    /// and far legs are comparable.
    pub(crate) excess: Latency,
    /// The time that a leg waited for capacity before it was sent.
    pub(crate) waits: Latency,
    refusals: Option<Refusals>,
}

/// The refusals of queries that could not finish, by the latencies of their class.
#[derive(Clone, Copy, Debug)]
struct Refusals {
    last: Timestamp,
    last_trial: Timestamp,
}

impl ClassLatency {
    /// Whether the last query of the class was refused.
    pub(crate) fn is_refusing(&self) -> bool {
        self.refusals.is_some()
    }

    /// Records that a query can finish by these latencies.
    pub(crate) fn stop_refusing(&mut self) {
        self.refusals = None;
    }

    /// Records that a query cannot finish by these latencies. Returns whether it is to be tried all
    /// the same.
    pub(crate) fn refuse(&mut self, now: Timestamp) -> bool {
        let refusals = self.refusals.get_or_insert(Refusals {
            last: now,
            last_trial: now,
        });
        let elapsed = now.since(refusals.last);
        refusals.last = now;
        let is_trial = now.since(refusals.last_trial) >= TRIAL_INTERVAL;
        if is_trial {
            refusals.last_trial = now;
        }
        self.legs.fade(elapsed);
        self.waits.fade(elapsed);
        is_trial
    }
}

impl Latency {
    /// Records the latency of a leg that got a reply.
    pub(crate) fn learn(&mut self, took: Span) {
        self.counts[bucket(took)] += 1.0;
        self.add_to_total();
    }

    /// Records a leg that was cancelled after `age`: its latency would have been higher.
    pub(crate) fn learn_at_least(&mut self, age: Span) {
        let first = (bucket(age) + 1).min(BUCKETS - 1);
        let above: f32 = self.counts[first..].iter().sum();
        if above > 0.0 {
            for count in &mut self.counts[first..] {
                *count += *count / above;
            }
        } else {
            self.counts[first] += 1.0;
        }
        self.add_to_total();
    }

    /// Returns the latency that the given fraction of legs does not exceed, or `None` if
    /// there are too few samples.
    pub(crate) fn quantile(&self, fraction: f64) -> Option<Span> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        #[expect(
            clippy::cast_possible_truncation,
            reason = "a fraction between 0 and 1"
        )]
        let mut remaining = self.total * fraction as f32;
        for (at, count) in self.counts.iter().enumerate() {
            if *count > 0.0 && remaining <= *count {
                let (low, high) = (lower_edge(at), lower_edge(at + 1));
                return Some(span(low + (high - low) * remaining / *count));
            }
            remaining -= count;
        }
        Some(span(lower_edge(BUCKETS)))
    }

    /// Takes weight from the samples as time passes. What remains is enough for a quantile.
    fn fade(&mut self, elapsed: Span) {
        let half_lives = elapsed
            .as_duration()
            .div_duration_f32(REFUSAL_HALF_LIFE.as_duration());
        let faded = (self.total * (-half_lives).exp2()).max(MIN_SAMPLES);
        if faded < self.total {
            let factor = faded / self.total;
            self.counts.iter_mut().for_each(|count| *count *= factor);
            self.total = faded;
        }
    }

    fn add_to_total(&mut self) {
        self.total += 1.0;
        if self.total >= HALVE_AT_SAMPLES {
            self.counts.iter_mut().for_each(|count| *count /= 2.0);
            self.total /= 2.0;
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "the result is clamped to the buckets"
)]
fn bucket(span: Span) -> usize {
    let ratio = (span.0 as f32 / FIRST_EDGE_MICROS).max(1.0);
    let at = ratio.log2() * BUCKETS_PER_OCTAVE;
    (at as usize).min(BUCKETS - 1)
}

#[expect(clippy::cast_precision_loss, reason = "there are 24 buckets")]
fn lower_edge(at: usize) -> f32 {
    if at == 0 {
        return 0.0;
    }
    FIRST_EDGE_MICROS * (at as f32 / BUCKETS_PER_OCTAVE).exp2()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "an edge is positive and below a minute"
)]
fn span(micros: f32) -> Span {
    Span(micros as u64)
}

#[cfg(test)]
#[path = "latency_tests.rs"]
mod latency_tests;
