//! Marks of requests: what makes a request a suspect or poison, and what clears it.

use rstest::rstest;

use super::{INCIDENT_TTL, MAX_SUSPECTS, SharedMark, Suspects};
use crate::types::{Fingerprint, Span, Timestamp};

const REQUEST: Fingerprint = Fingerprint(7);

fn at(millis: u64) -> Timestamp {
    Timestamp(0) + Span::from_millis(millis)
}

enum Event {
    /// A leg that was sent at `sent_ms` is lost at `now_ms`.
    Lost {
        sent_ms: u64,
        now_ms: u64,
    },
    Replied {
        now_ms: u64,
    },
}

struct Case {
    events: &'static [Event],
    checked_at: Timestamp,
    suspect: bool,
    poison: bool,
}

#[rstest]
#[case::nothing(Case { events: &[], checked_at: at(9), suspect: false, poison: false })]
#[case::one_loss(Case {
    events: &[Event::Lost { sent_ms: 1, now_ms: 5 }],
    checked_at: at(9), suspect: true, poison: false,
})]
#[case::many_losses_of_one_fan_out(Case {
    events: &[
        Event::Lost { sent_ms: 1, now_ms: 5 },
        Event::Lost { sent_ms: 1, now_ms: 6 },
        Event::Lost { sent_ms: 2, now_ms: 7 },
    ],
    checked_at: at(9), suspect: true, poison: false,
})]
#[case::lost_again_when_sent_again(Case {
    events: &[
        Event::Lost { sent_ms: 1, now_ms: 5 },
        Event::Lost { sent_ms: 6, now_ms: 8 },
    ],
    checked_at: at(9), suspect: true, poison: true,
})]
#[case::sent_again_at_once(Case {
    events: &[
        Event::Lost { sent_ms: 1, now_ms: 5 },
        Event::Lost { sent_ms: 5, now_ms: 8 },
    ],
    checked_at: at(9), suspect: true, poison: true,
})]
#[case::a_reply_between(Case {
    events: &[
        Event::Lost { sent_ms: 1, now_ms: 5 },
        Event::Replied { now_ms: 6 },
        Event::Lost { sent_ms: 7, now_ms: 8 },
    ],
    checked_at: at(9), suspect: true, poison: false,
})]
#[case::a_reply_clears_poison(Case {
    events: &[
        Event::Lost { sent_ms: 1, now_ms: 5 },
        Event::Lost { sent_ms: 6, now_ms: 8 },
        Event::Replied { now_ms: 9 },
    ],
    checked_at: at(9), suspect: false, poison: false,
})]
#[case::long_ago(Case {
    events: &[
        Event::Lost { sent_ms: 1, now_ms: 5 },
        Event::Lost { sent_ms: 6, now_ms: 8 },
    ],
    checked_at: at(8) + INCIDENT_TTL, suspect: false, poison: false,
})]
fn losses_and_replies_decide_suspect_and_poison(#[case] case: Case) {
    let mut suspects = Suspects::default();
    for event in case.events {
        match *event {
            Event::Lost { sent_ms, now_ms } => {
                suspects.crashed(at(now_ms), REQUEST, at(sent_ms));
            }
            Event::Replied { now_ms } => suspects.replied(at(now_ms), REQUEST),
        }
    }
    let state = (
        suspects.is_suspect(case.checked_at, REQUEST),
        suspects.is_poison(case.checked_at, REQUEST),
    );
    assert_eq!(state, (case.suspect, case.poison));
}

fn share_marks(from: &mut Suspects, to: &mut Suspects, now: Timestamp) {
    let (marked, _) = from.take_unshared();
    from.adopt(now, &marked);
    to.adopt(now, &marked);
}

#[test]
fn an_incident_elsewhere_counts_once_and_a_second_one_makes_poison() {
    let (mut one, mut two) = (Suspects::default(), Suspects::default());
    one.crashed(at(5), REQUEST, at(1));
    share_marks(&mut one, &mut two, at(6));
    assert!(two.is_suspect(at(7), REQUEST) && !two.is_poison(at(7), REQUEST));
    two.crashed(at(9), REQUEST, at(8));
    share_marks(&mut two, &mut one, at(10));
    assert!(one.is_poison(at(11), REQUEST) && two.is_poison(at(11), REQUEST));
}

#[test]
fn one_incident_seen_by_two_instances_is_one() {
    let (mut one, mut two) = (Suspects::default(), Suspects::default());
    one.crashed(at(5), REQUEST, at(1));
    two.crashed(at(5), REQUEST, at(2));
    share_marks(&mut one, &mut two, at(6));
    share_marks(&mut two, &mut one, at(7));
    assert!(!one.is_poison(at(8), REQUEST) && !two.is_poison(at(8), REQUEST));
}

#[test]
fn a_reply_clears_the_request_everywhere() {
    let (mut one, mut two) = (Suspects::default(), Suspects::default());
    one.crashed(at(5), REQUEST, at(1));
    share_marks(&mut one, &mut two, at(6));
    two.replied(at(7), REQUEST);
    let (marked, cleared) = two.take_unshared();
    assert_eq!((marked, cleared), (vec![], vec![REQUEST]));
    one.adopt(at(8), &[]);
    assert!(!one.is_suspect(at(9), REQUEST));
}

#[test]
fn the_table_is_bounded_and_keeps_the_latest() {
    let mut suspects = Suspects::default();
    for number in 0..3 * MAX_SUSPECTS as u64 {
        suspects.crashed(at(number + 1), Fingerprint(number), at(number));
    }
    assert!(suspects.marks.len() <= MAX_SUSPECTS);
    assert!(suspects.unshared.len() <= 2 * MAX_SUSPECTS);
    let last = 3 * MAX_SUSPECTS as u64;
    assert!(suspects.is_suspect(at(last), Fingerprint(last - 1)));
    let marks: Vec<SharedMark> = suspects.take_unshared().0;
    assert!(marks.len() <= MAX_SUSPECTS);
}
