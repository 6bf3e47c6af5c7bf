//! A replica's slots and the queue before them.

use std::collections::VecDeque;

use hyssopwalk::{LegId, Span, Timestamp};
use rand::Rng;
use rand::rngs::SmallRng;

/// A leg anywhere in the model: its query's number and its id there.
pub(crate) type LegKey = (usize, LegId);

/// One replica.
#[derive(Debug)]
pub(crate) struct Replica {
    pub(crate) place: usize,
    pub(crate) slow_factor: f64,
    pub(crate) lost: bool,
    slots: usize,
    running: Vec<LegKey>,
    waiting: VecDeque<LegKey>,
    pub(crate) legs: u64,
    pub(crate) busy: u64,
}

/// A leg that got a slot and when it is through.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Started {
    pub(crate) leg: LegKey,
    pub(crate) done_at: Timestamp,
}

impl Replica {
    pub(crate) fn new(place: usize, slots: usize) -> Self {
        Self {
            place,
            slow_factor: 1.0,
            lost: false,
            slots,
            running: Vec::new(),
            waiting: VecDeque::new(),
            legs: 0,
            busy: 0,
        }
    }

    pub(crate) fn arrive(&mut self, leg: LegKey) {
        self.legs += 1;
        self.waiting.push_back(leg);
    }

    /// Gives a free slot to the leg that waited longest.
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
        self.busy += took.0;
        Some(Started {
            leg,
            done_at: now + took,
        })
    }

    /// Ends a leg that is running; false when it was cancelled before.
    pub(crate) fn finish(&mut self, leg: LegKey) -> bool {
        let at = self.running.iter().position(|running| *running == leg);
        at.map(|at| self.running.swap_remove(at)).is_some()
    }

    /// Forgets a leg wherever it is.
    pub(crate) fn cancel(&mut self, leg: LegKey) {
        self.waiting.retain(|waiting| *waiting != leg);
        self.finish(leg);
    }
}

fn normal(rng: &mut SmallRng) -> f64 {
    let one: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    let two: f64 = rng.random_range(0.0..1.0);
    (-2.0 * one.ln()).sqrt() * (std::f64::consts::TAU * two).cos()
}
