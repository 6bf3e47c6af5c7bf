//! Which instance reads the store and which instance follows which, under faults of
//! instances and of the store.

use std::net::SocketAddr;

use rstest::rstest;

use super::delegate::UpdateRole;
use super::{Fleet, Freshness, InstanceRecord, Parent};
use crate::process::cells::{Member, MemberState};
use crate::types::{Incarnation, Position, Span, Timestamp};

pub(super) const NOW: Timestamp = Timestamp(1_000_000);

pub(super) fn addr(at: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, at], 1))
}

pub(super) fn record(at: u8, domain: &str) -> InstanceRecord {
    InstanceRecord {
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

/// Two failure domains: instances 1, 2 and 3 in one, 4 and 5 in the other.
fn domain(at: u8) -> &'static str {
    if at <= 3 { "suva-a" } else { "lautoka-a" }
}

pub(super) fn fleet(me: u8) -> Fleet {
    let mut fleet = Fleet::new(NOW, record(me, domain(me)));
    for at in 1..=5 {
        fleet.apply_record(NOW, record(at, domain(at)));
    }
    fleet
}

enum Fault {
    Unresponsive(u8),
    StaleUpdates(u8),
    EarlierEra(u8),
    StoreFails,
    StoreAnswers,
    Delegated,
    TimePasses,
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
#[case::the_reader_is_frozen(Case { me: 2, faults: &[Fault::Unresponsive(1)], wanted: None })]
#[case::a_parent_with_stale_updates_is_left(Case { me: 2, faults: &[Fault::StaleUpdates(1)], wanted: None })]
#[case::the_store_is_away_for_all(Case {
    me: 5, faults: &[Fault::StaleUpdates(4), Fault::StaleUpdates(1), Fault::StaleUpdates(2)], wanted: Some(4),
})]
#[case::all_others_know_an_earlier_era_only(Case {
    me: 5,
    faults: &[Fault::EarlierEra(4), Fault::EarlierEra(1), Fault::EarlierEra(2), Fault::EarlierEra(3)],
    wanted: None,
})]
#[case::the_next_one_is_followed(Case { me: 3, faults: &[Fault::Unresponsive(1)], wanted: Some(2) })]
#[case::the_store_fails_for_the_reader(Case { me: 1, faults: &[Fault::StoreFails], wanted: Some(4) })]
#[case::the_store_answers_again(Case { me: 1, faults: &[Fault::StoreFails, Fault::StoreAnswers], wanted: None })]
#[case::asked_to_read_in_place_of_the_reader(Case { me: 3, faults: &[Fault::Delegated], wanted: None })]
#[case::the_store_fails_for_a_delegate_too(Case { me: 3, faults: &[Fault::Delegated, Fault::StoreFails], wanted: Some(1) })]
#[case::the_reader_no_longer_asks(Case { me: 3, faults: &[Fault::Delegated, Fault::TimePasses], wanted: Some(1) })]
#[case::a_cut_off_instance_reads_itself(Case {
    me: 5, faults: &[Fault::Unresponsive(1), Fault::Unresponsive(2), Fault::Unresponsive(3), Fault::Unresponsive(4)], wanted: None,
})]
#[case::cut_off_from_all(Case {
    me: 5,
    faults: &[Fault::Unresponsive(1), Fault::Unresponsive(2), Fault::Unresponsive(3), Fault::Unresponsive(4), Fault::StoreFails],
    wanted: None,
})]
fn parent_under_faults(#[case] case: Case) {
    let mut fleet = fleet(case.me);
    let mut now = NOW;
    for fault in case.faults {
        match fault {
            Fault::Unresponsive(at) => fleet.mark_unresponsive(now, addr(*at)),
            Fault::StaleUpdates(at) => drop(fleet.judge(now, addr(*at), Freshness::Stale)),
            Fault::EarlierEra(at) => drop(fleet.judge(now, addr(*at), Freshness::EarlierEra)),
            Fault::StoreFails => fleet.on_store_failure(now, Span::from_secs(1)),
            Fault::StoreAnswers => fleet.on_store_success(now),
            Fault::Delegated => fleet.on_followed(now, &"n1".parse().unwrap(), UpdateRole::Reader),
            Fault::TimePasses => now = now + Span::from_secs(2),
        }
    }
    let wanted = case
        .wanted
        .map_or(Parent::Store, |at| Parent::Instance(addr(at)));
    assert_eq!(fleet.parent(now), wanted);
}

fn states(fleet: &Fleet) -> Vec<(String, MemberState)> {
    let (all, _) = fleet.since(Position(0));
    let state = |record: InstanceRecord| (record.member.name.to_string(), record.member.state);
    let mut states: Vec<_> = all.into_iter().map(state).collect();
    states.sort_unstable_by(|one, two| one.0.cmp(&two.0));
    states
}

#[test]
fn a_follower_that_falls_silent_is_gone() {
    let mut fleet = fleet(1);
    fleet.on_follower(NOW, record(2, "suva-a"));
    fleet.apply_timeouts(NOW + Span::from_secs(2));
    assert_eq!(states(&fleet)[1].1, MemberState::Gone);
    assert_eq!(fleet.present().count(), 4);
}

struct ContactCase {
    unresponsive: bool,
    wanted: Option<u8>,
}

/// While the store is unreachable, the updates of every instance are stale and all
/// instances send requests to each other. A request must not make a stale instance a parent
/// again.
#[rstest]
#[case::unresponsive_instance_is_back(ContactCase { unresponsive: true, wanted: Some(1) })]
#[case::stale_instance_stays_avoided(ContactCase { unresponsive: false, wanted: None })]
fn a_request_ends_the_avoidance_of_an_unresponsive_instance_only(#[case] case: ContactCase) {
    let mut fleet = fleet(2);
    if case.unresponsive {
        fleet.mark_unresponsive(NOW, addr(1));
    } else {
        fleet.judge(NOW, addr(1), Freshness::Stale);
    }
    let mut back = record(1, "suva-a");
    back.seq = 5;
    fleet.on_follower(NOW, back);
    let wanted = case
        .wanted
        .map_or(Parent::Store, |at| Parent::Instance(addr(at)));
    assert_eq!(fleet.parent(NOW), wanted);
}

/// At the start of a fleet each instance probes its seeds once. A seed must not count the
/// prober as gone when it then follows another instance.
#[test]
fn an_instance_that_probed_once_is_not_gone() {
    let mut fleet = fleet(1);
    fleet.on_contact(NOW, record(2, "suva-a"));
    fleet.apply_timeouts(NOW + Span::from_secs(2));
    assert_eq!(states(&fleet)[1].1, MemberState::Live);
}

#[derive(Clone, Copy)]
struct ProbeCase {
    gone: &'static [u8],
    seeds: &'static [u8],
    after: Span,
    wanted: &'static [u8],
}

/// After a network partition each half counts the other as gone; without probes they would
/// never find each other again.
#[rstest]
#[case::all_there(ProbeCase { gone: &[], seeds: &[1, 4], after: Span::ZERO, wanted: &[] })]
#[case::a_half_is_lost(ProbeCase { gone: &[4, 5], seeds: &[1], after: Span::ZERO, wanted: &[4, 5] })]
#[case::an_unknown_seed(ProbeCase { gone: &[], seeds: &[9], after: Span::ZERO, wanted: &[9] })]
#[case::not_itself(ProbeCase { gone: &[], seeds: &[2], after: Span::ZERO, wanted: &[] })]
#[case::seeds_are_probed_without_limit(ProbeCase { gone: &[4, 5], seeds: &[4], after: Span::from_secs(70), wanted: &[4] })]
fn lost_instances_and_seeds_are_probed(#[case] case: ProbeCase) {
    let mut fleet = fleet(2);
    for at in case.gone {
        let mut gone = record(*at, domain(*at));
        gone.member.state = MemberState::Gone;
        fleet.apply_record(NOW, gone);
    }
    let seeds: Vec<SocketAddr> = case.seeds.iter().map(|at| addr(*at)).collect();
    let targets = fleet.probe_targets(NOW + case.after, &seeds);
    let wanted: Vec<SocketAddr> = case.wanted.iter().map(|at| addr(*at)).collect();
    assert_eq!(targets, wanted);
}

#[test]
fn a_follower_that_went_to_another_is_not_gone() {
    let mut fleet = fleet(1);
    fleet.on_follower(NOW, record(2, "suva-a"));
    // The new parent passes on the record that the follower sent it.
    let mut moved = record(2, "suva-a");
    moved.seq = 2;
    fleet.apply_record(NOW + Span::from_millis(100), moved);
    fleet.apply_timeouts(NOW + Span::from_secs(2));
    assert_eq!(states(&fleet)[1].1, MemberState::Live);
}

struct WrongRecord {
    incarnation: u64,
    seq: u64,
    state: MemberState,
}

#[rstest]
#[case::gone_after_a_freeze(WrongRecord { incarnation: 5, seq: 1, state: MemberState::Gone })]
#[case::started_after_the_clock_went_back(WrongRecord { incarnation: 9, seq: 7, state: MemberState::Live })]
fn an_instance_refutes_a_wrong_record_of_itself(#[case] wrong: WrongRecord) {
    let mut fleet = fleet(1);
    let mut claimed = record(1, "suva-a");
    claimed.member.incarnation = Incarnation(wrong.incarnation);
    claimed.seq = wrong.seq;
    claimed.member.state = wrong.state;
    let mut other = self::fleet(2);
    other.apply_record(NOW, claimed.clone());
    fleet.apply_record(NOW, claimed);
    other.apply_record(NOW, fleet.me().clone());
    assert_eq!(states(&other)[0].1, MemberState::Live);
}

#[test]
fn an_instance_whose_record_is_not_renewed_is_gone() {
    let mut fleet = fleet(1);
    fleet.apply_timeouts(NOW + Span::from_secs(30));
    assert_eq!(fleet.present().count(), 1);
}
