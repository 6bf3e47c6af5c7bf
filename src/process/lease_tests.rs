//! When a lease may be taken, and how long its holder may act.

use rstest::rstest;

use super::lease::{Lease, LeaseAction, LeaseRecord};
use crate::types::{Epoch, Incarnation, InstanceName, ObjectVersion, Span, Timestamp};

const LEASE_DURATION: Span = Span::from_secs(9);

fn name(text: &str) -> InstanceName {
    text.parse().unwrap()
}

fn at(secs: u64) -> Timestamp {
    Timestamp(0) + Span::from_secs(secs)
}

fn record(holder: &str, incarnation: u64, released: bool) -> LeaseRecord {
    LeaseRecord {
        epoch: Epoch(4),
        holder: name(holder),
        incarnation: Incarnation(incarnation),
        peer_addr: "127.0.0.1:1".parse().unwrap(),
        renewals: 7,
        released,
    }
}

/// The holder, its incarnation, whether it released the lease, and the version.
type Read = (&'static str, u64, bool, u64);

/// Reads of the lease with their times in seconds, and the action of `me`, incarnation 2,
/// after the last read.
struct Case {
    reads: &'static [(u64, Option<Read>)],
    action: LeaseAction,
}

#[rstest]
#[case::never_held(Case { reads: &[(0, None)], action: LeaseAction::Take(Epoch(1)) })]
#[case::held(Case { reads: &[(0, Some(("other", 1, false, 1)))], action: LeaseAction::Follow })]
#[case::not_renewed_within_its_duration(Case {
    reads: &[(0, Some(("other", 1, false, 1))), (9, Some(("other", 1, false, 1)))],
    action: LeaseAction::Follow,
})]
#[case::not_renewed_for_longer_than_its_duration(Case {
    reads: &[(0, Some(("other", 1, false, 1))), (10, Some(("other", 1, false, 1)))],
    action: LeaseAction::Take(Epoch(5)),
})]
#[case::renewed_meanwhile(Case {
    reads: &[
        (0, Some(("other", 1, false, 1))),
        (8, Some(("other", 1, false, 2))),
        (16, Some(("other", 1, false, 2))),
    ],
    action: LeaseAction::Follow,
})]
#[case::released(Case {
    reads: &[(0, Some(("other", 1, true, 1)))],
    action: LeaseAction::Take(Epoch(5)),
})]
#[case::own_write_whose_reply_was_lost(Case {
    reads: &[(0, Some(("me", 2, false, 1)))],
    action: LeaseAction::Own(Epoch(4), 7),
})]
#[case::held_by_an_earlier_incarnation_of_the_same_name(Case {
    reads: &[(0, Some(("me", 1, false, 1)))],
    action: LeaseAction::Take(Epoch(5)),
})]
#[case::held_by_a_later_incarnation_of_the_same_name(Case {
    reads: &[(0, Some(("me", 3, false, 1)))],
    action: LeaseAction::Follow,
})]
fn a_lease_is_taken_only_when_its_holder_cannot_act(#[case] case: Case) {
    let mut lease = Lease::new(LEASE_DURATION);
    let me = name("me");
    let mut action = None;
    for (secs, read) in case.reads {
        let read = read.map(|(holder, incarnation, released, version)| {
            (
                record(holder, incarnation, released),
                ObjectVersion(version),
            )
        });
        let object = read.as_ref().map(|(record, version)| (record, *version));
        action = Some(lease.next_action(at(*secs), (&me, Incarnation(2)), object));
    }
    assert_eq!(action, Some(case.action));
}

#[test]
fn a_holder_stops_acting_before_anybody_can_take_its_lease() {
    let mut holder = Lease::new(LEASE_DURATION);
    let mut other = Lease::new(LEASE_DURATION);
    let me = name("other");
    holder.record_write(at(10), Epoch(4), ObjectVersion(1), 0);
    let found = record("holder", 1, false);
    let object = Some((&found, ObjectVersion(1)));
    for millis in (10_000..40_000).step_by(10) {
        let now = Timestamp(0) + Span::from_millis(millis);
        let action = other.next_action(now, (&me, Incarnation(1)), object);
        let acts = holder.epoch(now).is_some();
        assert!(
            !(acts && action != LeaseAction::Follow),
            "both act at {now}"
        );
    }
    assert_eq!(holder.epoch(at(40)), None);
}

#[test]
fn a_paused_holder_finds_its_lease_expired() {
    let mut lease = Lease::new(LEASE_DURATION);
    lease.record_write(at(0), Epoch(4), ObjectVersion(1), 0);
    assert_eq!(lease.epoch(at(8)), Some(Epoch(4)));
    assert!(lease.renewal(at(8)).is_some());
    assert_eq!(lease.epoch(at(9)), None);
    assert_eq!(lease.renewal(at(9)), None);
}
