//! Marks of single requests: what makes a suspect, what makes poison, what clears them.

use rstest::rstest;

use super::{MOST_SUSPECTS, REMEMBERED_FOR, SharedMark, Suspects};
use crate::types::{Fingerprint, Span, Timestamp};

const REQUEST: Fingerprint = Fingerprint(7);

fn at(millis: u64) -> Timestamp {
    Timestamp(0) + Span::from_millis(millis)
}

enum Event {
    /// A leg that was sent then is lost now.
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
    asked_at: Timestamp,
    suspect: bool,
    poison: bool,
}

#[rstest]
#[case::nothing(Case { events: &[], asked_at: at(9), suspect: false, poison: false })]
#[case::one_loss(Case {
    events: &[Event::Lost { sent_ms: 1, now_ms: 5 }],
    asked_at: at(9), suspect: true, poison: false,
})]
#[case::many_losses_of_one_fan_out(Case {
    events: &[
        Event::Lost { sent_ms: 1, now_ms: 5 },
        Event::Lost { sent_ms: 1, now_ms: 6 },
        Event::Lost { sent_ms: 2, now_ms: 7 },
    ],
    asked_at: at(9), suspect: true, poison: false,
})]
#[case::lost_again_when_sent_again(Case {
    events: &[
        Event::Lost { sent_ms: 1, now_ms: 5 },
        Event::Lost { sent_ms: 6, now_ms: 8 },
    ],
    asked_at: at(9), suspect: true, poison: true,
})]
#[case::sent_again_at_once(Case {
    events: &[
        Event::Lost { sent_ms: 1, now_ms: 5 },
        Event::Lost { sent_ms: 5, now_ms: 8 },
    ],
    asked_at: at(9), suspect: true, poison: true,
})]
#[case::a_reply_between(Case {
    events: &[
        Event::Lost { sent_ms: 1, now_ms: 5 },
        Event::Replied { now_ms: 6 },
        Event::Lost { sent_ms: 7, now_ms: 8 },
    ],
    asked_at: at(9), suspect: true, poison: false,
})]
#[case::a_reply_clears_poison(Case {
    events: &[
        Event::Lost { sent_ms: 1, now_ms: 5 },
        Event::Lost { sent_ms: 6, now_ms: 8 },
        Event::Replied { now_ms: 9 },
    ],
    asked_at: at(9), suspect: false, poison: false,
})]
#[case::long_ago(Case {
    events: &[
        Event::Lost { sent_ms: 1, now_ms: 5 },
        Event::Lost { sent_ms: 6, now_ms: 8 },
    ],
    asked_at: at(8) + REMEMBERED_FOR, suspect: false, poison: false,
})]
fn a_request_is_judged_by_what_became_of_it(#[case] case: Case) {
    let mut suspects = Suspects::default();
    for event in case.events {
        match *event {
            Event::Lost { sent_ms, now_ms } => {
                suspects.crashed(at(now_ms), REQUEST, at(sent_ms));
            }
            Event::Replied { now_ms } => suspects.replied(at(now_ms), REQUEST),
        }
    }
    let judged = (
        suspects.is_suspect(case.asked_at, REQUEST),
        suspects.is_poison(case.asked_at, REQUEST),
    );
    assert_eq!(judged, (case.suspect, case.poison));
}

fn tell(from: &mut Suspects, to: &mut Suspects, now: Timestamp) {
    let (marked, _) = from.take_news();
    from.adopt(now, &marked);
    to.adopt(now, &marked);
}

#[test]
fn an_incident_elsewhere_counts_once_and_a_second_one_makes_poison() {
    let (mut one, mut two) = (Suspects::default(), Suspects::default());
    one.crashed(at(5), REQUEST, at(1));
    tell(&mut one, &mut two, at(6));
    assert!(two.is_suspect(at(7), REQUEST) && !two.is_poison(at(7), REQUEST));
    two.crashed(at(9), REQUEST, at(8));
    tell(&mut two, &mut one, at(10));
    assert!(one.is_poison(at(11), REQUEST) && two.is_poison(at(11), REQUEST));
}

#[test]
fn one_incident_seen_by_two_instances_is_one() {
    let (mut one, mut two) = (Suspects::default(), Suspects::default());
    one.crashed(at(5), REQUEST, at(1));
    two.crashed(at(5), REQUEST, at(2));
    tell(&mut one, &mut two, at(6));
    tell(&mut two, &mut one, at(7));
    assert!(!one.is_poison(at(8), REQUEST) && !two.is_poison(at(8), REQUEST));
}

#[test]
fn a_reply_clears_the_request_everywhere() {
    let (mut one, mut two) = (Suspects::default(), Suspects::default());
    one.crashed(at(5), REQUEST, at(1));
    tell(&mut one, &mut two, at(6));
    two.replied(at(7), REQUEST);
    let (marked, cleared) = two.take_news();
    assert_eq!((marked, cleared), (vec![], vec![REQUEST]));
    one.adopt(at(8), &[]);
    assert!(!one.is_suspect(at(9), REQUEST));
}

#[test]
fn the_table_is_bounded_and_keeps_the_latest() {
    let mut suspects = Suspects::default();
    for number in 0..3 * MOST_SUSPECTS as u64 {
        suspects.crashed(at(number + 1), Fingerprint(number), at(number));
    }
    assert!(suspects.marks.len() <= MOST_SUSPECTS);
    assert!(suspects.news.len() <= 2 * MOST_SUSPECTS);
    let last = 3 * MOST_SUSPECTS as u64;
    assert!(suspects.is_suspect(at(last), Fingerprint(last - 1)));
    let told: Vec<SharedMark> = suspects.take_news().0;
    assert!(told.len() <= MOST_SUSPECTS);
}
