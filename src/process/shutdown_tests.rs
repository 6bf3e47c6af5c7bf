//! A graceful shutdown goes through its phases in order, whatever requests do, and no request
//! begins that might be in flight when the process exits.

use rstest::rstest;

use super::shutdown::{AbortedRequests, Shutdown, Step, StopSignal, StopTimes};
use crate::error::{ErrorKind, Ran};
use crate::types::{Span, Timestamp};

const TIMES: StopTimes = StopTimes {
    leave: Span::from_secs(15),
    min_drain: Span::from_secs(1),
    max_drain: Span::from_secs(10),
};

/// An input of the shutdown; the cases state its time in seconds.
#[derive(Clone, Copy, Debug)]
enum Event {
    Begin,
    End,
    Terminate,
    Interrupt,
    Time,
}

use Event::{Begin, End, Interrupt, Terminate, Time};

struct Case {
    events: &'static [(u64, Event)],
    steps: &'static [(u64, Step)],
}

#[rstest]
#[case::nothing_before_a_signal(Case { events: &[(0, Begin), (100, Time)], steps: &[] })]
#[case::idle(Case {
    events: &[(0, Terminate), (14, Time), (15, Time), (15, Time), (16, Time), (17, Time)],
    steps: &[(0, Step::Leave), (15, Step::StopAccepting), (16, Step::HandOver(AbortedRequests(0)))],
})]
#[case::a_request_that_began_while_leaving_is_finished(Case {
    events: &[(0, Terminate), (14, Begin), (15, Time), (18, Time), (19, End), (19, Time)],
    steps: &[(0, Step::Leave), (15, Step::StopAccepting), (19, Step::HandOver(AbortedRequests(0)))],
})]
#[case::requests_are_told_to_end_once_before_the_deadline(Case {
    events: &[(0, Begin), (0, Begin), (0, Terminate), (15, Time), (24, Time), (25, Time)],
    steps: &[(0, Step::Leave), (15, Step::StopAccepting), (25, Step::HandOver(AbortedRequests(2)))],
})]
#[case::a_second_interrupt_reports_the_aborted_requests(Case {
    events: &[(0, Begin), (0, Begin), (0, Interrupt), (1, End), (2, Interrupt), (30, Time)],
    steps: &[(0, Step::Leave), (2, Step::Abandon(AbortedRequests(1)))],
})]
#[case::repeated_terminations_change_nothing(Case {
    events: &[(0, Begin), (0, Terminate), (1, Terminate), (15, Time), (16, Terminate), (17, End), (17, Time)],
    steps: &[(0, Step::Leave), (15, Step::StopAccepting), (17, Step::HandOver(AbortedRequests(0)))],
})]
#[case::a_first_interrupt_does_not_hurry_a_termination(Case {
    events: &[(0, Begin), (0, Terminate), (1, Interrupt), (2, Terminate), (3, Interrupt)],
    steps: &[(0, Step::Leave), (3, Step::Abandon(AbortedRequests(1)))],
})]
fn shutdown_steps_are_taken_in_order(#[case] case: Case) {
    let mut shutdown = Shutdown::new(TIMES);
    let mut steps = Vec::new();
    for (secs, event) in case.events {
        let now = Timestamp(0) + Span::from_secs(*secs);
        let step = match event {
            Begin => {
                shutdown.begin_request();
                None
            }
            End => {
                shutdown.end_request();
                None
            }
            Terminate => shutdown.on_signal(now, StopSignal::Terminate),
            Interrupt => shutdown.on_signal(now, StopSignal::Interrupt),
            Time => shutdown.on_tick(now),
        };
        steps.extend(step.map(|step| (*secs, step)));
    }
    assert_eq!(steps, case.steps);
}

/// Requests that are still in flight shortly before the process exits are answered, not cut.
#[test]
fn requests_in_flight_are_told_to_end_once() {
    let mut shutdown = Shutdown::new(TIMES);
    shutdown.begin_request();
    shutdown.on_signal(Timestamp(0), StopSignal::Terminate);
    let mut steps = Vec::new();
    for tenth in 0..=250 {
        let now = Timestamp(0) + Span::from_millis(tenth * 100);
        steps.extend(shutdown.on_tick(now).map(|step| (tenth, step)));
    }
    let expected = [
        (150, Step::StopAccepting),
        (248, Step::EndRequests),
        (250, Step::HandOver(AbortedRequests(1))),
    ];
    assert_eq!(steps, expected);
}

struct AdmitCase {
    at: Span,
    needed: Span,
    /// When the request has to end, or nothing if it is refused.
    wanted: Option<Span>,
}

const ENDS_AT: Span = Span::from_millis(24_800);

/// Guards against requests that are accepted late in the grace period and cut at its end.
#[rstest]
#[case::early(AdmitCase { at: Span::from_secs(1), needed: Span::from_secs(3), wanted: Some(ENDS_AT) })]
#[case::as_long_as_the_rest_of_the_grace_period(AdmitCase {
    at: Span::from_millis(23_800), needed: Span::from_secs(1), wanted: Some(ENDS_AT),
})]
#[case::a_little_too_long(AdmitCase { at: Span::from_millis(23_801), needed: Span::from_secs(1), wanted: None })]
#[case::longer_than_the_whole_grace_period(AdmitCase { at: Span::ZERO, needed: Span::from_secs(60), wanted: None })]
#[case::short_while_draining(AdmitCase { at: Span::from_secs(20), needed: Span::from_millis(50), wanted: Some(ENDS_AT) })]
#[case::at_the_end(AdmitCase { at: Span::from_millis(24_900), needed: Span::from_millis(1), wanted: None })]
fn only_requests_that_end_in_time_begin(#[case] case: AdmitCase) {
    let mut shutdown = Shutdown::new(TIMES);
    shutdown.begin_request();
    assert_eq!(shutdown.admit(Timestamp(0), case.needed), Ok(None));
    shutdown.on_signal(Timestamp(0), StopSignal::Terminate);
    let now = Timestamp(0) + case.at;
    shutdown.on_tick(now);
    let admitted = shutdown.admit(now, case.needed);
    let wanted = case.wanted.map(|end| Some(Timestamp(0) + end));
    assert_eq!(admitted.as_ref().ok(), wanted.as_ref());
    if let Err(refusal) = admitted {
        assert_eq!(refusal.kind, ErrorKind::Stopping);
        assert_eq!(refusal.kind.row().ran, Ran::NotRun);
    }
}
