//! Tests with a simulated clock: silent connections are detected within a time limit, and
//! connection attempts back off.

use rstest::rstest;

use super::backoff::{Backoff, ConnectionOutcome};
use super::heartbeat::{Health, Heartbeat, Step};
use crate::types::{Ratio, Span, Timestamp};

/// The limits stated in `docs/DESIGN.md`, "Silent connections".
const DETECTION_LIMIT: Span = Span::from_secs(1);
const SUSPICION_LIMIT: Span = Span::from_millis(450);

struct Case {
    round_trip: Span,
    /// How long the other end answers pings.
    answers_for: Span,
    goes_silent: bool,
}

/// Drives a heartbeat for ten seconds from the moment the first leg waits. Returns when the
/// connection became suspect, when it was closed, and the number of pings.
fn drive(case: &Case) -> (Option<Timestamp>, Option<Timestamp>, u32) {
    let mut heartbeat = Heartbeat::new(Timestamp(0), case.round_trip);
    let answers_until = Timestamp(0) + case.answers_for;
    let mut now = Timestamp(0);
    let mut suspect_at = None;
    let mut pings = 0;
    heartbeat.start_waiting(now);
    while now < Timestamp(0) + Span::from_secs(10) {
        let step = heartbeat.step(now);
        if heartbeat.health() == Health::Suspect {
            suspect_at.get_or_insert(now);
        }
        match step {
            Step::Ping => {
                pings += 1;
                heartbeat.record_ping(now);
                if now < answers_until {
                    now = now + case.round_trip;
                    heartbeat.record_pong(now);
                }
            }
            Step::Wait(at) | Step::Idle(at) => now = at,
            Step::Close => return (suspect_at, Some(now), pings),
        }
    }
    (suspect_at, None, pings)
}

#[rstest]
#[case::same_failure_domain(Case {
    round_trip: Span(100),
    answers_for: Span::from_secs(3),
    goes_silent: true,
})]
#[case::other_domain(Case {
    round_trip: Span::from_millis(10),
    answers_for: Span::from_secs(3),
    goes_silent: true,
})]
#[case::other_region(Case {
    round_trip: Span::from_millis(40),
    answers_for: Span::from_secs(3),
    goes_silent: true,
})]
#[case::far_away(Case {
    round_trip: Span::from_millis(400),
    answers_for: Span::ZERO,
    goes_silent: true,
})]
#[case::a_long_leg_on_a_live_connection(Case {
    round_trip: Span::from_millis(40),
    answers_for: Span::from_secs(60),
    goes_silent: false,
})]
fn a_silent_connection_is_detected_in_time(#[case] case: Case) {
    let (suspect_at, closed_at, pings) = drive(&case);
    assert_eq!(closed_at.is_some(), case.goes_silent);
    // At most one ping per `MIN_PING_DELAY` of 25 ms.
    assert!(pings <= 400, "{pings}");
    if let (Some(suspect_at), Some(closed_at)) = (suspect_at, closed_at) {
        let silent_since = Timestamp(0) + case.answers_for;
        assert!(
            suspect_at.since(silent_since) <= SUSPICION_LIMIT,
            "{suspect_at}"
        );
        assert!(
            closed_at.since(silent_since) <= DETECTION_LIMIT,
            "{closed_at}"
        );
    }
}

#[test]
fn a_lost_packet_does_not_make_a_connection_silent() {
    let mut heartbeat = Heartbeat::new(Timestamp(0), Span::from_millis(6));
    heartbeat.start_waiting(Timestamp(0));
    let pinged_at = Timestamp(0) + Span::from_millis(25);
    assert_eq!(heartbeat.step(pinged_at), Step::Ping);
    heartbeat.record_ping(pinged_at);
    let late = pinged_at + Span::from_millis(400);
    assert!(matches!(heartbeat.step(late), Step::Wait(_)));
    assert_eq!(heartbeat.health(), Health::Suspect);
    heartbeat.record_pong(late);
    assert_eq!(heartbeat.health(), Health::Good);
}

#[test]
fn an_idle_connection_is_probed_only_before_use_and_closed_after_the_idle_timeout() {
    let mut heartbeat = Heartbeat::new(Timestamp(0), Span::from_millis(6));
    let close_at = Timestamp(0) + Span::from_secs(60);
    assert_eq!(heartbeat.step(Timestamp(0)), Step::Idle(close_at));
    assert!(!heartbeat.needs_probe(Timestamp(0) + Span::from_millis(1_999)));
    assert!(heartbeat.needs_probe(Timestamp(0) + Span::from_secs(2)));
    assert_eq!(heartbeat.step(close_at), Step::Close);
}

#[test]
fn connect_backoff_doubles_up_to_a_limit_with_jitter() {
    struct Row {
        jitter: Ratio,
        backoffs_ms: [u64; 9],
    }
    let rows = [
        Row {
            jitter: Ratio::ONE,
            backoffs_ms: [10, 20, 40, 80, 160, 320, 640, 1_000, 1_000],
        },
        Row {
            jitter: Ratio::ZERO,
            backoffs_ms: [5, 10, 20, 40, 80, 160, 320, 500, 500],
        },
    ];
    for row in rows {
        let now = Timestamp(0);
        let mut backoff = Backoff::default();
        assert!(backoff.allows(now));
        for backoff_ms in row.backoffs_ms {
            backoff.failed(now, row.jitter);
            let end = now + Span::from_millis(backoff_ms);
            assert!(backoff.allows(end));
            assert!(!backoff.allows(end - Span(1)));
        }
        backoff.ended(now, ConnectionOutcome::NoReply, row.jitter);
        assert!(
            !backoff.allows(now),
            "a connection without a reply counts as a failed attempt"
        );
        backoff.ended(
            now,
            ConnectionOutcome::Replied(Span::from_millis(999)),
            row.jitter,
        );
        assert!(!backoff.allows(now), "too short-lived to reset the backoff");
        backoff.ended(
            now,
            ConnectionOutcome::Replied(Span::from_secs(1)),
            row.jitter,
        );
        assert!(backoff.allows(now));
    }
}
