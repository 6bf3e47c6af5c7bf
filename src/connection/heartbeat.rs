//! Detects established connections that have gone silent.
//!
//! A device between the two ends may drop the state of a connection without notifying
//! either. A connection is probed with pings only while legs wait on it and nothing is
//! received; see `docs/DESIGN.md`, "Silent connections".

use crate::types::{Span, Timestamp};

const MIN_PING_DELAY: Span = Span::from_millis(25);
const MAX_PING_DELAY: Span = Span::from_millis(250);
const PING_DELAY_ROUND_TRIPS: u64 = 3;
const MIN_PONG_TIMEOUT: Span = Span::from_millis(30);
const MAX_PONG_TIMEOUT: Span = Span::from_millis(200);
const PONG_TIMEOUT_ROUND_TRIPS: u64 = 4;
/// Longer than TCP takes to retransmit a lost segment, so that packet loss is not mistaken
/// for a silent connection.
const SILENT_AFTER: Span = Span::from_millis(600);
/// An idle connection that received nothing for this long must be probed before use.
const PROBE_AFTER: Span = Span::from_secs(2);
const IDLE_TIMEOUT: Span = Span::from_secs(60);

/// The health of a connection, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Health {
    /// Bytes were received recently, or none are expected.
    Good,
    /// The answer to a ping is overdue. The connection accepts no new legs.
    Suspect,
    /// No answer arrived in time. This is final, and the connection is closed.
    Silent,
}

/// The next action for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Send a ping.
    Ping,
    /// Check again at this time, or earlier if something changes.
    Wait(Timestamp),
    /// No reply is expected. Close the connection at this time unless a leg is sent.
    Idle(Timestamp),
    /// Close the connection, because it is silent or was idle for too long.
    Close,
}

/// The heartbeat state of one connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Heartbeat {
    last_received: Timestamp,
    waiting_since: Option<Timestamp>,
    ping_sent_at: Option<Timestamp>,
    round_trip: Span,
    health: Health,
}

impl Heartbeat {
    /// Creates the state of a connection that was opened at `now` and has not answered a
    /// ping yet.
    pub(super) fn new(now: Timestamp, round_trip: Span) -> Self {
        Self {
            last_received: now,
            waiting_since: None,
            ping_sent_at: None,
            round_trip,
            health: Health::Good,
        }
    }

    pub(super) fn health(&self) -> Health {
        self.health
    }

    /// Whether a ping must be answered before the connection is used for a leg.
    pub(super) fn needs_probe(&self, now: Timestamp) -> bool {
        self.waiting_since.is_none() && now.since(self.last_received) >= PROBE_AFTER
    }

    /// Whether a ping is unanswered.
    pub(super) fn is_probing(&self) -> bool {
        self.ping_sent_at.is_some()
    }

    /// Records that legs wait for replies from now on.
    pub(super) fn start_waiting(&mut self, now: Timestamp) {
        self.waiting_since.get_or_insert(now);
    }

    /// Records that no leg waits for a reply any more.
    pub(super) fn stop_waiting(&mut self) {
        self.waiting_since = None;
    }

    /// Records that bytes were received from the other end.
    pub(super) fn record_received(&mut self, now: Timestamp) {
        self.last_received = self.last_received.max(now);
        if self.health == Health::Suspect {
            self.health = Health::Good;
        }
    }

    /// Records that a ping was sent.
    pub(super) fn record_ping(&mut self, now: Timestamp) {
        self.ping_sent_at = Some(now);
    }

    /// Records that the ping was answered.
    pub(super) fn record_pong(&mut self, now: Timestamp) {
        if let Some(ping_sent_at) = self.ping_sent_at.take() {
            self.round_trip = now.since(ping_sent_at);
        }
        self.record_received(now);
    }

    /// Returns the next action and updates the health.
    pub(super) fn step(&mut self, now: Timestamp) -> Step {
        match (self.ping_sent_at, self.waiting_since) {
            (Some(ping_sent_at), _) => self.check_ping(now, ping_sent_at),
            (None, Some(waiting_since)) => {
                let ping_delay = scale_round_trip(
                    self.round_trip,
                    PING_DELAY_ROUND_TRIPS,
                    MIN_PING_DELAY,
                    MAX_PING_DELAY,
                );
                let ping_at = waiting_since.max(self.last_received) + ping_delay;
                if now >= ping_at {
                    Step::Ping
                } else {
                    Step::Wait(ping_at)
                }
            }
            (None, None) => {
                let close_at = self.last_received + IDLE_TIMEOUT;
                if now >= close_at {
                    Step::Close
                } else {
                    Step::Idle(close_at)
                }
            }
        }
    }

    /// Returns the next action while a ping is unanswered.
    fn check_ping(&mut self, now: Timestamp, ping_sent_at: Timestamp) -> Step {
        let since = ping_sent_at.max(self.last_received);
        let pong_timeout = scale_round_trip(
            self.round_trip,
            PONG_TIMEOUT_ROUND_TRIPS,
            MIN_PONG_TIMEOUT,
            MAX_PONG_TIMEOUT,
        );
        if now >= since + SILENT_AFTER {
            self.health = Health::Silent;
            return Step::Close;
        }
        if now >= since + pong_timeout {
            self.health = Health::Suspect;
            return Step::Wait(since + SILENT_AFTER);
        }
        Step::Wait(since + pong_timeout)
    }
}

fn scale_round_trip(round_trip: Span, factor: u64, min: Span, max: Span) -> Span {
    Span(round_trip.0.saturating_mul(factor)).clamp(min, max)
}
