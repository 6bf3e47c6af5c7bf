//! Who may act on a lease, after each thing that can happen to it.

use rstest::rstest;

use super::lease::{Contend, Lease, LeaseRecord};
use crate::types::{Epoch, Incarnation, InstanceName, ObjectVersion, Span, Timestamp};

const SPAN: Span = Span::from_secs(9);

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

/// The holder, its incarnation, whether it gave the lease up, and the version.
type Read = (&'static str, u64, bool, u64);

/// What is read at each second, and what `me`, in incarnation 2, then decides.
struct Case {
    reads: &'static [(u64, Option<Read>)],
    decides: Contend,
}

#[rstest]
#[case::nobody_ever_held_it(Case { reads: &[(0, None)], decides: Contend::Take(Epoch(1)) })]
#[case::held(Case { reads: &[(0, Some(("other", 1, false, 1)))], decides: Contend::Follow })]
#[case::not_renewed_for_less_than_its_span(Case {
    reads: &[(0, Some(("other", 1, false, 1))), (9, Some(("other", 1, false, 1)))],
    decides: Contend::Follow,
})]
#[case::not_renewed_for_longer(Case {
    reads: &[(0, Some(("other", 1, false, 1))), (10, Some(("other", 1, false, 1)))],
    decides: Contend::Take(Epoch(5)),
})]
#[case::renewed_meanwhile(Case {
    reads: &[
        (0, Some(("other", 1, false, 1))),
        (8, Some(("other", 1, false, 2))),
        (16, Some(("other", 1, false, 2))),
    ],
    decides: Contend::Follow,
})]
#[case::given_up(Case {
    reads: &[(0, Some(("other", 1, true, 1)))],
    decides: Contend::Take(Epoch(5)),
})]
#[case::own_whose_reply_was_lost(Case {
    reads: &[(0, Some(("me", 2, false, 1)))],
    decides: Contend::Own(Epoch(4), 7),
})]
#[case::of_an_earlier_process_of_the_same_name(Case {
    reads: &[(0, Some(("me", 1, false, 1)))],
    decides: Contend::Take(Epoch(5)),
})]
#[case::of_a_later_process_of_the_same_name(Case {
    reads: &[(0, Some(("me", 3, false, 1)))],
    decides: Contend::Follow,
})]
fn a_lease_is_taken_only_when_its_holder_cannot_act(#[case] case: Case) {
    let mut lease = Lease::new(SPAN);
    let me = name("me");
    let mut decided = None;
    for (secs, read) in case.reads {
        let read = read.map(|(holder, incarnation, released, version)| {
            (
                record(holder, incarnation, released),
                ObjectVersion(version),
            )
        });
        let object = read.as_ref().map(|(record, version)| (record, *version));
        decided = Some(lease.contend(at(*secs), (&me, Incarnation(2)), object));
    }
    assert_eq!(decided, Some(case.decides));
}

#[test]
fn a_holder_stops_acting_before_anybody_can_take_its_lease() {
    let mut holder = Lease::new(SPAN);
    let mut other = Lease::new(SPAN);
    let me = name("other");
    holder.wrote(at(10), Epoch(4), ObjectVersion(1), 0);
    let found = record("holder", 1, false);
    let object = Some((&found, ObjectVersion(1)));
    for millis in (10_000..40_000).step_by(10) {
        let now = Timestamp(0) + Span::from_millis(millis);
        let decided = other.contend(now, (&me, Incarnation(1)), object);
        let acts = holder.epoch(now).is_some();
        assert!(!(acts && decided != Contend::Follow), "both act at {now}");
    }
    assert_eq!(holder.epoch(at(40)), None);
}

#[test]
fn a_paused_holder_finds_its_lease_lapsed() {
    let mut lease = Lease::new(SPAN);
    lease.wrote(at(0), Epoch(4), ObjectVersion(1), 0);
    assert_eq!(lease.epoch(at(8)), Some(Epoch(4)));
    assert!(lease.renewal(at(8)).is_some());
    assert_eq!(lease.epoch(at(9)), None);
    assert_eq!(lease.renewal(at(9)), None);
}
