//! A latency distribution that forgets: what hedges, waits and early refusals go by.
//!
//! Buckets grow by half an octave, which is fine enough for a hedge time and keeps an
//! upstream at a hundred bytes. A leg that was cancelled is a censored observation; its
//! weight goes to the buckets above its age, as in the Kaplan-Meier estimate. See
//! `docs/DESIGN.md`, "Stragglers".

use crate::types::Span;

const BUCKETS: usize = 24;
const FIRST_EDGE_MICROS: f32 = 500.0;
const BUCKETS_PER_OCTAVE: f32 = 2.0;
const LEAST_SAMPLES: f32 = 8.0;
const HALVE_AT: f32 = 512.0;

/// Latencies of the last few hundred legs, the older ones with less weight.
#[derive(Clone, Debug, Default)]
pub(crate) struct Latency {
    counts: [f32; BUCKETS],
    total: f32,
}

/// What the legs of one class took.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassLatency {
    /// From a leg's sending to its reply.
    pub(crate) legs: Latency,
    /// The same, without the least that a leg to the failure domain takes, so that near
    /// and far legs are alike.
    pub(crate) excess: Latency,
    /// From a leg's first wish for room to its sending.
    pub(crate) waits: Latency,
}

impl Latency {
    /// Adds a latency that was observed to its end.
    pub(crate) fn learn(&mut self, took: Span) {
        self.counts[bucket(took)] += 1.0;
        self.add_to_total();
    }

    /// Adds a leg that was given up after `age`: it would have taken at least that.
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

    /// The latency below which this part of the legs stays; none before there are
    /// enough of them to say.
    pub(crate) fn quantile(&self, part: f64) -> Option<Span> {
        if self.total < LEAST_SAMPLES {
            return None;
        }
        #[expect(clippy::cast_possible_truncation, reason = "a part between 0 and 1")]
        let mut left = self.total * part as f32;
        for (at, count) in self.counts.iter().enumerate() {
            if *count > 0.0 && left <= *count {
                let (low, high) = (lower_edge(at), lower_edge(at + 1));
                return Some(span(low + (high - low) * left / *count));
            }
            left -= count;
        }
        Some(span(lower_edge(BUCKETS)))
    }

    fn add_to_total(&mut self) {
        self.total += 1.0;
        if self.total >= HALVE_AT {
            self.counts.iter_mut().for_each(|count| *count /= 2.0);
            self.total /= 2.0;
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "the result is cut to the buckets"
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
