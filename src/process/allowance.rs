//! The repeats that all instances together may send to one service.
//!
//! A service bears so many repeats for each of its requests in a window, and a few beside.
//! Each instance keeps to its part: the ratio of the requests it took itself, and an equal
//! part of the rest. Windows slide, so old requests and repeats are forgotten in steps;
//! see `docs/DESIGN.md`, "Repeats of a service".

use super::{Extra, Table};
use crate::types::{Ratio, ServiceName, Span, Timestamp};

/// How many steps a window is counted in.
const STEPS: usize = 10;
/// The part of the allowance that is used, since instances may disagree for a moment on
/// how many they are, and one that restarts forgets what it sent.
const USED_PART: f64 = 0.8;
/// The part that hedges leave for retries after a failure.
const RESERVE_PART: f64 = 0.25;

/// What operators allow for each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatTerms {
    /// Repeats for each request.
    pub ratio: Ratio,
    /// Repeats beside those, for all instances together.
    pub beside: u32,
    /// The span in which both are counted.
    pub window: Span,
}

/// The requests and repeats of every service, as this instance sent them.
#[derive(Clone, Debug)]
pub struct Allowances {
    terms: RepeatTerms,
    live: u32,
    by_service: Table<ServiceName, Spent>,
}

#[derive(Clone, Debug, Default)]
struct Spent {
    steps: [Step; STEPS + 1],
}

#[derive(Clone, Copy, Debug, Default)]
struct Step {
    number: u64,
    requests: u32,
    repeats: u32,
}

impl Default for Allowances {
    fn default() -> Self {
        Self::new(RepeatTerms {
            ratio: Ratio::from_ppm(100_000),
            beside: 0,
            window: Span::from_secs(10),
        })
    }
}

impl Allowances {
    pub(crate) fn new(terms: RepeatTerms) -> Self {
        Self {
            terms,
            live: 1,
            by_service: Table::default(),
        }
    }

    /// Takes over what operators allow.
    pub(crate) fn set_terms(&mut self, terms: RepeatTerms) {
        self.terms = terms;
    }

    /// Says how many instances share what is allowed beside the ratio.
    pub(crate) fn set_live(&mut self, live: u32) {
        self.live = live.max(1);
    }

    /// Notes a request that goes to the service.
    pub(crate) fn request(&mut self, now: Timestamp, service: &ServiceName) {
        let number = self.step(now);
        self.of(service).at(number).requests += 1;
    }

    /// Takes one repeat, if there is one left.
    pub(crate) fn take(&mut self, now: Timestamp, service: &ServiceName, extra: Extra) -> bool {
        let number = self.step(now);
        let terms = self.terms;
        let beside = f64::from(terms.beside) / f64::from(self.live);
        let spent = self.of(service);
        let (requests, repeats) = spent.sums(number);
        let allowed = USED_PART * (terms.ratio.as_f64() * f64::from(requests) + beside);
        let left = match extra {
            Extra::Hedge => allowed * (1.0 - RESERVE_PART),
            Extra::Retry | Extra::Move => allowed,
        };
        let enough = f64::from(repeats) + 1.0 <= left;
        if enough {
            spent.at(number).repeats += 1;
        }
        enough
    }

    fn step(&self, now: Timestamp) -> u64 {
        now.0 / (self.terms.window.0 / STEPS as u64).max(1)
    }

    fn of(&mut self, service: &ServiceName) -> &mut Spent {
        if !self.by_service.contains_key(service) {
            self.by_service.insert(service.clone(), Spent::default());
        }
        &mut self.by_service[service]
    }
}

impl Spent {
    fn at(&mut self, number: u64) -> &mut Step {
        let at = usize::try_from(number % (STEPS as u64 + 1)).unwrap_or_default();
        let step = &mut self.steps[at];
        if step.number != number {
            *step = Step {
                number,
                ..Step::default()
            };
        }
        step
    }

    /// Requests of the whole steps of a window and repeats of one step more, so that no
    /// sliding window has more repeats for its requests.
    fn sums(&self, number: u64) -> (u32, u32) {
        let oldest = number.saturating_sub(STEPS as u64);
        let live = self.steps.iter().filter(|step| step.number >= oldest);
        live.fold((0, 0), |(requests, repeats), step| {
            let counted = number - step.number < STEPS as u64;
            (
                requests + if counted { step.requests } else { 0 },
                repeats + step.repeats,
            )
        })
    }
}

#[cfg(test)]
#[path = "allowance_tests.rs"]
mod allowance_tests;
