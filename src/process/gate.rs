//! The concurrency limit of one index, shared by classes and callers.
//!
//! The limit is a window of queries in flight. The first half of the window is first
//! come, first served, so that no capacity is left unused. Above it, a query is admitted
//! only if its class and its caller hold less than their fair share. The last eighth is
//! reserved for callers that hold only a small fraction of theirs, so that a new caller
//! is admitted while others flood the index.

use std::fmt;

use indexmap::IndexMap;

use crate::types::{CallerName, ClassName, Span, Timestamp};

const INITIAL_WINDOW: f64 = 32.0;
const MIN_WINDOW: f64 = 4.0;
const MAX_WINDOW: f64 = 4_096.0;
/// Multiplies the window after a late answer.
const SHRINK_FACTOR: f64 = 0.8;
/// The fraction of the window that is first come, first served.
const UNRESTRICTED_FRACTION: f64 = 0.5;
/// The fraction of the window that is reserved for newcomers.
const RESERVED_FRACTION: f64 = 0.125;
/// A caller that holds less than this fraction of its share is a newcomer.
const NEWCOMER_FRACTION: f64 = 0.25;
/// A class or caller with no query in flight and no request for this long gets no share.
const IDLE_AFTER: Span = Span::from_secs(1);
/// Callers counted separately per class; the others are counted as one.
const MAX_CALLERS: usize = 1_024;

/// The concurrency limit of one index and its current use.
#[derive(Debug)]
pub(super) struct Gate {
    window: f64,
    /// Queries in flight.
    used: u32,
    classes: IndexMap<ClassName, ClassUsage>,
    /// Whether a query was refused since less than half of the window was in use.
    saturated: bool,
    last_shrunk: Option<Timestamp>,
}

/// What one class and each of its callers use of the window.
#[derive(Debug, Default)]
struct ClassUsage {
    total: Usage,
    /// By caller; `None` counts all callers above [`MAX_CALLERS`].
    callers: IndexMap<Option<CallerName>, Usage>,
}

/// The queries in flight of one class or caller, and when it last sent a request.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    used: u32,
    last_request: Timestamp,
}

/// One query's share of the window, returned through [`Gate::leave`].
#[derive(Debug)]
pub(super) struct Permit {
    class: ClassName,
    caller: Option<CallerName>,
}

/// The limit that a refused query exceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LimitReached {
    /// The whole window is in use.
    Window,
    /// The class holds its fair share.
    Class,
    /// The caller holds its fair share.
    Caller,
}

impl fmt::Display for LimitReached {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Window => "the index has too many queries in flight",
            Self::Class => "the class has its full share of the queries in flight",
            Self::Caller => "the caller has its full share of the queries in flight",
        })
    }
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            window: INITIAL_WINDOW,
            used: 0,
            classes: IndexMap::new(),
            saturated: false,
            last_shrunk: None,
        }
    }
}

impl Gate {
    /// Admits a query, or returns the limit that it exceeds.
    pub(super) fn enter(
        &mut self,
        now: Timestamp,
        class: &ClassName,
        caller: &CallerName,
    ) -> Result<Permit, LimitReached> {
        let class_usage = self.classes.entry(class.clone()).or_default();
        class_usage.total.last_request = now;
        let caller = class_usage.record_request(now, caller);
        if let Err(limit_reached) = self.check(now, class, caller.as_ref()) {
            self.saturated = true;
            return Err(limit_reached);
        }
        let permit = Permit {
            class: class.clone(),
            caller,
        };
        self.used += 1;
        if let Some((class, caller)) = self.usage_mut(&permit) {
            class.used += 1;
            caller.used += 1;
        }
        Ok(permit)
    }

    /// Returns the permit of a query that has ended.
    pub(super) fn leave(&mut self, permit: &Permit) {
        self.used = self.used.saturating_sub(1);
        if let Some((class, caller)) = self.usage_mut(permit) {
            class.used = class.used.saturating_sub(1);
            caller.used = caller.used.saturating_sub(1);
        }
    }

    /// Grows the window after an answer well within its target, if queries were refused lately: by
    /// one query per answer until the first late answer, then by one query per window of
    /// answers.
    pub(super) fn grow(&mut self) {
        if self.saturated {
            let step = self.last_shrunk.map_or(1.0, |_| 1.0 / self.window);
            self.window = (self.window + step).min(MAX_WINDOW);
        }
        if f64::from(self.used) < self.window / 2.0 {
            self.saturated = false;
        }
    }

    /// Shrinks the window after a late answer, at most once per `latency`, so that all
    /// queries that were in flight together shrink it only once.
    pub(super) fn shrink(&mut self, now: Timestamp, latency: Span) {
        if self.last_shrunk.is_some_and(|at| now.since(at) < latency) {
            return;
        }
        self.last_shrunk = Some(now);
        self.window = (self.window * SHRINK_FACTOR).max(MIN_WINDOW);
    }

    /// The queries of a class in flight.
    pub(super) fn class_in_flight(&self, class: &ClassName) -> u32 {
        self.classes.get(class).map_or(0, |it| it.total.used)
    }

    fn check(
        &self,
        now: Timestamp,
        class: &ClassName,
        caller: Option<&CallerName>,
    ) -> Result<(), LimitReached> {
        let used = f64::from(self.used + 1);
        if used > self.window {
            return Err(LimitReached::Window);
        }
        let Some(class_usage) = self.classes.get(class) else {
            return Ok(());
        };
        if used <= self.window * UNRESTRICTED_FRACTION {
            return Ok(());
        }
        let class_share = fair_share(self.window, now, self.classes.values().map(|it| it.total));
        let caller_share = fair_share(class_share, now, class_usage.callers.values().copied());
        let caller = class_usage.callers.get(&caller.cloned());
        let caller_used = f64::from(caller.map_or(0, |it| it.used));
        if used > self.window * (1.0 - RESERVED_FRACTION) {
            let is_newcomer = caller_used < (caller_share * NEWCOMER_FRACTION).max(1.0);
            return is_newcomer.then_some(()).ok_or(LimitReached::Window);
        }
        if f64::from(class_usage.total.used) >= class_share {
            return Err(LimitReached::Class);
        }
        if caller_used >= caller_share {
            return Err(LimitReached::Caller);
        }
        Ok(())
    }

    fn usage_mut(&mut self, permit: &Permit) -> Option<(&mut Usage, &mut Usage)> {
        let class_usage = self.classes.get_mut(&permit.class)?;
        let caller = class_usage.callers.get_mut(&permit.caller)?;
        Some((&mut class_usage.total, caller))
    }
}

impl ClassUsage {
    /// Records a caller's request and returns the key it is counted under: callers above
    /// [`MAX_CALLERS`] are counted as one, so that memory stays bounded.
    fn record_request(&mut self, now: Timestamp, caller: &CallerName) -> Option<CallerName> {
        let mut key = Some(caller.clone());
        if !self.callers.contains_key(&key) && self.callers.len() >= MAX_CALLERS {
            self.callers.retain(|_, it| it.is_active(now));
        }
        if !self.callers.contains_key(&key) && self.callers.len() >= MAX_CALLERS {
            key = None;
        }
        self.callers.entry(key.clone()).or_default().last_request = now;
        key
    }
}

impl Usage {
    fn is_active(self, now: Timestamp) -> bool {
        self.used > 0 || now.since(self.last_request) < IDLE_AFTER
    }
}

/// The fair share of each active class or caller, in queries; at least one.
fn fair_share(total: f64, now: Timestamp, usages: impl Iterator<Item = Usage>) -> f64 {
    let active = usages.filter(|it| it.is_active(now)).count();
    let sharers = u32::try_from(active.max(1)).unwrap_or(u32::MAX);
    (total / f64::from(sharers)).max(1.0)
}
