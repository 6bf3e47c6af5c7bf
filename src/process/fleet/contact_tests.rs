//! What an instance concludes from the answers, and the missing answers, of those that it follows.

use rstest::rstest;

use super::super::members_tests::{NOW, fleet, record};
use super::super::{Freshness, InstanceRecord};
use crate::process::cells::MemberState;
use crate::types::Span;

/// What happens, in milliseconds from the first request.
#[derive(Clone, Copy)]
enum Event {
    /// A request that was sent then gets no answer.
    NoAnswer(u64),
    Answer,
}

struct Case {
    me: u8,
    events: &'static [Event],
    at_ms: u64,
    lost: bool,
}

/// Guards against followers that stay with a parent that is cut off from the rest of the fleet.
#[rstest]
#[case::all_is_well(Case { me: 5, events: &[Event::Answer], at_ms: 9_000, lost: false })]
#[case::one_does_not_answer(Case { me: 5, events: &[Event::NoAnswer(0)], at_ms: 1_700, lost: false })]
#[case::none_answers(Case { me: 5, events: &[Event::NoAnswer(0), Event::NoAnswer(1_000)], at_ms: 1_800, lost: true })]
#[case::the_next_one_answers(Case { me: 5, events: &[Event::NoAnswer(0), Event::Answer], at_ms: 9_000, lost: false })]
#[case::lost_anew(Case { me: 5, events: &[Event::NoAnswer(0), Event::Answer, Event::NoAnswer(5_000)], at_ms: 6_800, lost: true })]
#[case::the_reader(Case { me: 1, events: &[Event::NoAnswer(0), Event::NoAnswer(1_000)], at_ms: 9_000, lost: false })]
fn an_instance_without_answers_has_lost_contact(#[case] case: Case) {
    let mut fleet = fleet(case.me);
    let at = |ms| NOW + Span::from_millis(ms);
    for event in case.events {
        match event {
            Event::NoAnswer(ms) => fleet.on_no_answer(at(*ms), at(*ms)),
            Event::Answer => fleet.on_answer(NOW),
        }
    }
    assert_eq!(fleet.has_lost_contact(at(case.at_ms)), case.lost);
}

struct SenderCase {
    mine: MemberState,
    sender: MemberState,
    age: Option<Span>,
    wanted: Freshness,
}

/// Guards against an instance that starts and waits for the configuration of one that is cut off.
#[rstest]
#[case::confirmed(SenderCase { mine: MemberState::Live, sender: MemberState::Live, age: Some(Span::ZERO), wanted: Freshness::Fresh })]
#[case::lost_contact(SenderCase { mine: MemberState::Live, sender: MemberState::Live, age: None, wanted: Freshness::Disconnected })]
#[case::lost_contact_as_it_stops(SenderCase { mine: MemberState::Live, sender: MemberState::Leaving, age: None, wanted: Freshness::Disconnected })]
#[case::joins_by_one_that_lost_contact(SenderCase { mine: MemberState::Joining, sender: MemberState::Live, age: None, wanted: Freshness::Disconnected })]
#[case::all_join(SenderCase { mine: MemberState::Joining, sender: MemberState::Joining, age: None, wanted: Freshness::Fresh })]
#[case::follows_one_that_joins(SenderCase { mine: MemberState::Live, sender: MemberState::Joining, age: None, wanted: Freshness::Stale })]
fn updates_without_an_age_are_judged_by_their_sender(#[case] case: SenderCase) {
    let mut fleet = fleet(5);
    fleet.set_state(NOW, case.mine);
    let InstanceRecord { mut member, .. } = record(4, "lautoka-a");
    member.state = case.sender;
    assert_eq!(fleet.freshness(&member, case.age, false), case.wanted);
}
