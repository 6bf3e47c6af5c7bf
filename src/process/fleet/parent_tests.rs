//! A whole fleet while the store does not answer all of its instances, in a model without network.
//!
//! The load pattern: hundreds of instances whose updates all become stale at the same moment.
//! Instances that look for fresher updates then make calls to each other and to the store in
//! proportion to the size of the fleet, for as long as the store is away.

use std::net::SocketAddr;

use rstest::rstest;

use super::super::delegate::UpdateRole;
use super::super::follow::ANSWER_TIMEOUT;
use super::super::{Fleet, InstanceRecord};
use super::{Freshness, Parent};
use crate::process::cells::{Member, MemberState};
use crate::types::{Incarnation, Span, Timestamp};

const INSTANCES: usize = 180;
const DOMAINS: usize = 6;
/// Callers are sent to these only.
const LARGE_PER_DOMAIN: usize = 3;
const STEP: Span = Span::from_millis(100);
/// The instances and the store are undisturbed until then.
const CALM: Span = Span::from_secs(3);
/// Instances of two failure domains that are cut off.
const FIRST_OF_SECOND: usize = INSTANCES / DOMAINS;
/// How long an answer waits for updates.
const UPDATES_WAIT: Span = Span::from_millis(400);
const WATCH_WAIT: Span = Span::from_secs(1);
const RETRY_PAUSE: Span = Span::from_millis(400);

/// The calls to the store and the changes of parent: fewer than one for every other instance.
const MAX_EVENTS: usize = INSTANCES / 2;
/// An instance may be three steps away from the one that reads the store.
const MAX_AGE: Span = Span(WATCH_WAIT.0 + UPDATES_WAIT.0 * 4);

/// Which instances the store answers while it is disturbed.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    /// None.
    Away,
    /// All but the reader.
    WithoutReader,
    /// Two thirds of them, without the reader.
    WithoutThird,
    /// All but the failure domain of the reader.
    WithoutDomain,
    /// All but this one, which is also cut off from all other failure domains.
    CutOff(usize),
    /// None, but one instance is cut off from all others.
    Alone(usize),
}

impl Disturbance {
    fn reaches(self, at: usize) -> bool {
        match self {
            Self::Away => false,
            Self::WithoutReader => at != 0,
            Self::WithoutThird => !at.is_multiple_of(3),
            Self::WithoutDomain => domain(at) != 0,
            Self::CutOff(cut_off) => at != cut_off,
            Self::Alone(_) => true,
        }
    }

    fn connects(self, one: usize, other: usize) -> bool {
        match self {
            Self::CutOff(at) => (one != at && other != at) || domain(one) == domain(other),
            Self::Alone(at) => one != at && other != at,
            Self::Away | Self::WithoutReader | Self::WithoutThird | Self::WithoutDomain => true,
        }
    }

    /// Whether this instance can have fresh updates.
    fn is_in_touch(self, at: usize) -> bool {
        !matches!(self, Self::CutOff(cut_off) if cut_off == at)
    }
}

#[derive(Clone, Copy, Debug)]
struct Case {
    disturbance: Disturbance,
    lasts: Span,
    /// Whether all instances start at that moment, without a configuration.
    cold: bool,
    /// All instances have fresh updates again this long after the disturbance began, or after it
    /// ended if the store answers nobody.
    fresh_within: Span,
}

struct Modelled {
    fleet: Fleet,
    confirmed_at: Option<Timestamp>,
    via: Vec<usize>,
    parent: Option<Parent>,
    next_request: Timestamp,
    /// When the request that has no answer was sent, and when the instance gives it up.
    unanswered: Option<(SocketAddr, Timestamp, Timestamp)>,
    next_call: Timestamp,
}

struct Model {
    case: Case,
    now: Timestamp,
    instances: Vec<Modelled>,
    calls: usize,
    switches: usize,
}

fn addr(at: usize) -> SocketAddr {
    SocketAddr::from((
        [
            10,
            0,
            u8::try_from(at / 250).unwrap(),
            u8::try_from(at % 250).unwrap(),
        ],
        1,
    ))
}

fn domain(at: usize) -> usize {
    at / (INSTANCES / DOMAINS)
}

fn record(at: usize, state: MemberState) -> InstanceRecord {
    let domain = domain(at);
    InstanceRecord {
        member: Member {
            name: format!("front-{domain}-{at}").parse().unwrap(),
            incarnation: Incarnation(5),
            addr: addr(at),
            peer_addr: addr(at),
            failure_domain: format!("domain-{domain}").parse().unwrap(),
            region: "central".parse().unwrap(),
            state,
        },
        seq: 1,
        capacity: if at % (INSTANCES / DOMAINS) < LARGE_PER_DOMAIN {
            500
        } else {
            120
        },
    }
}

impl Model {
    fn new(case: Case) -> Self {
        let (state, confirmed_at) = if case.cold {
            (MemberState::Joining, None)
        } else {
            (MemberState::Live, Some(Timestamp(0)))
        };
        let instance = |me: usize| {
            let mut fleet = Fleet::new(Timestamp(0), record(me, state));
            for at in 0..INSTANCES {
                fleet.apply_record(Timestamp(0), record(at, state));
            }
            Modelled {
                fleet,
                confirmed_at,
                via: Vec::new(),
                parent: None,
                next_request: Timestamp(0),
                unanswered: None,
                next_call: Timestamp(0),
            }
        };
        Self {
            case,
            now: Timestamp(0),
            instances: (0..INSTANCES).map(instance).collect(),
            calls: 0,
            switches: 0,
        }
    }

    fn begin(&self) -> Timestamp {
        Timestamp(0) + if self.case.cold { Span::ZERO } else { CALM }
    }

    fn end(&self) -> Timestamp {
        self.begin() + self.case.lasts
    }

    fn run_until(&mut self, end: Timestamp) {
        while self.now < end {
            for at in 0..INSTANCES {
                self.step(at);
            }
            self.now = self.now + STEP;
        }
    }

    fn step(&mut self, at: usize) {
        let now = self.now;
        let age = self.age(at);
        let me = &mut self.instances[at];
        me.fleet.check_own_age(now, age);
        if now >= me.next_call && me.fleet.reads_store(now) {
            self.call_store(at);
        }
        let me = &mut self.instances[at];
        if let Some((addr, sent, until)) = me.unanswered {
            if now < until {
                return;
            }
            me.unanswered = None;
            me.fleet.on_no_answer(now, sent);
            if now.since(sent) >= ANSWER_TIMEOUT {
                me.fleet.mark_unresponsive(now, addr);
            }
        }
        let parent = me.fleet.parent(now);
        if me.parent != Some(parent) {
            self.switches += usize::from(me.parent.is_some());
            me.parent = Some(parent);
            me.next_request = now;
        }
        if let Parent::Instance(addr) = parent
            && now >= me.next_request
        {
            me.next_request = now + UPDATES_WAIT;
            self.follow(at, addr);
        }
    }

    fn call_store(&mut self, at: usize) {
        let now = self.now;
        self.calls += 1;
        let is_disturbed = self.is_disturbed();
        let me = &mut self.instances[at];
        if is_disturbed && !self.case.disturbance.reaches(at) {
            me.fleet.on_store_failure(now, RETRY_PAUSE);
            return;
        }
        me.fleet.on_store_success(now);
        me.next_call = now + WATCH_WAIT;
        me.via.clear();
        self.confirm(at, now);
    }

    fn follow(&mut self, at: usize, addr: SocketAddr) {
        let now = self.now;
        let followed = (0..INSTANCES)
            .find(|other| self::addr(*other) == addr)
            .unwrap();
        if self.is_disturbed() && !self.case.disturbance.connects(at, followed) {
            let me = &mut self.instances[at];
            me.unanswered = Some((addr, now, now + me.fleet.answer_timeout(now)));
            return;
        }
        let from = self.instances[at].fleet.me().clone();
        let role = UpdateRole::of(&at, &self.instances[followed].via);
        let other = &mut self.instances[followed];
        let name = &from.member.name;
        other.fleet.on_followed(now, name, role);
        other.fleet.on_follower(now, from);
        let lost_contact = other.fleet.has_lost_contact(now);
        let age = self.age(followed).filter(|_| !lost_contact);
        let mut via = vec![followed];
        via.extend(&self.instances[followed].via);
        let is_loop = via.contains(&at);
        let sender = self.instances[followed].fleet.me().member.clone();
        let me = &mut self.instances[at];
        let freshness = me.fleet.freshness(&sender, age, is_loop);
        if freshness == Freshness::Disconnected {
            me.fleet.on_no_answer(now, now);
        } else {
            me.fleet.on_answer(now);
        }
        me.fleet.judge(now, addr, freshness);
        if is_loop {
            return;
        }
        me.via = via;
        if let Some(age) = age {
            self.confirm(at, now - age);
        }
    }

    fn confirm(&mut self, at: usize, confirmed_at: Timestamp) {
        let me = &mut self.instances[at];
        me.confirmed_at = me.confirmed_at.max(Some(confirmed_at));
        if me.fleet.me().member.state == MemberState::Joining {
            me.fleet.set_state(self.now, MemberState::Live);
            let live = me.fleet.me().clone();
            for other in &mut self.instances {
                other.fleet.apply_record(self.now, live.clone());
            }
        }
    }

    fn age(&self, at: usize) -> Option<Span> {
        let confirmed_at = self.instances[at].confirmed_at?;
        Some(self.now.since(confirmed_at))
    }

    fn is_disturbed(&self) -> bool {
        self.now >= self.begin() && self.now < self.end()
    }

    /// Returns how many instances have updates that are older than in calm times, of those that
    /// could have newer ones.
    fn stale(&self) -> usize {
        let is_stale = |at: &usize| {
            let is_in_touch = self.case.disturbance.is_in_touch(*at);
            is_in_touch && self.age(*at).is_none_or(|age| age > MAX_AGE)
        };
        (0..INSTANCES).filter(is_stale).count()
    }
}

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
