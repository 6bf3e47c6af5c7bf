//! Runs the commits of several instances on one page, with faults of the platform and
//! crashes of instances.

use indexmap::IndexMap;
use proptest::prelude::*;
use rstest::rstest;

use super::commit::{ClaimOutcome, Commit, PageChange, Step, WriteOutcome};
use super::id::{ClaimId, OrderId, PageId};
use super::page::{ApplyResult, ClaimChange, ClaimState, MAX_CLAIMS, Page};
use super::sweep::Horizon;
use super::wire::{PageWire, encode};
use crate::seeded_tests::seeded;
use crate::types::{Fingerprint, ObjectVersion, Span, Timestamp};

const PAGE: PageId = PageId {
    window: 100,
    partition: 0,
};
const BODY: Fingerprint = Fingerprint(7);
const CLAIM_TIMEOUT: Span = Span::from_millis(85);
const INSTANCES: usize = 3;
const ORDERS: u128 = 1;

/// What happens to a call to the platform.
#[derive(Clone, Copy, Debug)]
enum CallOutcome {
    Success,
    ReplyLost,
    Delayed,
    Refused,
}

/// What happens to an order after it was claimed.
#[derive(Clone, Copy, Debug)]
enum OrderEnd {
    Ran,
    RanUnrecorded,
    NotRun,
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Claim {
        at: usize,
        order: u128,
    },
    Step {
        at: usize,
        call: CallOutcome,
        end: OrderEnd,
    },
    Crash {
        at: usize,
    },
    DelayedWriteLands,
    AdvanceClock {
        millis: u64,
    },
    CloseAndDeletePage,
}

/// A model of the platform, restricted to one page, and of the instances that use it.
#[derive(Debug, Default)]
struct World {
    now: Timestamp,
    version: u64,
    page: Option<(ObjectVersion, Page)>,
    closed: u64,
    delayed: Vec<(Page, Option<ObjectVersion>)>,
    commits: Vec<Commit>,
    orders: IndexMap<ClaimId, (OrderId, usize)>,
    runs: IndexMap<OrderId, u32>,
    /// Claims that are never removed: their order ran, or their instance crashed.
    permanent: Vec<ClaimId>,
    next_claim: u64,
}

impl World {
    fn new() -> Self {
        Self {
            commits: vec![Commit::new(PAGE); INSTANCES],
            ..Self::default()
        }
    }

    fn write(&mut self, page: &Page, expected: Option<ObjectVersion>) -> bool {
        if self.page.as_ref().map(|(version, _)| *version) != expected {
            return false;
        }
        self.version += 1;
        self.page = Some((ObjectVersion(self.version), page.clone()));
        true
    }

    fn claim(&mut self, at: usize, order: u128) {
        self.next_claim += 1;
        let claim = ClaimId(self.next_claim);
        self.orders.insert(claim, (OrderId(order), at));
        let kind = ClaimChange::Claim { body: BODY };
        self.change(at, claim, kind, CLAIM_TIMEOUT);
    }

    fn change(&mut self, at: usize, claim: ClaimId, kind: ClaimChange, within: Span) {
        let change = PageChange {
            order: self.orders[&claim].0,
            claim,
            kind,
            deadline: self.now + within,
        };
        // Like a page writer, adds changes only before a read.
        if matches!(self.commits[at].next(self.now), Step::Read | Step::End) {
            self.commits[at].add([change]);
        } else if !matches!(kind, ClaimChange::Claim { .. }) {
            self.permanent.push(claim);
        }
    }

    fn step(&mut self, at: usize, call: CallOutcome, end: OrderEnd) {
        match self.commits[at].next(self.now) {
            Step::Read => {
                if !matches!(call, CallOutcome::Refused) {
                    let found = self.page.clone();
                    self.commits[at].on_read(found);
                }
            }
            Step::Write(page, expected) => {
                let written = match call {
                    CallOutcome::Success if self.write(&page, expected) => WriteOutcome::Applied,
                    CallOutcome::Success | CallOutcome::Refused => WriteOutcome::NoEffect,
                    CallOutcome::ReplyLost => {
                        self.write(&page, expected);
                        WriteOutcome::Unknown
                    }
                    CallOutcome::Delayed => {
                        self.delayed.push((page, expected));
                        WriteOutcome::Unknown
                    }
                };
                self.commits[at].on_written(written);
            }
            Step::ReadHorizon => {
                let horizon = Horizon {
                    closed: self.closed,
                    swept: self.closed,
                };
                self.commits[at].on_horizon(horizon);
            }
            Step::End => {}
        }
        for (claim, decided) in self.commits[at].take_outcomes() {
            if decided == ClaimOutcome::Held {
                self.run_order(at, claim, end);
            }
        }
    }

    fn run_order(&mut self, at: usize, claim: ClaimId, end: OrderEnd) {
        if matches!(end, OrderEnd::NotRun) {
            return self.change(at, claim, ClaimChange::Release, Span::from_secs(60));
        }
        let order = self.orders[&claim].0;
        *self.runs.entry(order).or_default() += 1;
        self.permanent.push(claim);
        if matches!(end, OrderEnd::Ran) {
            self.change(at, claim, ClaimChange::Done, Span::from_secs(60));
        }
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Claim { at, order } => self.claim(at, order),
            Op::Step { at, call, end } => self.step(at, call, end),
            Op::Crash { at } => {
                self.commits[at] = Commit::new(PAGE);
                let lost = self.orders.iter().filter(|(_, (_, of))| *of == at);
                self.permanent.extend(lost.map(|(claim, _)| *claim));
            }
            Op::DelayedWriteLands => self.land_delayed(),
            Op::AdvanceClock { millis } => self.now = self.now + Span::from_millis(millis),
            Op::CloseAndDeletePage => {
                self.closed = PAGE.window + 1;
                self.page = None;
                self.version += 1;
            }
        }
    }

    fn land_delayed(&mut self) {
        if let Some((page, expected)) = self.delayed.pop() {
            self.write(&page, expected);
        }
    }

    /// Runs every commit to its end without further faults.
    fn finish(&mut self) {
        for at in 0..INSTANCES {
            for _ in 0..64 {
                self.step(at, CallOutcome::Success, OrderEnd::Ran);
                self.now = self.now + Span::from_millis(10);
            }
            assert_eq!(self.commits[at].next(self.now), Step::End);
        }
        while !self.delayed.is_empty() {
            self.land_delayed();
        }
    }

    /// The claims that block an order although no attempt will run it. A closed page
    /// blocks nothing, since every claim on it is refused as stale.
    fn leaked_claims(&self) -> Vec<ClaimId> {
        if self.closed > PAGE.window {
            return Vec::new();
        }
        let entries = self.page.iter().flat_map(|(_, page)| page.entries.values());
        entries
            .map(|entry| entry.claim)
            .filter(|claim| !self.permanent.contains(claim))
            .collect()
    }
}

fn op() -> impl Strategy<Value = Op> {
    let call = prop_oneof![
        4 => Just(CallOutcome::Success),
        1 => Just(CallOutcome::ReplyLost),
        1 => Just(CallOutcome::Delayed),
        1 => Just(CallOutcome::Refused),
    ];
    let end = prop_oneof![
        Just(OrderEnd::Ran),
        Just(OrderEnd::RanUnrecorded),
        Just(OrderEnd::NotRun)
    ];
    prop_oneof![
        16 => (0..INSTANCES, 0..ORDERS).prop_map(|(at, order)| Op::Claim { at, order }),
        80 => (0..INSTANCES, call, end).prop_map(|(at, call, end)| Op::Step { at, call, end }),
        2 => (0..INSTANCES).prop_map(|at| Op::Crash { at }),
        4 => Just(Op::DelayedWriteLands),
        8 => (1..200_u64).prop_map(|millis| Op::AdvanceClock { millis }),
        1 => Just(Op::CloseAndDeletePage),
    ]
}

proptest! {
    #![proptest_config(seeded(3, 512))]

    #[test]
    fn an_order_runs_at_most_once_through_every_fault(ops in prop::collection::vec(op(), 1..120)) {
        let mut world = World::new();
        for op in ops {
            world.apply(op);
            prop_assert!(world.runs.values().all(|runs| *runs <= 1), "{:?}", world.runs);
        }
        world.finish();
        prop_assert!(world.runs.values().all(|runs| *runs <= 1), "{:?}", world.runs);
        prop_assert_eq!(world.leaked_claims(), vec![], "claims that are neither used nor removed");
    }
}

struct Fault {
    call: CallOutcome,
    runs: u32,
}

#[rstest]
#[case::none(Fault { call: CallOutcome::Success, runs: 1 })]
#[case::reply_lost(Fault { call: CallOutcome::ReplyLost, runs: 1 })]
#[case::write_delayed(Fault { call: CallOutcome::Delayed, runs: 1 })]
#[case::write_refused(Fault { call: CallOutcome::Refused, runs: 1 })]
fn a_claim_succeeds_after_one_write_fault(#[case] fault: Fault) {
    let mut world = World::new();
    world.claim(0, 1);
    world.step(0, CallOutcome::Success, OrderEnd::Ran);
    world.step(0, fault.call, OrderEnd::Ran);
    world.finish();
    assert_eq!(world.runs.get(&OrderId(1)), Some(&fault.runs));
}

#[test]
fn a_claim_that_misses_its_deadline_is_not_run_and_is_removed() {
    let mut world = World::new();
    world.claim(0, 1);
    world.step(0, CallOutcome::Success, OrderEnd::Ran);
    world.step(0, CallOutcome::ReplyLost, OrderEnd::Ran);
    world.now = world.now + CLAIM_TIMEOUT;
    world.finish();
    assert!(world.runs.is_empty());
    assert_eq!(world.page.unwrap().1, Page::default());
}

#[test]
fn many_orders_share_one_write() {
    let mut world = World::new();
    for order in 0..100 {
        world.claim(0, order);
    }
    world.finish();
    assert_eq!(world.runs.len(), 100);
    assert_eq!(
        world.version, 2,
        "one write for all claims, one to mark them as done"
    );
}

#[test]
fn a_full_page_refuses_claims_and_fits_into_an_object() {
    const MAX_BYTES: usize = 1 << 20;
    let mut page = Page::default();
    let claim = |page: &mut Page, order| {
        page.apply(
            OrderId(u128::MAX - order),
            ClaimId(u64::MAX),
            ClaimChange::Claim {
                body: Fingerprint(u64::MAX),
            },
        )
    };
    for order in 0..MAX_CLAIMS as u128 {
        assert_eq!(claim(&mut page, order), ApplyResult::Applied);
    }
    assert_eq!(claim(&mut page, u128::from(u64::MAX)), ApplyResult::Full);
    let bytes = encode(&PageWire::from(&page)).unwrap().len();
    assert!(bytes <= MAX_BYTES, "{bytes} bytes");
}

#[test]
fn a_repeated_request_gets_the_state_of_the_claim() {
    let mut page = Page::default();
    let (order, first, second) = (OrderId(1), ClaimId(1), ClaimId(2));
    let claim = ClaimChange::Claim { body: BODY };
    assert_eq!(page.apply(order, first, claim), ApplyResult::Applied);
    let taken = |state, same_body| ApplyResult::Taken { state, same_body };
    assert_eq!(
        page.apply(order, second, claim),
        taken(ClaimState::Claimed, true)
    );
    page.apply(order, second, ClaimChange::Release);
    page.apply(order, first, ClaimChange::Done);
    let other = ClaimChange::Claim {
        body: Fingerprint(8),
    };
    assert_eq!(
        page.apply(order, second, other),
        taken(ClaimState::Done, false)
    );
    page.apply(order, first, ClaimChange::Release);
    assert_eq!(page.apply(order, second, claim), ApplyResult::Applied);
}
