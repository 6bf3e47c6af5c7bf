//! Retry budgets that all instances share, one for each service.
//!
//! A repeat is any leg after a shard's first: a hedge, a retry or a failover. In each
//! window, a service accepts a number of repeats in proportion to its requests, plus a
//! fixed slack. Each instance keeps to its own share: the ratio applied to the requests
//! that it sent itself, and an equal share of the slack. The window slides in steps, so
//! old requests and repeats expire one step at a time; see `docs/DESIGN.md`,
//! "Repeats of a service".

use super::{ExtraLeg, Table};
use crate::types::{Ratio, ServiceName, Span, Timestamp};

/// The number of steps that a window is divided into.
const STEPS_PER_WINDOW: usize = 10;
/// The share of the budget that is used. The rest is a margin: instances may briefly
/// disagree on their number, and one that restarts forgets what it sent.
const USED_SHARE: f64 = 0.8;
/// The share of the budget that hedges leave for retries after a failure.
const RETRY_RESERVE_SHARE: f64 = 0.25;

/// The repeats that operators allow for each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Repeats allowed for each request.
    pub ratio: Ratio,
    /// Repeats allowed on top of the ratio, for all instances together.
    pub slack: u32,
    /// The length of the sliding window in which both are counted.
    pub window: Span,
}

/// The requests and repeats that this instance sent to each service.
#[derive(Clone, Debug)]
pub struct ServiceRetryBudgets {
    limits: RetryLimits,
    live: u32,
    by_service: Table<ServiceName, SlidingCounts>,
}

#[derive(Clone, Debug, Default)]
struct SlidingCounts {
    steps: [Step; STEPS_PER_WINDOW + 1],
}

#[derive(Clone, Copy, Debug, Default)]
struct Step {
    number: u64,
    requests: u32,
    repeats: u32,
}

impl Default for ServiceRetryBudgets {
    fn default() -> Self {
        Self::new(RetryLimits {
            ratio: Ratio::from_ppm(100_000),
            slack: 0,
            window: Span::from_secs(10),
        })
    }
}

impl ServiceRetryBudgets {
    pub(crate) fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            live: 1,
            by_service: Table::default(),
        }
    }

    /// Replaces the limits that operators set.
    pub(crate) fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
    }

    /// Sets the number of live instances, which share the slack equally.
    pub(crate) fn set_live(&mut self, live: u32) {
        self.live = live.max(1);
    }

    /// Records a request sent to the service.
    pub(crate) fn request(&mut self, now: Timestamp, service: &ServiceName) {
        let number = self.step(now);
        self.counts_mut(service).step_mut(number).requests += 1;
    }

    /// Takes one repeat from the budget and returns whether there was one left.
    pub(crate) fn take(&mut self, now: Timestamp, service: &ServiceName, extra: ExtraLeg) -> bool {
        let number = self.step(now);
        let limits = self.limits;
        let slack = f64::from(limits.slack) / f64::from(self.live);
        let counts = self.counts_mut(service);
        let (requests, repeats) = counts.totals(number);
        let allowed = USED_SHARE * (limits.ratio.as_f64() * f64::from(requests) + slack);
        let max = match extra {
            ExtraLeg::Hedge => allowed * (1.0 - RETRY_RESERVE_SHARE),
            ExtraLeg::Retry | ExtraLeg::Move => allowed,
        };
        let enough = f64::from(repeats) + 1.0 <= max;
        if enough {
            counts.step_mut(number).repeats += 1;
        }
        enough
    }

    fn step(&self, now: Timestamp) -> u64 {
        now.0 / (self.limits.window.0 / STEPS_PER_WINDOW as u64).max(1)
    }

    fn counts_mut(&mut self, service: &ServiceName) -> &mut SlidingCounts {
        if !self.by_service.contains_key(service) {
            self.by_service
                .insert(service.clone(), SlidingCounts::default());
        }
        &mut self.by_service[service]
    }
}

impl SlidingCounts {
    fn step_mut(&mut self, number: u64) -> &mut Step {
        let at = usize::try_from(number % (STEPS_PER_WINDOW as u64 + 1)).unwrap_or_default();
        let step = &mut self.steps[at];
        if step.number != number {
            *step = Step {
                number,
                ..Step::default()
            };
        }
        step
    }

    /// Returns the requests of one window of steps, and the repeats of one step more, so
    /// that no position of the sliding window exceeds the ratio.
    fn totals(&self, number: u64) -> (u32, u32) {
        let oldest = number.saturating_sub(STEPS_PER_WINDOW as u64);
        let recent = self.steps.iter().filter(|step| step.number >= oldest);
        recent.fold((0, 0), |(requests, repeats), step| {
            let counted = number - step.number < STEPS_PER_WINDOW as u64;
            (
                requests + if counted { step.requests } else { 0 },
                repeats + step.repeats,
            )
        })
    }
}

#[cfg(test)]
#[path = "service_retry_budget_tests.rs"]
mod service_retry_budget_tests;
