//! Targets are checked, and a change is accepted or refused truthfully whatever the
//! platform and other operators do meanwhile.

use std::sync::Arc;

use async_std::task::block_on;
use proptest::prelude::*;
use rstest::rstest;
use serde_json::{Value, json};

use super::{Accepted, Config, Patience, Proposal, Seen, Wish};
use crate::error::{ErrorKind, Refusal};
use crate::process::platform::fake::{FakePlatform, Faults};
use crate::process::{Backoff, Clock, follow::CLASSES_KEY};
use crate::types::{ChangeId, ChangeNumber, Ratio, Span, UnixSeconds};
use crate::version::{AcceptedChange, Class, Classes, ClassesWire, SetClass, Targets};

const PATIENCE: Patience = Patience {
    settle_within: Span::from_secs(60),
    pauses: Backoff::new(Span(100), Span(1_000)),
};

fn class(name: &str, latency: u64) -> Class {
    Class {
        name: name.parse().unwrap(),
        index: "finder".parse().unwrap(),
        targets: Targets {
            latency: Span::from_millis(latency),
            coverage: Ratio::ONE,
            extra_load: "5%".parse().unwrap(),
            repeatable: true,
        },
    }
}

fn set(id: u128, class: Class, seen: Seen) -> Proposal {
    Proposal {
        id: ChangeId(id),
        at: UnixSeconds(7),
        who: "ana".parse().unwrap(),
        wish: Wish::Set(Arc::new(class)),
        seen,
    }
}

fn remove(id: u128, name: &str, seen: Seen) -> Proposal {
    Proposal {
        wish: Wish::Remove(name.parse().unwrap()),
        ..set(id, class(name, 100), seen)
    }
}

fn seen_by(number: u64) -> Seen {
    Seen::SetBy(ChangeNumber(number))
}

struct World {
    platform: Arc<FakePlatform>,
    config: Config,
}

impl World {
    fn new() -> Self {
        Self::with_patience(PATIENCE)
    }

    /// A world whose operators give up after the first attempt.
    fn impatient() -> Self {
        Self::with_patience(Patience {
            settle_within: Span::ZERO,
            ..PATIENCE
        })
    }

    fn with_patience(patience: Patience) -> Self {
        let platform = Arc::<FakePlatform>::default();
        let config = Config::with_patience(platform.clone(), Clock::new(), patience);
        Self { platform, config }
    }

    fn apply(&self, proposal: &Proposal) -> Result<Accepted, Refusal> {
        block_on(self.config.apply(proposal))
    }

    fn classes(&self) -> Classes {
        block_on(self.config.read()).unwrap().classes
    }

    /// The numbers of all accepted changes, from the trail and the classes.
    fn trail(&self) -> Vec<u64> {
        let mut numbers: Vec<u64> = Vec::new();
        let classes = self.classes();
        let stored = block_on(self.config.audit.segment(ChangeNumber(0))).unwrap();
        for change in stored.iter().chain(&classes.recent) {
            if !numbers.contains(&change.number.0) {
                numbers.push(change.number.0);
            }
        }
        numbers
    }
}

struct Target {
    change: fn(&mut Class),
    wanted: Result<(), &'static str>,
}

#[rstest]
#[case::good(Target { change: |_| {}, wanted: Ok(()) })]
#[case::no_latency(Target { change: |c| c.targets.latency = Span::ZERO, wanted: Err("latency") })]
#[case::least_latency(Target { change: |c| c.targets.latency = Span::from_millis(5), wanted: Ok(()) })]
#[case::little_latency(Target { change: |c| c.targets.latency = Span(4_999), wanted: Err("latency") })]
#[case::an_hour(Target { change: |c| c.targets.latency = Span::from_secs(3_600), wanted: Ok(()) })]
#[case::above_an_hour(Target {
    change: |c| c.targets.latency = Span(3_600_000_001), wanted: Err("latency"),
})]
#[case::no_coverage(Target { change: |c| c.targets.coverage = Ratio::ZERO, wanted: Err("coverage") })]
#[case::some_coverage(Target { change: |c| c.targets.coverage = Ratio::from_ppm(1), wanted: Ok(()) })]
#[case::part_of_an_order(Target {
    change: |c| {
        c.targets.repeatable = false;
        c.targets.coverage = Ratio::from_ppm(999_999);
    },
    wanted: Err("coverage"),
})]
#[case::whole_order(Target { change: |c| c.targets.repeatable = false, wanted: Ok(()) })]
fn targets_are_refused_with_the_fields_name(#[case] case: Target) {
    let mut class = class("counter", 100);
    (case.change)(&mut class);
    let outcome = World::new().apply(&set(1, class, Seen::Absent));
    match (outcome, case.wanted) {
        (Ok(accepted), Ok(())) => assert_eq!(accepted.change.number, ChangeNumber(1)),
        (Err(refusal), Err(field)) => {
            assert_eq!(refusal.kind, ErrorKind::BadTarget);
            assert!(
                refusal.detail.starts_with(&format!("field {field}:")),
                "{refusal}"
            );
        }
        (outcome, wanted) => panic!("{outcome:?}, wanted {wanted:?}"),
    }
}

#[test]
fn whether_a_class_takes_orders_never_changes_in_place() {
    let world = World::new();
    world
        .apply(&set(1, class("counter", 100), Seen::Absent))
        .unwrap();
    let mut orders = class("counter", 100);
    orders.targets.repeatable = false;
    let refusal = world
        .apply(&set(2, orders.clone(), seen_by(1)))
        .unwrap_err();
    assert!(refusal.detail.starts_with("field repeatable:"), "{refusal}");
    world.apply(&remove(3, "counter", seen_by(1))).unwrap();
    world.apply(&set(4, orders, Seen::Absent)).unwrap();
}

/// What two operators do with one class, and what the second is told.
struct Race {
    first: Option<Proposal>,
    second: Proposal,
    wanted: Option<ErrorKind>,
}

#[rstest]
#[case::created_by_both(Race {
    first: Some(set(2, class("b", 50), Seen::Absent)),
    second: set(3, class("b", 60), Seen::Absent),
    wanted: Some(ErrorKind::Conflict),
})]
#[case::changed_by_both(Race {
    first: Some(set(2, class("a", 50), seen_by(1))),
    second: set(3, class("a", 60), seen_by(1)),
    wanted: Some(ErrorKind::Conflict),
})]
#[case::removed_meanwhile(Race {
    first: Some(remove(2, "a", seen_by(1))),
    second: set(3, class("a", 60), seen_by(1)),
    wanted: Some(ErrorKind::NotFound),
})]
#[case::removed_and_made_again(Race {
    first: Some(remove(2, "a", seen_by(1))),
    second: remove(3, "a", seen_by(2)),
    wanted: Some(ErrorKind::NotFound),
})]
#[case::other_classes(Race {
    first: Some(set(2, class("b", 50), Seen::Absent)),
    second: set(3, class("a", 60), seen_by(1)),
    wanted: None,
})]
#[case::the_same_change_again(Race {
    first: Some(set(2, class("a", 50), seen_by(1))),
    second: set(2, class("a", 50), seen_by(1)),
    wanted: None,
})]
#[case::no_such_class(Race {
    first: None, second: remove(3, "b", seen_by(9)), wanted: Some(ErrorKind::NotFound),
})]
#[case::alone(Race { first: None, second: remove(3, "a", seen_by(1)), wanted: None })]
fn operators_that_race_are_told_so(#[case] case: Race) {
    let world = World::new();
    world.apply(&set(1, class("a", 100), Seen::Absent)).unwrap();
    if let Some(first) = &case.first {
        world.apply(first).unwrap();
    }
    let before = world.classes();
    let outcome = world.apply(&case.second);
    assert_eq!(
        outcome.as_ref().err().map(|refusal| refusal.kind),
        case.wanted
    );
    if outcome.is_err() {
        assert_eq!(world.classes(), before);
        let refused = block_on(world.config.audit.refused()).unwrap();
        assert_eq!(refused.rows.len(), 1);
        assert_eq!(refused.rows[0].outcome, case.wanted.unwrap().row().code);
    }
}

struct Fault {
    cause: fn(&mut Faults),
    /// Writes of the classes that reached the platform.
    writes: u64,
}

#[rstest]
#[case::none(Fault { cause: |_| {}, writes: 1 })]
#[case::lost_reply(Fault { cause: |faults| faults.lose_replies = 1, writes: 1 })]
#[case::lost_write(Fault { cause: |faults| faults.lose_writes = 2, writes: 3 })]
#[case::lost_write_then_reply(Fault {
    cause: |faults| { faults.lose_writes = 1; faults.lose_replies = 1; },
    writes: 2,
})]
#[case::shed(Fault { cause: |faults| faults.busy = 3, writes: 1 })]
fn a_change_is_made_once_whatever_is_lost(#[case] case: Fault) {
    let world = World::new();
    world.platform.faults(case.cause);
    let accepted = world.apply(&set(1, class("a", 100), Seen::Absent)).unwrap();
    assert_eq!(accepted.change.number, ChangeNumber(1));
    assert_eq!(world.trail(), [1]);
    assert_eq!(world.platform.calls().writes, case.writes);
}

fn as_value(classes: &Classes) -> Value {
    serde_json::to_value(ClassesWire::from(classes)).unwrap()
}

/// The classes after another instance made this change.
fn after(classes: &Classes, proposal: &Proposal) -> Classes {
    let world = World::new();
    world.platform.set(CLASSES_KEY, &as_value(classes));
    world.apply(proposal).unwrap().classes
}

#[test]
fn a_rival_for_another_class_costs_a_retry_and_nothing_more() {
    let world = World::new();
    let rival = after(&Classes::default(), &set(9, class("b", 50), Seen::Absent));
    world.platform.rival_writes(CLASSES_KEY, as_value(&rival));
    let accepted = world.apply(&set(1, class("a", 100), Seen::Absent)).unwrap();
    assert_eq!(accepted.change.number, ChangeNumber(2));
    assert_eq!(world.classes().by_name.len(), 2);
}

#[test]
fn a_rival_for_the_same_class_wins_and_is_kept() {
    let world = World::new();
    let rival = after(&Classes::default(), &set(9, class("a", 50), Seen::Absent));
    world.platform.rival_writes(CLASSES_KEY, as_value(&rival));
    let refusal = world
        .apply(&set(1, class("a", 100), Seen::Absent))
        .unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::Conflict);
    assert_eq!(world.classes(), rival);
}

#[test]
fn an_outage_refuses_with_nothing_changed() {
    let world = World::impatient();
    world.platform.faults(|faults| faults.down = true);
    let refusal = world
        .apply(&set(1, class("a", 100), Seen::Absent))
        .unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::PlatformDown);
    world.platform.faults(|faults| faults.down = false);
    assert_eq!(world.platform.value(CLASSES_KEY), None);
}

#[test]
fn an_outage_after_a_lost_reply_says_that_it_is_not_known() {
    let world = World::impatient();
    world
        .platform
        .faults(|faults| faults.lose_writes = u32::MAX);
    let refusal = world
        .apply(&set(1, class("a", 100), Seen::Absent))
        .unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::Unsettled);
    let refused = block_on(world.config.audit.refused()).unwrap();
    assert!(refused.rows[0].is_unsettled());
}

#[test]
fn every_change_is_in_the_trail_once_while_the_classes_stay_small() {
    const CHANGES: u64 = 100;
    let world = World::new();
    let mut seen = Seen::Absent;
    for number in 1..=CHANGES {
        let proposal = set(u128::from(number), class("a", 10 + number), seen);
        world.platform.faults(|faults| {
            faults.lose_replies = u32::from(number % 7 == 0);
            faults.lose_writes = u32::from(number % 5 == 0);
        });
        let accepted = world.apply(&proposal).unwrap();
        seen = Seen::SetBy(accepted.change.number);
        assert!(accepted.classes.recent.len() <= super::MOST_RECENT);
    }
    let mut trail = world.trail();
    trail.sort_unstable();
    assert_eq!(trail, (1..=CHANGES).collect::<Vec<_>>());
}

#[test]
fn a_lost_reply_is_settled_though_many_changes_came_after() {
    let world = World::new();
    let mine = set(1, class("a", 100), Seen::Absent);
    // The write takes effect, its reply is lost, and 40 changes come before it is read back.
    let mut classes = after(&Classes::default(), &mine);
    let others = World::new();
    others.platform.set(CLASSES_KEY, &as_value(&classes));
    let mut seen = Seen::Absent;
    for id in 2..42 {
        let accepted = others.apply(&set(id, class("b", 100), seen)).unwrap();
        seen = Seen::SetBy(accepted.change.number);
        classes = accepted.classes;
    }
    assert_eq!(classes.recent(ChangeId(1)), None);
    let segment = others.platform.value("audit/changes/000").unwrap();
    world.platform.set("audit/changes/000", &segment);
    world.platform.set(CLASSES_KEY, &as_value(&classes));
    let doubt = super::Doubt {
        version: None,
        number: ChangeNumber(1),
    };
    let current = block_on(world.config.read()).unwrap();
    let settled = block_on(world.config.settled_by_audit(&current, doubt, &mine)).unwrap();
    assert_eq!(settled.unwrap().unwrap().change.id, ChangeId(1));
    let rival = set(99, class("a", 100), Seen::Absent);
    let settled = block_on(world.config.settled_by_audit(&current, doubt, &rival)).unwrap();
    assert_eq!(settled, None);
}

/// The bytes of an object with this many classes and a full list of changes.
fn object_bytes(classes: usize, name_chars: usize) -> usize {
    let names = (0..classes).map(|at| format!("{at:0>name_chars$}"));
    let mut full = Classes::default();
    for name in names {
        let class = Class {
            index: name.parse().unwrap(),
            ..class(&name, 3_599_999)
        };
        let proposal = set(u128::MAX, class, Seen::Absent);
        let change = ChangeNumber(u64::MAX);
        full.recent.push(AcceptedChange {
            id: proposal.id,
            number: change,
            at: proposal.at,
            who: proposal.name().as_str().parse().unwrap(),
            name: proposal.name().clone(),
            from: Some(Arc::new(class_of(&proposal))),
            to: Some(Arc::new(class_of(&proposal))),
        });
        let set = SetClass {
            class: Arc::new(class_of(&proposal)),
            change,
        };
        full.by_name.insert(proposal.name().clone(), set);
    }
    full.recent.truncate(super::MOST_RECENT);
    as_value(&full).to_string().len()
}

fn class_of(proposal: &Proposal) -> Class {
    match &proposal.wish {
        Wish::Set(class) => Class::clone(class),
        Wish::Remove(name) => class(name.as_str(), 100),
    }
}

#[test]
fn the_largest_object_of_classes_stays_under_a_megabyte() {
    let (usual, largest) = (object_bytes(256, 16), object_bytes(256, 128));
    println!("256 classes: {usual} bytes with names of 16, {largest} with names of 128");
    assert!(largest < 1 << 20, "{largest} bytes");
}

#[test]
fn there_are_no_more_classes_than_the_object_holds() {
    let world = World::new();
    let mut full = Classes::default();
    for at in 0..256 {
        let class = Arc::new(class(&format!("class-{at}"), 100));
        let set = SetClass {
            class,
            change: ChangeNumber(1),
        };
        full.by_name.insert(set.class.name.clone(), set);
    }
    world.platform.set(CLASSES_KEY, &as_value(&full));
    let refusal = world
        .apply(&set(1, class("one-more", 100), Seen::Absent))
        .unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::TooLarge);
    world
        .apply(&set(2, class("class-7", 90), seen_by(1)))
        .unwrap();
}

#[test]
fn a_write_that_was_paused_for_long_undoes_nothing() {
    let world = World::new();
    world.apply(&set(1, class("a", 100), Seen::Absent)).unwrap();
    let old = block_on(world.config.read()).unwrap();
    let newer = world.apply(&set(2, class("a", 50), seen_by(1))).unwrap();
    let mut stale = old.classes.clone();
    stale.recent.clear();
    let mut doubt = None;
    let attempt = block_on(world.config.write(stale, old.version, &mut doubt));
    assert!(matches!(
        attempt,
        super::Attempt::Again(crate::process::PlatformError::Conflict)
    ));
    assert_eq!(world.classes(), newer.classes);
}

#[test]
fn what_an_older_or_newer_instance_wrote_is_read() {
    let world = World::new();
    let old = json!({ "classes": [{
        "name": "a", "index": "finder", "latency": "170ms", "coverage": "100%",
        "extra_load": "5%", "repeatable": true, "of_a_later_version": 1,
    }] });
    world.platform.set(CLASSES_KEY, &old);
    let accepted = world.apply(&set(1, class("a", 50), seen_by(0))).unwrap();
    assert_eq!(accepted.change.from.as_deref(), Some(&class("a", 170)));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Several operators change two classes over a platform that loses replies, loses
    /// writes and sheds calls: each acceptance is in the trail once, in order, and no
    /// refusal is.
    #[test]
    fn outcomes_match_the_trail(
        steps in proptest::collection::vec((0..3_u8, 0..2_u8, 0..3_u32, 0..3_u32, 0..3_u32), 1..24),
    ) {
        let world = World::new();
        let mut accepted = Vec::new();
        let mut refused = Vec::new();
        let mut known = [Seen::Absent; 2];
        for (id, (operator, which, replies, writes, busy)) in (1..).zip(steps) {
            world.platform.faults(|faults| {
                *faults = Faults { lose_replies: replies, lose_writes: writes, busy, ..Faults::default() };
            });
            let at = usize::from(which);
            let seen = if operator == 0 { Seen::Absent } else { known[at] };
            let name = ["a", "b"][at];
            match world.apply(&set(id, class(name, 100), seen)) {
                Ok(done) => {
                    known[at] = Seen::SetBy(done.change.number);
                    accepted.push(ChangeId(id));
                }
                Err(refusal) => {
                    prop_assert_eq!(refusal.kind, ErrorKind::Conflict);
                    refused.push(ChangeId(id));
                }
            }
        }
        world.platform.faults(|faults| *faults = Faults::default());
        let classes = world.classes();
        let stored = block_on(world.config.audit.segment(ChangeNumber(0))).unwrap();
        let mut trail: Vec<_> = stored.iter().chain(&classes.recent).map(|row| (row.number, row.id)).collect();
        trail.sort_unstable();
        trail.dedup();
        let ids: Vec<ChangeId> = trail.into_iter().map(|(_, id)| id).collect();
        prop_assert_eq!(ids, accepted);
    }

    #[test]
    fn stored_classes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        read(&bytes);
    }

    #[test]
    fn damaged_classes_are_read_or_refused(at in 0..2_000_usize, byte in any::<u8>(), cut in 0..50_usize) {
        let classes = after(&Classes::default(), &set(9, class("b", 50), Seen::Absent));
        let mut bytes = as_value(&classes).to_string().into_bytes();
        let at = at % bytes.len();
        bytes[at] = byte;
        bytes.truncate(bytes.len() - cut);
        read(&bytes);
    }
}

fn read(bytes: &[u8]) {
    if let Ok(wire) = serde_json::from_slice::<ClassesWire>(bytes) {
        Classes::try_from(&wire).ok();
    }
}
