//! A silent connection is found within a stated time, by a clock driven by hand, and
//! the tries to connect are spaced.

use rstest::rstest;

use super::backoff::{Backoff, Life};
use super::heartbeat::{Health, Heartbeat, Step};
use crate::types::{Ratio, Span, Timestamp};

/// `docs/DESIGN.md`, "Silent connections".
const FOUND_WITHIN: Span = Span::from_secs(1);
const NO_NEW_LEG_AFTER: Span = Span::from_millis(450);

struct Case {
    round_trip: Span,
    /// The other end answers probes for so long.
    answers_for: Span,
    silent: bool,
}

/// Drives a heartbeat from its first waiting leg for ten seconds.
fn drive(case: &Case) -> (Option<Timestamp>, Option<Timestamp>, u32) {
    let mut heartbeat = Heartbeat::new(Timestamp(0), case.round_trip);
    let answers_until = Timestamp(0) + case.answers_for;
    let mut now = Timestamp(0);
    let mut suspect = None;
    let mut pings = 0;
    heartbeat.ask(now);
    while now < Timestamp(0) + Span::from_secs(10) {
        let step = heartbeat.step(now);
        if heartbeat.health() == Health::Suspect {
            suspect.get_or_insert(now);
        }
        match step {
            Step::Ping => {
                pings += 1;
                heartbeat.ping(now);
                if now < answers_until {
                    now = now + case.round_trip;
                    heartbeat.pong(now);
                }
            }
            Step::Wait(at) | Step::Idle(at) => now = at,
            Step::Close => return (suspect, Some(now), pings),
        }
    }
    (suspect, None, pings)
}

#[rstest]
#[case::same_failure_domain(Case {
    round_trip: Span(100),
    answers_for: Span::from_secs(3),
    silent: true,
})]
#[case::other_domain(Case {
    round_trip: Span::from_millis(10),
    answers_for: Span::from_secs(3),
    silent: true,
})]
#[case::other_region(Case {
    round_trip: Span::from_millis(40),
    answers_for: Span::from_secs(3),
    silent: true,
})]
#[case::far_away(Case {
    round_trip: Span::from_millis(400),
    answers_for: Span::ZERO,
    silent: true,
})]
#[case::a_long_leg_on_a_live_connection(Case {
    round_trip: Span::from_millis(40),
    answers_for: Span::from_secs(60),
    silent: false,
})]
fn a_silent_connection_is_found_in_time(#[case] case: Case) {
    let (suspect, closed, pings) = drive(&case);
    assert_eq!(closed.is_some(), case.silent);
    // One probe a `LEAST_QUIET` of 25 ms.
    assert!(pings <= 400, "{pings}");
    if let (Some(suspect), Some(closed)) = (suspect, closed) {
        let fell_silent = Timestamp(0) + case.answers_for;
        assert!(suspect.since(fell_silent) <= NO_NEW_LEG_AFTER, "{suspect}");
        assert!(closed.since(fell_silent) <= FOUND_WITHIN, "{closed}");
    }
}

#[test]
fn a_lost_packet_does_not_make_a_connection_silent() {
    let mut heartbeat = Heartbeat::new(Timestamp(0), Span::from_millis(6));
    heartbeat.ask(Timestamp(0));
    let asked = Timestamp(0) + Span::from_millis(25);
    assert_eq!(heartbeat.step(asked), Step::Ping);
    heartbeat.ping(asked);
    let late = asked + Span::from_millis(400);
    assert!(matches!(heartbeat.step(late), Step::Wait(_)));
    assert_eq!(heartbeat.health(), Health::Suspect);
    heartbeat.pong(late);
    assert_eq!(heartbeat.health(), Health::Good);
}

#[test]
fn an_idle_connection_is_not_probed_but_proved_before_use_and_closed_in_the_end() {
    let mut heartbeat = Heartbeat::new(Timestamp(0), Span::from_millis(6));
    let close = Timestamp(0) + Span::from_secs(60);
    assert_eq!(heartbeat.step(Timestamp(0)), Step::Idle(close));
    assert!(!heartbeat.needs_proof(Timestamp(0) + Span::from_millis(1_999)));
    assert!(heartbeat.needs_proof(Timestamp(0) + Span::from_secs(2)));
    assert_eq!(heartbeat.step(close), Step::Close);
}

#[test]
fn tries_to_connect_are_spaced_up_to_a_bound_and_jittered() {
    struct Row {
        jitter: Ratio,
        pauses_ms: [u64; 9],
    }
    let rows = [
        Row {
            jitter: Ratio::ONE,
            pauses_ms: [10, 20, 40, 80, 160, 320, 640, 1_000, 1_000],
        },
        Row {
            jitter: Ratio::ZERO,
            pauses_ms: [5, 10, 20, 40, 80, 160, 320, 500, 500],
        },
    ];
    for row in rows {
        let now = Timestamp(0);
        let mut backoff = Backoff::default();
        assert!(backoff.allows(now));
        for pause in row.pauses_ms {
            backoff.failed(now, row.jitter);
            let end = now + Span::from_millis(pause);
            assert!(backoff.allows(end));
            assert!(!backoff.allows(end - Span(1)));
        }
        backoff.ended(now, Life::Useless, row.jitter);
        assert!(!backoff.allows(now), "it counts as a failed try");
        backoff.ended(now, Life::Useful(Span::from_millis(999)), row.jitter);
        assert!(!backoff.allows(now), "too young to prove anything");
        backoff.ended(now, Life::Useful(Span::from_secs(1)), row.jitter);
        assert!(backoff.allows(now));
    }
}
