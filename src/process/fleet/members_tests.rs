//! Who reads the store and who follows whom, under the faults that a fleet sees.

use std::net::SocketAddr;

use rstest::rstest;

use super::{Fleet, Parent, Presence};
use crate::process::cells::{Member, MemberState};
use crate::types::{Incarnation, Position, Span, Timestamp};

const NOW: Timestamp = Timestamp(1_000_000);

fn addr(at: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, at], 1))
}

fn presence(at: u8, domain: &str) -> Presence {
    Presence {
        member: Member {
            name: format!("n{at}").parse().unwrap(),
            incarnation: Incarnation(5),
            addr: addr(at),
            peer_addr: addr(at),
            failure_domain: domain.parse().unwrap(),
            region: "central".parse().unwrap(),
            state: MemberState::Live,
        },
        seq: 1,
        capacity: 250,
    }
}

/// Two domains: 1, 2 and 3 in one, 4 and 5 in the other.
fn domain(at: u8) -> &'static str {
    if at <= 3 { "suva-a" } else { "lautoka-a" }
}

fn fleet(me: u8) -> Fleet {
    let mut fleet = Fleet::new(NOW, presence(me, domain(me)));
    for at in 1..=5 {
        fleet.learn(NOW, presence(at, domain(at)));
    }
    fleet
}

enum Fault {
    Silent(u8),
    OldNews(u8),
    StoreRefuses,
    Heals,
}

struct Case {
    me: u8,
    faults: &'static [Fault],
    wanted: Option<u8>,
}

#[rstest]
#[case::first_of_all_reads_the_store(Case { me: 1, faults: &[], wanted: None })]
#[case::others_follow_the_first_of_their_domain(Case { me: 3, faults: &[], wanted: Some(1) })]
#[case::first_of_a_domain_follows_the_first(Case { me: 4, faults: &[], wanted: Some(1) })]
#[case::second_of_a_domain(Case { me: 5, faults: &[], wanted: Some(4) })]
#[case::the_reader_is_frozen(Case { me: 2, faults: &[Fault::Silent(1)], wanted: None })]
#[case::the_reader_is_cut_from_the_store(Case { me: 2, faults: &[Fault::OldNews(1)], wanted: None })]
#[case::the_next_one_is_followed(Case { me: 3, faults: &[Fault::Silent(1)], wanted: Some(2) })]
#[case::the_store_turns_the_reader_away(Case { me: 1, faults: &[Fault::StoreRefuses], wanted: Some(2) })]
#[case::the_reader_returns(Case { me: 1, faults: &[Fault::StoreRefuses, Fault::Heals], wanted: None })]
#[case::a_cut_off_instance_reads_itself(Case {
    me: 5, faults: &[Fault::Silent(1), Fault::Silent(2), Fault::Silent(3), Fault::Silent(4)], wanted: None,
})]
#[case::cut_off_from_all(Case {
    me: 5,
    faults: &[Fault::Silent(1), Fault::Silent(2), Fault::Silent(3), Fault::Silent(4), Fault::StoreRefuses],
    wanted: None,
})]
fn whom_to_follow(#[case] case: Case) {
    let mut fleet = fleet(case.me);
    let mut now = NOW;
    for fault in case.faults {
        match fault {
            Fault::Silent(at) => fleet.lose(now, addr(*at)),
            Fault::OldNews(at) => fleet.shun(now, addr(*at)),
            Fault::StoreRefuses => fleet.shun_store(now),
            Fault::Heals => now = now + Span::from_secs(4),
        }
    }
    let wanted = case
        .wanted
        .map_or(Parent::Store, |at| Parent::Instance(addr(at)));
    assert_eq!(fleet.parent(now), wanted);
}

fn states(fleet: &Fleet) -> Vec<(String, MemberState)> {
    let (all, _) = fleet.since(Position(0));
    let state = |presence: Presence| (presence.member.name.to_string(), presence.member.state);
    let mut states: Vec<_> = all.into_iter().map(state).collect();
    states.sort_unstable_by(|one, two| one.0.cmp(&two.0));
    states
}

#[test]
fn a_follower_that_falls_silent_is_gone() {
    let mut fleet = fleet(1);
    fleet.hear(NOW, presence(2, "suva-a"));
    fleet.pass(NOW + Span::from_secs(2));
    assert_eq!(states(&fleet)[1].1, MemberState::Gone);
    assert_eq!(fleet.present().count(), 4);
}

struct Spoke {
    silent: bool,
    wanted: Option<u8>,
}

/// While the store is away everybody's news are old, and everybody asks everybody.
#[rstest]
#[case::silent_one_is_back(Spoke { silent: true, wanted: Some(1) })]
#[case::old_news_stay_old(Spoke { silent: false, wanted: None })]
fn one_that_asks_is_followed_again(#[case] case: Spoke) {
    let mut fleet = fleet(2);
    if case.silent {
        fleet.lose(NOW, addr(1));
    } else {
        fleet.shun(NOW, addr(1));
    }
    let mut back = presence(1, "suva-a");
    back.seq = 5;
    fleet.hear(NOW, back);
    let wanted = case
        .wanted
        .map_or(Parent::Store, |at| Parent::Instance(addr(at)));
    assert_eq!(fleet.parent(NOW), wanted);
}

/// A starting fleet asks its seeds once each; a seed must not take the asker for lost when
/// it follows somebody else.
#[test]
fn one_that_asked_once_is_not_gone() {
    let mut fleet = fleet(1);
    fleet.meet(NOW, presence(2, "suva-a"));
    fleet.pass(NOW + Span::from_secs(2));
    assert_eq!(states(&fleet)[1].1, MemberState::Live);
}

#[derive(Clone, Copy)]
struct Look {
    gone: &'static [u8],
    seeds: &'static [u8],
    after: Span,
    wanted: &'static [u8],
}

/// Two halves of a fleet take each other for gone and would never meet again.
#[rstest]
#[case::all_there(Look { gone: &[], seeds: &[1, 4], after: Span::ZERO, wanted: &[] })]
#[case::a_half_is_lost(Look { gone: &[4, 5], seeds: &[1], after: Span::ZERO, wanted: &[4, 5] })]
#[case::an_unknown_seed(Look { gone: &[], seeds: &[9], after: Span::ZERO, wanted: &[9] })]
#[case::not_itself(Look { gone: &[], seeds: &[2], after: Span::ZERO, wanted: &[] })]
#[case::a_seed_is_looked_for_always(Look { gone: &[4, 5], seeds: &[4], after: Span::from_secs(70), wanted: &[4] })]
fn whom_to_look_for(#[case] look: Look) {
    let mut fleet = fleet(2);
    for at in look.gone {
        let mut gone = presence(*at, domain(*at));
        gone.member.state = MemberState::Gone;
        fleet.learn(NOW, gone);
    }
    let seeds: Vec<SocketAddr> = look.seeds.iter().map(|at| addr(*at)).collect();
    let lost = fleet.lost(NOW + look.after, &seeds);
    let wanted: Vec<SocketAddr> = look.wanted.iter().map(|at| addr(*at)).collect();
    assert_eq!(lost, wanted);
}

#[test]
fn a_follower_that_went_to_another_is_not_gone() {
    let mut fleet = fleet(1);
    fleet.hear(NOW, presence(2, "suva-a"));
    // Its new parent tells what it said there.
    let mut moved = presence(2, "suva-a");
    moved.seq = 2;
    fleet.learn(NOW + Span::from_millis(100), moved);
    fleet.pass(NOW + Span::from_secs(2));
    assert_eq!(states(&fleet)[1].1, MemberState::Live);
}

struct Rumour {
    incarnation: u64,
    seq: u64,
    state: MemberState,
}

#[rstest]
#[case::gone_after_a_freeze(Rumour { incarnation: 5, seq: 1, state: MemberState::Gone })]
#[case::started_after_the_clock_went_back(Rumour { incarnation: 9, seq: 7, state: MemberState::Live })]
fn an_instance_contradicts_what_is_said_of_it(#[case] rumour: Rumour) {
    let mut fleet = fleet(1);
    let mut said = presence(1, "suva-a");
    said.member.incarnation = Incarnation(rumour.incarnation);
    said.seq = rumour.seq;
    said.member.state = rumour.state;
    let mut other = self::fleet(2);
    other.learn(NOW, said.clone());
    fleet.learn(NOW, said);
    other.learn(NOW, fleet.me().clone());
    assert_eq!(states(&other)[0].1, MemberState::Live);
}

#[test]
fn one_that_is_not_heard_of_for_long_is_forgotten() {
    let mut fleet = fleet(1);
    fleet.pass(NOW + Span::from_secs(30));
    assert_eq!(fleet.present().count(), 1);
}
