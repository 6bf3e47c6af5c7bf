//! The order in which a planned stop goes, so that it cuts off no request; see
//! `docs/DESIGN.md`, "Shutdown".

use std::fmt;

use crate::types::{Span, Timestamp};

/// How long each phase of a planned stop lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StopTimes {
    /// Until no caller holds an answer that names this instance.
    pub(crate) leave: Span,
    /// From when it accepts no more, so that what was on its way arrives.
    pub(crate) least_drain: Span,
    /// Until what still runs is given up.
    pub(crate) most_drain: Span,
}

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It has not begun.
    Serving,
    /// It has left the addresses and still takes requests.
    Leaving {
        /// When it accepts no more.
        until: Timestamp,
    },
    /// It accepts no more and finishes what runs.
    Draining {
        /// Until when it goes on at least.
        least: Timestamp,
        /// When it gives up what still runs.
        most: Timestamp,
    },
    /// It hands on its duties and exits.
    Stopped,
}

/// What is to be done next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Tell the others that it leaves.
    Leave,
    /// Close the listener.
    StopAccepting,
    /// Hand on duties and exit; so many requests are cut off.
    HandOn(Lost),
    /// Exit at once; so many requests are cut off.
    Abandon(Lost),
}

/// How many requests are cut off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Lost(pub(crate) u32);

impl fmt::Display for Lost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A planned stop, and the requests that it waits for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shutdown {
    times: StopTimes,
    phase: Phase,
    active: u32,
}

impl Shutdown {
    pub(crate) fn new(times: StopTimes) -> Self {
        Self {
            times,
            phase: Phase::Serving,
            active: 0,
        }
    }

    /// Notes that a request began.
    pub(crate) fn begin_request(&mut self) {
        self.active += 1;
    }

    /// Notes that a request's reply was written, or that its caller is gone.
    pub(crate) fn end_request(&mut self) {
        self.active = self.active.saturating_sub(1);
    }

    /// Whether a caller is to be told to close its connection.
    pub(crate) fn closes_connections(&self) -> bool {
        self.phase != Phase::Serving
    }

    /// Takes a signal: the first begins the stop, a second ends it at once.
    pub(crate) fn on_signal(&mut self, now: Timestamp) -> Step {
        if self.phase == Phase::Serving {
            let until = now + self.times.leave;
            self.phase = Phase::Leaving { until };
            return Step::Leave;
        }
        self.phase = Phase::Stopped;
        Step::Abandon(Lost(self.active))
    }

    /// Looks at the time; there may be something to do.
    pub(crate) fn on_time(&mut self, now: Timestamp) -> Option<Step> {
        match self.phase {
            Phase::Leaving { until } if now >= until => {
                self.phase = Phase::Draining {
                    least: now + self.times.least_drain,
                    most: now + self.times.most_drain,
                };
                Some(Step::StopAccepting)
            }
            Phase::Draining { least, most } => {
                let finished = self.active == 0 && now >= least;
                if !finished && now < most {
                    return None;
                }
                self.phase = Phase::Stopped;
                Some(Step::HandOn(Lost(self.active)))
            }
            Phase::Serving | Phase::Leaving { .. } | Phase::Stopped => None,
        }
    }
}
