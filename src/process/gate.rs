//! The window of queries under way at one index, and who holds it.
//!
//! The first half of the window is for whoever comes first, so that nothing is left
//! unused. Beyond it only classes and callers that hold less than their part are let in,
//! and the last eighth is for callers that hold little of theirs, so that a newcomer
//! finds room whoever floods.

use std::fmt;

use indexmap::IndexMap;

use crate::types::{CallerName, ClassName, Span, Timestamp};

const FIRST_WINDOW: f64 = 32.0;
const LEAST_WINDOW: f64 = 4.0;
const MOST_WINDOW: f64 = 4_096.0;
const SHRINK: f64 = 0.8;
const FREE: f64 = 0.5;
const KEPT: f64 = 0.125;
const LITTLE: f64 = 0.25;
const ACTIVE_FOR: Span = Span::from_secs(1);
const MOST_CALLERS: usize = 1_024;

/// The queries under way at one index.
#[derive(Debug)]
pub(super) struct Gate {
    window: f64,
    used: u32,
    classes: IndexMap<ClassName, Holders>,
    pressed: bool,
    shrunk: Option<Timestamp>,
}

/// One class at the gate and its callers.
#[derive(Debug, Default)]
struct Holders {
    class: Holder,
    callers: IndexMap<Option<CallerName>, Holder>,
}

/// What one class or caller has under way, and when it last asked.
#[derive(Clone, Copy, Debug, Default)]
struct Holder {
    used: u32,
    asked: Timestamp,
}

/// The place of one query.
#[derive(Debug)]
pub(super) struct Place {
    class: ClassName,
    caller: Option<CallerName>,
}

/// Why there is no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Full {
    /// The whole window is in use.
    Window,
    /// The class holds its part.
    Class,
    /// The caller holds its part.
    Caller,
}

impl fmt::Display for Full {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Window => "the index has too many queries under way",
            Self::Class => "the class has its part of the queries under way",
            Self::Caller => "the caller has its part of the queries under way",
        })
    }
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            window: FIRST_WINDOW,
            used: 0,
            classes: IndexMap::new(),
            pressed: false,
            shrunk: None,
        }
    }
}

impl Gate {
    pub(super) fn enter(
        &mut self,
        now: Timestamp,
        class: &ClassName,
        caller: &CallerName,
    ) -> Result<Place, Full> {
        let holders = self.classes.entry(class.clone()).or_default();
        holders.class.asked = now;
        let caller = holders.ask(now, caller);
        if let Err(full) = self.check(now, class, caller.as_ref()) {
            self.pressed = true;
            return Err(full);
        }
        let place = Place {
            class: class.clone(),
            caller,
        };
        self.used += 1;
        if let Some((class, caller)) = self.holders(&place) {
            class.used += 1;
            caller.used += 1;
        }
        Ok(place)
    }

    pub(super) fn leave(&mut self, place: &Place) {
        self.used = self.used.saturating_sub(1);
        if let Some((class, caller)) = self.holders(place) {
            class.used = class.used.saturating_sub(1);
            caller.used = caller.used.saturating_sub(1);
        }
    }

    /// Answers come easily: by one query for each window of answers, while some are
    /// refused, and for each answer until the first was late.
    pub(super) fn grow(&mut self) {
        if self.pressed {
            let step = self.shrunk.map_or(1.0, |_| 1.0 / self.window);
            self.window = (self.window + step).min(MOST_WINDOW);
        }
        if f64::from(self.used) < self.window / 2.0 {
            self.pressed = false;
        }
    }

    /// Answers are late: once for all queries that were begun before.
    pub(super) fn shrink(&mut self, now: Timestamp, latency: Span) {
        if self.shrunk.is_some_and(|at| now.since(at) < latency) {
            return;
        }
        self.shrunk = Some(now);
        self.window = (self.window * SHRINK).max(LEAST_WINDOW);
    }

    pub(super) fn of_class(&self, class: &ClassName) -> u32 {
        self.classes.get(class).map_or(0, |it| it.class.used)
    }

    fn check(
        &self,
        now: Timestamp,
        class: &ClassName,
        caller: Option<&CallerName>,
    ) -> Result<(), Full> {
        let used = f64::from(self.used + 1);
        if used > self.window {
            return Err(Full::Window);
        }
        let Some(holders) = self.classes.get(class) else {
            return Ok(());
        };
        if used <= self.window * FREE {
            return Ok(());
        }
        let class_part = part(self.window, now, self.classes.values().map(|it| it.class));
        let caller_part = part(class_part, now, holders.callers.values().copied());
        let caller = holders.callers.get(&caller.cloned());
        let held = f64::from(caller.map_or(0, |it| it.used));
        if used > self.window * (1.0 - KEPT) {
            let is_newcomer = held < (caller_part * LITTLE).max(1.0);
            return is_newcomer.then_some(()).ok_or(Full::Window);
        }
        if f64::from(holders.class.used) >= class_part {
            return Err(Full::Class);
        }
        if held >= caller_part {
            return Err(Full::Caller);
        }
        Ok(())
    }

    fn holders(&mut self, place: &Place) -> Option<(&mut Holder, &mut Holder)> {
        let holders = self.classes.get_mut(&place.class)?;
        let caller = holders.callers.get_mut(&place.caller)?;
        Some((&mut holders.class, caller))
    }
}

impl Holders {
    /// Notes that a caller asks, and the name it is counted under: callers beyond a
    /// bounded number are counted as one.
    fn ask(&mut self, now: Timestamp, caller: &CallerName) -> Option<CallerName> {
        let mut key = Some(caller.clone());
        if !self.callers.contains_key(&key) && self.callers.len() >= MOST_CALLERS {
            self.callers.retain(|_, it| it.is_active(now));
        }
        if !self.callers.contains_key(&key) && self.callers.len() >= MOST_CALLERS {
            key = None;
        }
        self.callers.entry(key.clone()).or_default().asked = now;
        key
    }
}

impl Holder {
    fn is_active(self, now: Timestamp) -> bool {
        self.used > 0 || now.since(self.asked) < ACTIVE_FOR
    }
}

/// The part of one holder, in queries; at least one.
fn part(whole: f64, now: Timestamp, holders: impl Iterator<Item = Holder>) -> f64 {
    let active = holders.filter(|it| it.is_active(now)).count();
    let sharers = u32::try_from(active.max(1)).unwrap_or(u32::MAX);
    (whole / f64::from(sharers)).max(1.0)
}
