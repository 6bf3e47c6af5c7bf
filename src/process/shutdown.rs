//! The phases of a graceful shutdown, ordered so that no request is aborted; see
//! `docs/DESIGN.md`, "Shutdown".

use std::fmt;

use crate::error::{ErrorKind, Refusal};
use crate::types::{Span, Timestamp};

/// Requests in flight get their final answer this long before draining ends, so that it reaches
/// their callers before the process exits.
const DELIVERY_TIME: Span = Span::from_millis(200);

/// The durations of the phases of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StopTimes {
    /// How long the instance keeps accepting requests, until no caller still has its address
    /// cached.
    pub(crate) leave: Span,
    /// The minimum time to drain, so that requests already on their way are received.
    pub(crate) min_drain: Span,
    /// The maximum time to drain. Requests still in flight shortly before its end are answered
    /// with what is there.
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
        /// When the process exits, whatever is in flight.
        deadline: Timestamp,
        /// Whether the requests in flight were told to end.
        ended_requests: bool,
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
    /// Answer the requests in flight with what is there.
    EndRequests,
    /// Hand off the instance's duties and exit, aborting this many requests.
    HandOver(AbortedRequests),
    /// Exit at once, aborting this many requests.
    Abandon(AbortedRequests),
}

/// A signal that asks the process to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopSignal {
    /// Sent by a supervisor or a tool, which may repeat it without meaning to hurry.
    Terminate,
    /// Sent from a terminal. A second one means that the person there does not want to wait.
    Interrupt,
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
    interrupted: bool,
}

impl Shutdown {
    pub(crate) fn new(times: StopTimes) -> Self {
        Self {
            times,
            phase: Phase::Serving,
            active: 0,
            interrupted: false,
        }
    }

    /// Counts a request of which the first byte was received.
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

    /// Returns when a request that begins now has to end, if a shutdown has begun. `needed` is
    /// how long the request may take.
    ///
    /// # Errors
    /// [`ErrorKind::Stopping`] if the request might still be in flight when the process exits.
    /// Another instance can run it.
    pub(crate) fn admit(&self, now: Timestamp, needed: Span) -> Result<Option<Timestamp>, Refusal> {
        let deadline = match self.phase {
            Phase::Serving => return Ok(None),
            Phase::Leaving { until } => until + self.times.max_drain,
            Phase::Draining { deadline, .. } => deadline,
            Phase::Stopped => now,
        };
        let ends_at = deadline - DELIVERY_TIME;
        if now + needed <= ends_at {
            return Ok(Some(ends_at));
        }
        let left = ends_at.since(now);
        let detail =
            format!("the instance stops in {left}, and the request may take up to {needed}");
        Err(Refusal::new(ErrorKind::Stopping, detail))
    }

    /// Handles a signal. The first one begins the shutdown, and a second interrupt ends it at
    /// once.
    pub(crate) fn on_signal(&mut self, now: Timestamp, signal: StopSignal) -> Option<Step> {
        let is_second_interrupt = self.interrupted && signal == StopSignal::Interrupt;
        self.interrupted |= signal == StopSignal::Interrupt;
        if self.phase == Phase::Serving {
            let until = now + self.times.leave;
            self.phase = Phase::Leaving { until };
            return Some(Step::Leave);
        }
        if !is_second_interrupt {
            return None;
        }
        self.phase = Phase::Stopped;
        Some(Step::Abandon(AbortedRequests(self.active)))
    }

    /// Moves on to the next phase if its time has come, and returns the action to take.
    pub(crate) fn on_tick(&mut self, now: Timestamp) -> Option<Step> {
        match &mut self.phase {
            Phase::Leaving { until } if now >= *until => {
                self.phase = Phase::Draining {
                    earliest_end: now + self.times.min_drain,
                    deadline: *until + self.times.max_drain,
                    ended_requests: false,
                };
                Some(Step::StopAccepting)
            }
            Phase::Draining {
                earliest_end,
                deadline,
                ended_requests,
            } => {
                let finished = self.active == 0 && now >= *earliest_end;
                if !finished && now < *deadline {
                    let ends_requests = !*ended_requests && now >= *deadline - DELIVERY_TIME;
                    *ended_requests |= ends_requests;
                    return ends_requests.then_some(Step::EndRequests);
                }
                self.phase = Phase::Stopped;
                Some(Step::HandOver(AbortedRequests(self.active)))
            }
            Phase::Serving | Phase::Leaving { .. } | Phase::Stopped => None,
        }
    }
}
