//! A whole fleet while the store does not answer all of its instances, or some are cut off.
//!
//! The load pattern: hundreds of instances whose updates all become stale at the same moment.
//! Instances that look for fresher updates then make calls to each other and to the store in
//! proportion to the size of the fleet, for as long as the store is away.

use rstest::rstest;

use super::super::Fleet;
use super::super::fleet_model::{
    CALM, Case, Disturbance, FIRST_OF_SECOND, INSTANCES, Model, RETRY_PAUSE, STEP, addr, record,
};
use super::Parent;
use crate::process::cells::MemberState;
use crate::types::{Span, Timestamp};

/// The calls to the store and the changes of parent: fewer than one for every other instance.
const MAX_EVENTS: usize = INSTANCES / 2;

#[rstest]
#[case::calm(Case {
    disturbance: Disturbance::Away, lasts: Span::ZERO, cold: false,
    fresh_within: Span::ZERO,
})]
#[case::the_store_is_away(Case {
    disturbance: Disturbance::Away, lasts: Span::from_secs(7), cold: false,
    fresh_within: Span::from_secs(2),
})]
#[case::the_store_is_away_at_a_cold_start(Case {
    disturbance: Disturbance::Away, lasts: Span::from_secs(7), cold: true,
    fresh_within: Span::from_secs(2),
})]
#[case::the_store_refuses_the_reader(Case {
    disturbance: Disturbance::WithoutReader, lasts: Span::from_secs(9), cold: false,
    fresh_within: Span::from_secs(3),
})]
#[case::the_store_refuses_a_third_of_the_fleet(Case {
    disturbance: Disturbance::WithoutThird, lasts: Span::from_secs(9), cold: false,
    fresh_within: Span::from_secs(4),
})]
#[case::the_store_refuses_the_failure_domain_of_the_reader(Case {
    disturbance: Disturbance::WithoutDomain, lasts: Span::from_secs(9), cold: false,
    fresh_within: Span::from_secs(4),
})]
#[case::the_first_of_a_domain_is_cut_off(Case {
    disturbance: Disturbance::CutOff(FIRST_OF_SECOND), lasts: Span::from_secs(9), cold: false,
    fresh_within: Span::from_secs(3),
})]
#[case::the_reader_is_cut_off(Case {
    disturbance: Disturbance::CutOff(0), lasts: Span::from_secs(9), cold: false,
    fresh_within: Span::from_secs(3),
})]
#[case::all_others_are_silent(Case {
    disturbance: Disturbance::Alone(INSTANCES - 1), lasts: Span::from_secs(9), cold: false,
    fresh_within: Span::from_secs(3),
})]
fn a_fleet_keeps_its_shape_while_the_store_does_not_answer(#[case] case: Case) {
    let mut model = Model::new(case);
    let wait_from = match case.disturbance {
        Disturbance::Away => model.end(),
        _ => model.begin(),
    };
    model.run_until(wait_from + case.fresh_within);
    assert_eq!(model.stale(), 0, "instances with stale updates");
    while model.now < model.end() + Span::from_secs(3) {
        model.run_until(model.now + STEP);
        assert_eq!(
            model.stale(),
            0,
            "instances with stale updates at {}",
            model.now.since(model.begin())
        );
    }
    let (calls, switches) = (model.calls, model.switches);
    println!("{calls} calls to the store, {switches} changes of parent");
    assert!(calls < MAX_EVENTS, "{calls} calls to the store");
    assert!(switches < MAX_EVENTS, "{switches} changes of parent");
}

struct JoinCase {
    at: usize,
    state: MemberState,
    store_confirmed: bool,
    reads_store: bool,
}

/// The load pattern: a whole fleet starts at once and shares the links of a few instances.
#[rstest]
#[case::callers_wait_for_it(JoinCase {
    at: 1, state: MemberState::Joining, store_confirmed: true, reads_store: true,
})]
#[case::callers_are_sent_to_others(JoinCase {
    at: 20, state: MemberState::Joining, store_confirmed: true, reads_store: false,
})]
#[case::the_store_may_be_away(JoinCase {
    at: 1, state: MemberState::Joining, store_confirmed: false, reads_store: false,
})]
#[case::it_has_all_objects(JoinCase {
    at: 1, state: MemberState::Live, store_confirmed: true, reads_store: false,
})]
fn instances_that_callers_wait_for_join_by_the_store(#[case] case: JoinCase) {
    let now = Timestamp(0);
    let mut fleet = Fleet::new(now, record(case.at, case.state));
    for at in (0..INSTANCES).filter(|at| *at != case.at) {
        fleet.apply_record(now, record(at, MemberState::Joining));
    }
    let mut reader = record(0, MemberState::Live);
    reader.seq = 2;
    fleet.apply_record(now, reader);
    if case.store_confirmed {
        fleet.on_store_confirmed(now);
    }
    assert_eq!(fleet.reads_store(now), case.reads_store);
}

struct StaleJoinCase {
    age: Span,
    store_fails: bool,
    serves: bool,
    reads_store: bool,
}

/// Guards against an instance that starts, learns of a state long past from an instance that is cut
/// off, and uses replicas that have left since.
#[rstest]
#[case::fresh(StaleJoinCase { age: Span::from_secs(1), store_fails: false, serves: true, reads_store: false })]
#[case::stale(StaleJoinCase { age: Span::from_secs(2), store_fails: false, serves: false, reads_store: true })]
#[case::nothing_newer_can_be_had(StaleJoinCase { age: Span::from_secs(2), store_fails: true, serves: true, reads_store: false })]
fn an_instance_joins_with_stale_objects_only_if_the_store_fails(#[case] case: StaleJoinCase) {
    let now = Timestamp(0) + CALM;
    let mut fleet = Fleet::new(now, record(20, MemberState::Joining));
    fleet.apply_record(now, record(0, MemberState::Live));
    if case.store_fails {
        fleet.on_store_failure(now, RETRY_PAUSE);
    }
    assert_eq!(fleet.may_serve_with(now, case.age), case.serves);
    assert_eq!(fleet.reads_store(now), case.reads_store);
}

struct StateCase {
    mine: MemberState,
    others: MemberState,
    live: Option<usize>,
    wanted: usize,
}

/// Guards against a fleet in which each instance reads the store for itself, since it takes all
/// others for instances that join.
#[rstest]
#[case::all_live(StateCase { mine: MemberState::Live, others: MemberState::Live, live: None, wanted: 0 })]
#[case::others_were_joining(StateCase { mine: MemberState::Live, others: MemberState::Joining, live: None, wanted: 0 })]
#[case::joins_by_a_live_one(StateCase { mine: MemberState::Joining, others: MemberState::Joining, live: Some(2), wanted: 2 })]
#[case::all_join(StateCase { mine: MemberState::Joining, others: MemberState::Joining, live: None, wanted: 0 })]
fn a_joining_instance_follows_a_live_one(#[case] case: StateCase) {
    let now = Timestamp(0);
    let mut fleet = Fleet::new(now, record(5, case.mine));
    for at in 0..5 {
        let is_live = case.live == Some(at);
        let state = if is_live {
            MemberState::Live
        } else {
            case.others
        };
        fleet.apply_record(now, record(at, state));
    }
    assert_eq!(fleet.parent(now), Parent::Instance(addr(case.wanted)));
}
