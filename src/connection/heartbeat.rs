//! Whether an established connection is still alive.
//!
//! Something between the two ends may lose track of a connection without a sign to
//! either. A connection is probed only while legs wait on it and nothing is heard; see
//! `docs/DESIGN.md`, "Silent connections".

use crate::types::{Span, Timestamp};

const LEAST_QUIET: Span = Span::from_millis(25);
const MOST_QUIET: Span = Span::from_millis(250);
const QUIET_ROUND_TRIPS: u64 = 3;
const LEAST_PONG: Span = Span::from_millis(30);
const MOST_PONG: Span = Span::from_millis(200);
const PONG_ROUND_TRIPS: u64 = 4;
/// Longer than TCP takes to send a lost segment again, so that a lossy link is not
/// taken for a silent one.
const SILENT_AFTER: Span = Span::from_millis(600);
const VERIFY_AFTER: Span = Span::from_secs(2);
const CLOSE_AFTER: Span = Span::from_secs(60);

/// What a connection is, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Health {
    /// It was heard lately, or nothing is expected.
    Good,
    /// A probe is overdue: it takes no new leg.
    Suspect,
    /// It went silent for good.
    Silent,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Send a probe.
    Ping,
    /// Look again at this time, or sooner when something changes.
    Wait(Timestamp),
    /// Nothing is expected; close it at this time unless a leg comes.
    Idle(Timestamp),
    /// Close it: it was not used for long, or it is silent.
    Close,
}

/// What is known of one connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Heartbeat {
    heard: Timestamp,
    asked: Option<Timestamp>,
    pinged: Option<Timestamp>,
    round_trip: Span,
    health: Health,
}

impl Heartbeat {
    /// A connection that was opened at `now` and has yet to answer a first probe.
    pub(super) fn new(now: Timestamp, round_trip: Span) -> Self {
        Self {
            heard: now,
            asked: None,
            pinged: None,
            round_trip,
            health: Health::Good,
        }
    }

    pub(super) fn health(&self) -> Health {
        self.health
    }

    /// Whether a probe must be answered before the connection takes a leg.
    pub(super) fn needs_proof(&self, now: Timestamp) -> bool {
        self.asked.is_none() && now.since(self.heard) >= VERIFY_AFTER
    }

    /// Whether a probe is under way.
    pub(super) fn is_probing(&self) -> bool {
        self.pinged.is_some()
    }

    /// Notes that legs wait from now on, after a time without any.
    pub(super) fn ask(&mut self, now: Timestamp) {
        self.asked.get_or_insert(now);
    }

    /// Notes that no leg waits any more.
    pub(super) fn rest(&mut self) {
        self.asked = None;
    }

    /// Notes that bytes came from the other end.
    pub(super) fn hear(&mut self, now: Timestamp) {
        self.heard = self.heard.max(now);
        if self.health == Health::Suspect {
            self.health = Health::Good;
        }
    }

    /// Notes that a probe was sent.
    pub(super) fn ping(&mut self, now: Timestamp) {
        self.pinged = Some(now);
    }

    /// Notes that the probe was answered.
    pub(super) fn pong(&mut self, now: Timestamp) {
        if let Some(pinged) = self.pinged.take() {
            self.round_trip = now.since(pinged);
        }
        self.hear(now);
    }

    /// What to do now.
    pub(super) fn step(&mut self, now: Timestamp) -> Step {
        match (self.pinged, self.asked) {
            (Some(pinged), _) => self.judge(now, pinged),
            (None, Some(asked)) => {
                let quiet = within(self.round_trip, QUIET_ROUND_TRIPS, LEAST_QUIET, MOST_QUIET);
                let due = asked.max(self.heard) + quiet;
                if now >= due {
                    Step::Ping
                } else {
                    Step::Wait(due)
                }
            }
            (None, None) => {
                let close = self.heard + CLOSE_AFTER;
                if now >= close {
                    Step::Close
                } else {
                    Step::Idle(close)
                }
            }
        }
    }

    fn judge(&mut self, now: Timestamp, pinged: Timestamp) -> Step {
        let since = pinged.max(self.heard);
        let pong = within(self.round_trip, PONG_ROUND_TRIPS, LEAST_PONG, MOST_PONG);
        if now >= since + SILENT_AFTER {
            self.health = Health::Silent;
            return Step::Close;
        }
        if now >= since + pong {
            self.health = Health::Suspect;
            return Step::Wait(since + SILENT_AFTER);
        }
        Step::Wait(since + pong)
    }
}

fn within(round_trip: Span, times: u64, least: Span, most: Span) -> Span {
    Span(round_trip.0.saturating_mul(times)).clamp(least, most)
}
