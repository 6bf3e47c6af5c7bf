//! A modelled replica: its slots and the queue in front of them.

use std::collections::VecDeque;

use hyssopwalk::{LegId, Span, Timestamp};
use rand::Rng;
use rand::rngs::SmallRng;

/// Identifies a leg in the model: the number of its query and its id within the query.
pub(crate) type LegKey = (usize, LegId);

/// One modelled replica.
#[derive(Debug)]
pub(crate) struct Replica {
    /// Index of its failure domain.
    pub(crate) domain: usize,
    /// Multiplier of the service time.
    pub(crate) slow_factor: f64,
    /// Whether the replica is unreachable.
    pub(crate) lost: bool,
    slots: usize,
    running: Vec<LegKey>,
    waiting: VecDeque<LegKey>,
    /// Number of legs that arrived since the end of the warm-up.
    pub(crate) legs: u64,
    pub(crate) busy_us: u64,
}

/// A leg that has started, and its completion time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Started {
    pub(crate) leg: LegKey,
    pub(crate) done_at: Timestamp,
}

impl Replica {
    pub(crate) fn new(domain: usize, slots: usize) -> Self {
        Self {
            domain,
            slow_factor: 1.0,
            lost: false,
            slots,
            running: Vec::new(),
            waiting: VecDeque::new(),
            legs: 0,
            busy_us: 0,
        }
    }

    pub(crate) fn arrive(&mut self, leg: LegKey) {
        self.legs += 1;
        self.waiting.push_back(leg);
    }

    /// Starts the longest-waiting leg if a slot is free.
    ///
    /// The service time is log-normal with this median and sigma.
    pub(crate) fn start(
        &mut self,
        now: Timestamp,
        rng: &mut SmallRng,
        median: Span,
        sigma: f64,
    ) -> Option<Started> {
        if self.running.len() >= self.slots {
            return None;
        }
        let leg = self.waiting.pop_front()?;
        self.running.push(leg);
        let took = median.0 as f64 * (sigma * normal(rng)).exp() * self.slow_factor;
        let took = Span(took as u64);
        self.busy_us += took.0;
        Some(Started {
            leg,
            done_at: now + took,
        })
    }

    /// Completes a running leg; false if it was cancelled before.
    pub(crate) fn finish(&mut self, leg: LegKey) -> bool {
        let at = self.running.iter().position(|running| *running == leg);
        at.map(|at| self.running.swap_remove(at)).is_some()
    }

    /// Removes a leg, whether it is waiting or running.
    pub(crate) fn cancel(&mut self, leg: LegKey) {
        self.waiting.retain(|waiting| *waiting != leg);
        self.finish(leg);
    }
}

/// Draws from the standard normal distribution (Box-Muller transform).
fn normal(rng: &mut SmallRng) -> f64 {
    let uniform_a: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    let uniform_b: f64 = rng.random_range(0.0..1.0);
    (-2.0 * uniform_a.ln()).sqrt() * (std::f64::consts::TAU * uniform_b).cos()
}
