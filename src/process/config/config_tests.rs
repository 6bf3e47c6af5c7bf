//! Targets are validated, and the reported outcome of a change is correct whatever the
//! platform and other operators do meanwhile.

use std::sync::Arc;

use async_std::task::block_on;
use proptest::prelude::*;
use rstest::rstest;
use serde_json::{Value, json};

use super::{Accepted, ClassChange, Config, Precondition, Proposal, RetryPolicy};
use crate::error::{ErrorKind, Refusal};
use crate::process::platform::fake::{FakePlatform, Faults};
use crate::process::{Backoff, Clock, follow::CLASSES_KEY};
use crate::types::{ChangeId, ChangeNumber, Ratio, Span, UnixSeconds};
use crate::version::{AcceptedChange, Class, ClassEntry, Classes, ClassesWire, Targets};

const RETRY_POLICY: RetryPolicy = RetryPolicy {
    timeout: Span::from_secs(60),
    backoff: Backoff::new(Span(100), Span(1_000)),
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

fn set(id: u128, class: Class, seen: Precondition) -> Proposal {
    Proposal {
        id: ChangeId(id),
        at: UnixSeconds(7),
        who: "ana".parse().unwrap(),
        class_change: ClassChange::Set(Arc::new(class)),
        seen,
    }
}

fn remove(id: u128, name: &str, seen: Precondition) -> Proposal {
    Proposal {
        class_change: ClassChange::Remove(name.parse().unwrap()),
        ..set(id, class(name, 100), seen)
    }
}

fn seen_by(number: u64) -> Precondition {
    Precondition::SetBy(ChangeNumber(number))
}

struct Fixture {
    platform: Arc<FakePlatform>,
    config: Config,
}

impl Fixture {
    fn new() -> Self {
        Self::with_retry_policy(RETRY_POLICY)
    }

    /// A fixture that makes only one attempt for each change.
    fn without_retries() -> Self {
        Self::with_retry_policy(RetryPolicy {
            timeout: Span::ZERO,
            ..RETRY_POLICY
        })
    }

    fn with_retry_policy(retry_policy: RetryPolicy) -> Self {
        let platform = Arc::<FakePlatform>::default();
        let config = Config::with_retry_policy(platform.clone(), Clock::new(), retry_policy);
        Self { platform, config }
    }

    fn apply(&self, proposal: &Proposal) -> Result<Accepted, Refusal> {
        block_on(self.config.apply(proposal))
    }

    fn classes(&self) -> Classes {
        block_on(self.config.read()).unwrap().classes
    }

    /// The numbers of all accepted changes, from the audit trail and the classes.
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
#[case::min_latency(Target { change: |c| c.targets.latency = Span::from_millis(5), wanted: Ok(()) })]
#[case::below_min_latency(Target { change: |c| c.targets.latency = Span(4_999), wanted: Err("latency") })]
#[case::an_hour(Target { change: |c| c.targets.latency = Span::from_secs(3_600), wanted: Ok(()) })]
#[case::above_an_hour(Target {
    change: |c| c.targets.latency = Span(3_600_000_001), wanted: Err("latency"),
})]
#[case::no_coverage(Target { change: |c| c.targets.coverage = Ratio::ZERO, wanted: Err("coverage") })]
#[case::min_coverage(Target { change: |c| c.targets.coverage = Ratio::from_ppm(1), wanted: Ok(()) })]
#[case::order_with_partial_coverage(Target {
    change: |c| {
        c.targets.repeatable = false;
        c.targets.coverage = Ratio::from_ppm(999_999);
    },
    wanted: Err("coverage"),
})]
#[case::order_with_full_coverage(Target { change: |c| c.targets.repeatable = false, wanted: Ok(()) })]
fn a_refused_target_names_its_field(#[case] case: Target) {
    let mut class = class("counter", 100);
    (case.change)(&mut class);
    let outcome = Fixture::new().apply(&set(1, class, Precondition::Absent));
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
fn repeatable_cannot_change_in_place() {
    let fixture = Fixture::new();
    fixture
        .apply(&set(1, class("counter", 100), Precondition::Absent))
        .unwrap();
    let mut orders = class("counter", 100);
    orders.targets.repeatable = false;
    let refusal = fixture
        .apply(&set(2, orders.clone(), seen_by(1)))
        .unwrap_err();
    assert!(refusal.detail.starts_with("field repeatable:"), "{refusal}");
    fixture.apply(&remove(3, "counter", seen_by(1))).unwrap();
    fixture
        .apply(&set(4, orders, Precondition::Absent))
        .unwrap();
}

/// The changes of two operators, and the refusal that the second receives, if any.
struct Race {
    first: Option<Proposal>,
    second: Proposal,
    wanted: Option<ErrorKind>,
}

#[rstest]
#[case::created_by_both(Race {
    first: Some(set(2, class("b", 50), Precondition::Absent)),
    second: set(3, class("b", 60), Precondition::Absent),
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
#[case::removed_by_both(Race {
    first: Some(remove(2, "a", seen_by(1))),
    second: remove(3, "a", seen_by(2)),
    wanted: Some(ErrorKind::NotFound),
})]
#[case::other_classes(Race {
    first: Some(set(2, class("b", 50), Precondition::Absent)),
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
fn racing_changes_are_accepted_or_refused_with_the_reason(#[case] case: Race) {
    let fixture = Fixture::new();
    fixture
        .apply(&set(1, class("a", 100), Precondition::Absent))
        .unwrap();
    if let Some(first) = &case.first {
        fixture.apply(first).unwrap();
    }
    let before = fixture.classes();
    let outcome = fixture.apply(&case.second);
    assert_eq!(
        outcome.as_ref().err().map(|refusal| refusal.kind),
        case.wanted
    );
    if outcome.is_err() {
        assert_eq!(fixture.classes(), before);
        let refused = block_on(fixture.config.audit.refused()).unwrap();
        assert_eq!(refused.rows.len(), 1);
        assert_eq!(refused.rows[0].outcome, case.wanted.unwrap().row().code);
    }
}

struct Fault {
    cause: fn(&mut Faults),
    /// The number of writes that reach the platform.
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
fn a_change_is_made_once_despite_lost_messages(#[case] case: Fault) {
    let fixture = Fixture::new();
    fixture.platform.faults(case.cause);
    let accepted = fixture
        .apply(&set(1, class("a", 100), Precondition::Absent))
        .unwrap();
    assert_eq!(accepted.change.number, ChangeNumber(1));
    assert_eq!(fixture.trail(), [1]);
    assert_eq!(fixture.platform.calls().writes, case.writes);
}

fn as_value(classes: &Classes) -> Value {
    serde_json::to_value(ClassesWire::from(classes)).unwrap()
}

/// The classes after another instance has made this change.
fn after(classes: &Classes, proposal: &Proposal) -> Classes {
    let fixture = Fixture::new();
    fixture.platform.set(CLASSES_KEY, &as_value(classes));
    fixture.apply(proposal).unwrap().classes
}

#[test]
fn a_concurrent_write_of_another_class_only_costs_a_retry() {
    let fixture = Fixture::new();
    let rival = after(
        &Classes::default(),
        &set(9, class("b", 50), Precondition::Absent),
    );
    fixture
        .platform
        .inject_conflicting_write(CLASSES_KEY, as_value(&rival));
    let accepted = fixture
        .apply(&set(1, class("a", 100), Precondition::Absent))
        .unwrap();
    assert_eq!(accepted.change.number, ChangeNumber(2));
    assert_eq!(fixture.classes().by_name.len(), 2);
}

#[test]
fn a_concurrent_write_of_the_same_class_wins() {
    let fixture = Fixture::new();
    let rival = after(
        &Classes::default(),
        &set(9, class("a", 50), Precondition::Absent),
    );
    fixture
        .platform
        .inject_conflicting_write(CLASSES_KEY, as_value(&rival));
    let refusal = fixture
        .apply(&set(1, class("a", 100), Precondition::Absent))
        .unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::Conflict);
    assert_eq!(fixture.classes(), rival);
}

#[test]
fn an_outage_refuses_the_change_and_writes_nothing() {
    let fixture = Fixture::without_retries();
    fixture.platform.faults(|faults| faults.down = true);
    let refusal = fixture
        .apply(&set(1, class("a", 100), Precondition::Absent))
        .unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::PlatformDown);
    fixture.platform.faults(|faults| faults.down = false);
    assert_eq!(fixture.platform.value(CLASSES_KEY), None);
}

#[test]
fn an_outage_after_a_lost_reply_leaves_the_outcome_unknown() {
    let fixture = Fixture::without_retries();
    fixture
        .platform
        .faults(|faults| faults.lose_writes = u32::MAX);
    let refusal = fixture
        .apply(&set(1, class("a", 100), Precondition::Absent))
        .unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::Unsettled);
    let refused = block_on(fixture.config.audit.refused()).unwrap();
    assert!(refused.rows[0].is_unsettled());
}

#[test]
fn every_change_is_in_the_trail_once_while_the_classes_stay_small() {
    const CHANGES: u64 = 100;
    let fixture = Fixture::new();
    let mut seen = Precondition::Absent;
    for number in 1..=CHANGES {
        let proposal = set(u128::from(number), class("a", 10 + number), seen);
        fixture.platform.faults(|faults| {
            faults.lose_replies = u32::from(number % 7 == 0);
            faults.lose_writes = u32::from(number % 5 == 0);
        });
        let accepted = fixture.apply(&proposal).unwrap();
        seen = Precondition::SetBy(accepted.change.number);
        assert!(accepted.classes.recent.len() <= super::MAX_RECENT);
    }
    let mut trail = fixture.trail();
    trail.sort_unstable();
    assert_eq!(trail, (1..=CHANGES).collect::<Vec<_>>());
}

#[test]
fn a_lost_reply_is_resolved_after_many_later_changes() {
    let fixture = Fixture::new();
    let own = set(1, class("a", 100), Precondition::Absent);
    // The write takes effect but its reply is lost, and 40 more changes are made before the
    // classes are read again.
    let mut classes = after(&Classes::default(), &own);
    let others = Fixture::new();
    others.platform.set(CLASSES_KEY, &as_value(&classes));
    let mut seen = Precondition::Absent;
    for id in 2..42 {
        let accepted = others.apply(&set(id, class("b", 100), seen)).unwrap();
        seen = Precondition::SetBy(accepted.change.number);
        classes = accepted.classes;
    }
    assert_eq!(classes.recent(ChangeId(1)), None);
    let segment = others.platform.value("audit/changes/000").unwrap();
    fixture.platform.set("audit/changes/000", &segment);
    fixture.platform.set(CLASSES_KEY, &as_value(&classes));
    let uncertain = super::UncertainWrite {
        version: None,
        number: ChangeNumber(1),
    };
    let current = block_on(fixture.config.read()).unwrap();
    let resolved = block_on(fixture.config.resolve_from_audit(&current, uncertain, &own)).unwrap();
    assert_eq!(resolved.unwrap().unwrap().change.id, ChangeId(1));
    let rival = set(99, class("a", 100), Precondition::Absent);
    let resolved = block_on(
        fixture
            .config
            .resolve_from_audit(&current, uncertain, &rival),
    )
    .unwrap();
    assert_eq!(resolved, None);
}

/// The size in bytes of an object with this many classes and a full list of changes.
fn object_bytes(classes: usize, name_chars: usize) -> usize {
    let names = (0..classes).map(|at| format!("{at:0>name_chars$}"));
    let mut full = Classes::default();
    for name in names {
        let class = Class {
            index: name.parse().unwrap(),
            ..class(&name, 3_599_999)
        };
        let proposal = set(u128::MAX, class, Precondition::Absent);
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
        let entry = ClassEntry {
            class: Arc::new(class_of(&proposal)),
            change,
        };
        full.by_name.insert(proposal.name().clone(), entry);
    }
    full.recent.truncate(super::MAX_RECENT);
    as_value(&full).to_string().len()
}

fn class_of(proposal: &Proposal) -> Class {
    match &proposal.class_change {
        ClassChange::Set(class) => Class::clone(class),
        ClassChange::Remove(name) => class(name.as_str(), 100),
    }
}

#[test]
fn the_largest_object_of_classes_stays_under_a_megabyte() {
    let (usual, largest) = (object_bytes(256, 16), object_bytes(256, 128));
    println!("256 classes: {usual} bytes with names of 16, {largest} with names of 128");
    assert!(largest < 1 << 20, "{largest} bytes");
}

#[test]
fn the_number_of_classes_is_limited() {
    let fixture = Fixture::new();
    let mut full = Classes::default();
    for at in 0..256 {
        let class = Arc::new(class(&format!("class-{at}"), 100));
        let entry = ClassEntry {
            class,
            change: ChangeNumber(1),
        };
        full.by_name.insert(entry.class.name.clone(), entry);
    }
    fixture.platform.set(CLASSES_KEY, &as_value(&full));
    let refusal = fixture
        .apply(&set(1, class("one-more", 100), Precondition::Absent))
        .unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::TooLarge);
    fixture
        .apply(&set(2, class("class-7", 90), seen_by(1)))
        .unwrap();
}

#[test]
fn a_delayed_write_does_not_overwrite_a_newer_version() {
    let fixture = Fixture::new();
    fixture
        .apply(&set(1, class("a", 100), Precondition::Absent))
        .unwrap();
    let old = block_on(fixture.config.read()).unwrap();
    let newer = fixture.apply(&set(2, class("a", 50), seen_by(1))).unwrap();
    let mut stale = old.classes.clone();
    stale.recent.clear();
    let mut uncertain = None;
    let attempt = block_on(fixture.config.write(stale, old.version, &mut uncertain));
    assert!(matches!(
        attempt,
        super::Attempt::Retry(crate::process::PlatformError::Conflict)
    ));
    assert_eq!(fixture.classes(), newer.classes);
}

#[test]
fn classes_of_older_and_newer_software_are_read() {
    let fixture = Fixture::new();
    let old = json!({ "classes": [{
        "name": "a", "index": "finder", "latency": "170ms", "coverage": "100%",
        "extra_load": "5%", "repeatable": true, "of_a_later_version": 1,
    }] });
    fixture.platform.set(CLASSES_KEY, &old);
    let accepted = fixture.apply(&set(1, class("a", 50), seen_by(0))).unwrap();
    assert_eq!(accepted.change.from.as_deref(), Some(&class("a", 170)));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Several operators change two classes on a platform that loses replies, loses writes
    /// and sheds calls. Each accepted change is in the audit trail once, in order, and no
    /// refused change is.
    #[test]
    fn outcomes_match_the_trail(
        steps in proptest::collection::vec((0..3_u8, 0..2_u8, 0..3_u32, 0..3_u32, 0..3_u32), 1..24),
    ) {
        let fixture = Fixture::new();
        let mut accepted = Vec::new();
        let mut refused = Vec::new();
        let mut known = [Precondition::Absent; 2];
        for (id, (operator, which, replies, writes, busy)) in (1..).zip(steps) {
            fixture.platform.faults(|faults| {
                *faults = Faults { lose_replies: replies, lose_writes: writes, busy, ..Faults::default() };
            });
            let at = usize::from(which);
            let seen = if operator == 0 { Precondition::Absent } else { known[at] };
            let name = ["a", "b"][at];
            match fixture.apply(&set(id, class(name, 100), seen)) {
                Ok(done) => {
                    known[at] = Precondition::SetBy(done.change.number);
                    accepted.push(ChangeId(id));
                }
                Err(refusal) => {
                    prop_assert_eq!(refusal.kind, ErrorKind::Conflict);
                    refused.push(ChangeId(id));
                }
            }
        }
        fixture.platform.faults(|faults| *faults = Faults::default());
        let classes = fixture.classes();
        let stored = block_on(fixture.config.audit.segment(ChangeNumber(0))).unwrap();
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
        let classes = after(&Classes::default(), &set(9, class("b", 50), Precondition::Absent));
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
