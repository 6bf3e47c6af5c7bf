//! The phases of a graceful shutdown, ordered so that no request is aborted; see
//! `docs/DESIGN.md`, "Shutdown".

use std::fmt;

use crate::types::{Span, Timestamp};

/// The durations of the phases of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StopTimes {
    /// How long the instance keeps accepting requests, until no caller still has its address
    /// cached.
    pub(crate) leave: Span,
    /// The minimum time to drain, so that requests already on their way are received.
    pub(crate) min_drain: Span,
    /// The maximum time to drain; requests still in flight after it are aborted.
    pub(crate) max_drain: Span,
}

/// The phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The shutdown has not begun.
    Serving,
    /// The instance is no longer advertised to callers but still accepts requests.
    Leaving {
        /// When it stops accepting.
        until: Timestamp,
    },
    /// The instance accepts nothing more and finishes the requests in flight.
    Draining {
        /// The earliest time at which draining may end.
        earliest_end: Timestamp,
        /// When requests still in flight are aborted.
        deadline: Timestamp,
    },
    /// The instance hands off its duties and exits.
    Stopped,
}

/// The next action of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Announce to other instances that this one is leaving.
    Leave,
    /// Close the listener.
    StopAccepting,
    /// Hand off the instance's duties and exit, aborting this many requests.
    HandOver(AbortedRequests),
    /// Exit at once, aborting this many requests.
    Abandon(AbortedRequests),
}

/// The number of requests that a shutdown aborts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct AbortedRequests(pub(crate) u32);

impl fmt::Display for AbortedRequests {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The state of a graceful shutdown, and the number of requests it waits for.
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

    /// Counts a request that has begun.
    pub(crate) fn begin_request(&mut self) {
        self.active += 1;
    }

    /// Counts a request whose reply is written or whose caller has disconnected.
    pub(crate) fn end_request(&mut self) {
        self.active = self.active.saturating_sub(1);
    }

    /// Whether callers are asked to close their connections.
    pub(crate) fn closes_connections(&self) -> bool {
        self.phase != Phase::Serving
    }

    /// Handles a signal: the first begins the shutdown, a second ends it at once.
    pub(crate) fn on_signal(&mut self, now: Timestamp) -> Step {
        if self.phase == Phase::Serving {
            let until = now + self.times.leave;
            self.phase = Phase::Leaving { until };
            return Step::Leave;
        }
        self.phase = Phase::Stopped;
        Step::Abandon(AbortedRequests(self.active))
    }

    /// Moves on to the next phase if its time has come, and returns the action to take.
    pub(crate) fn on_tick(&mut self, now: Timestamp) -> Option<Step> {
        match self.phase {
            Phase::Leaving { until } if now >= until => {
                self.phase = Phase::Draining {
                    earliest_end: now + self.times.min_drain,
                    deadline: now + self.times.max_drain,
                };
                Some(Step::StopAccepting)
            }
            Phase::Draining {
                earliest_end,
                deadline,
            } => {
                let finished = self.active == 0 && now >= earliest_end;
                if !finished && now < deadline {
                    return None;
                }
                self.phase = Phase::Stopped;
                Some(Step::HandOver(AbortedRequests(self.active)))
            }
            Phase::Serving | Phase::Leaving { .. } | Phase::Stopped => None,
        }
    }
}
