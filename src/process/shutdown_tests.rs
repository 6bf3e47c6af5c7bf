//! A graceful shutdown goes through its phases in order, whatever requests do.

use rstest::rstest;

use super::shutdown::{AbortedRequests, Shutdown, Step, StopTimes};
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
    Signal,
    Time,
}

use Event::{Begin, End, Signal, Time};

struct Case {
    events: &'static [(u64, Event)],
    steps: &'static [(u64, Step)],
}

#[rstest]
#[case::nothing_before_a_signal(Case { events: &[(0, Begin), (100, Time)], steps: &[] })]
#[case::idle(Case {
    events: &[(0, Signal), (14, Time), (15, Time), (15, Time), (16, Time), (17, Time)],
    steps: &[(0, Step::Leave), (15, Step::StopAccepting), (16, Step::HandOver(AbortedRequests(0)))],
})]
#[case::a_request_that_began_while_leaving_is_finished(Case {
    events: &[(0, Signal), (14, Begin), (15, Time), (18, Time), (19, End), (19, Time)],
    steps: &[(0, Step::Leave), (15, Step::StopAccepting), (19, Step::HandOver(AbortedRequests(0)))],
})]
#[case::a_request_that_does_not_end_is_aborted_at_the_deadline(Case {
    events: &[(0, Begin), (0, Signal), (15, Time), (24, Time), (25, Time)],
    steps: &[(0, Step::Leave), (15, Step::StopAccepting), (25, Step::HandOver(AbortedRequests(1)))],
})]
#[case::a_second_signal_reports_the_aborted_requests(Case {
    events: &[(0, Begin), (0, Begin), (0, Signal), (1, End), (2, Signal), (30, Time)],
    steps: &[(0, Step::Leave), (2, Step::Abandon(AbortedRequests(1)))],
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
            Signal => Some(shutdown.on_signal(now)),
            Time => shutdown.on_tick(now),
        };
        steps.extend(step.map(|step| (*secs, step)));
    }
    assert_eq!(steps, case.steps);
}
