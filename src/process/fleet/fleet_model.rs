//! A model of a whole fleet, without network, in which the store does not answer all instances, or
//! instances are cut off from each other.

use std::net::SocketAddr;

use super::delegate::UpdateRole;
use super::follow::ANSWER_TIMEOUT;
use super::{Fleet, Freshness, InstanceRecord, Parent};
use crate::process::cells::{Member, MemberState};
use crate::types::{Incarnation, Span, Timestamp};

pub(super) const INSTANCES: usize = 180;
const DOMAINS: usize = 6;
/// Callers are sent to these only.
const LARGE_PER_DOMAIN: usize = 3;
pub(super) const STEP: Span = Span::from_millis(100);
/// The instances and the store are undisturbed until then.
pub(super) const CALM: Span = Span::from_secs(3);
/// The first instance of the second failure domain.
pub(super) const FIRST_OF_SECOND: usize = INSTANCES / DOMAINS;
/// How long an answer waits for updates.
const UPDATES_WAIT: Span = Span::from_millis(400);
const WATCH_WAIT: Span = Span::from_secs(1);
pub(super) const RETRY_PAUSE: Span = Span::from_millis(400);

/// An instance may be three steps away from the one that reads the store.
const MAX_AGE: Span = Span(WATCH_WAIT.0 + UPDATES_WAIT.0 * 4);

/// Which instances the store answers while it is disturbed.
#[derive(Clone, Copy, Debug)]
pub(super) enum Disturbance {
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
pub(super) struct Case {
    pub(super) disturbance: Disturbance,
    pub(super) lasts: Span,
    /// Whether all instances start at that moment, without a configuration.
    pub(super) cold: bool,
    /// All instances have fresh updates again this long after the disturbance began, or after it
    /// ended if the store answers nobody.
    pub(super) fresh_within: Span,
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

pub(super) struct Model {
    pub(super) case: Case,
    pub(super) now: Timestamp,
    instances: Vec<Modelled>,
    pub(super) calls: usize,
    pub(super) switches: usize,
}

pub(super) fn addr(at: usize) -> SocketAddr {
    let [high, low] = u16::try_from(at).unwrap().to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 1))
}

fn domain(at: usize) -> usize {
    at / (INSTANCES / DOMAINS)
}

pub(super) fn record(at: usize, state: MemberState) -> InstanceRecord {
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
    pub(super) fn new(case: Case) -> Self {
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

    /// Returns when the disturbance begins.
    pub(super) fn begin(&self) -> Timestamp {
        Timestamp(0) + if self.case.cold { Span::ZERO } else { CALM }
    }

    /// Returns when the disturbance ends.
    pub(super) fn end(&self) -> Timestamp {
        self.begin() + self.case.lasts
    }

    pub(super) fn run_until(&mut self, end: Timestamp) {
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
    pub(super) fn stale(&self) -> usize {
        let is_stale = |at: &usize| {
            let is_in_touch = self.case.disturbance.is_in_touch(*at);
            is_in_touch && self.age(*at).is_none_or(|age| age > MAX_AGE)
        };
        (0..INSTANCES).filter(is_stale).count()
    }
}
