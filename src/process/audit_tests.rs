//! The audit trail stays within its size limits and drops no row early.

use std::sync::Arc;

use async_std::task::block_on;
use proptest::prelude::*;
use rstest::rstest;

use super::Backoff;
use super::audit::Audit;
use super::audit_rows::{RefusedChange, RefusedLog, Segment, SegmentNumber};
use super::audit_wire::{RefusedLogWire, SegmentWire};
use super::config::{ClassChange, Precondition, Proposal};
use super::platform::fake::{FakePlatform, Faults};
use crate::error::{ErrorKind, Refusal};
use crate::types::{ChangeId, ChangeNumber, Ratio, Span, UnixSeconds};
use crate::version::{AcceptedChange, Class, Targets};

const RETRY_BACKOFF: Backoff = Backoff::new(Span(100), Span(1_000));
const MAX_NAME_LEN: usize = 128;

fn max_length_name(letter: char) -> String {
    letter.to_string().repeat(MAX_NAME_LEN)
}

fn row(number: u64) -> AcceptedChange {
    let class = Arc::new(Class {
        name: max_length_name('c').parse().unwrap(),
        index: max_length_name('i').parse().unwrap(),
        targets: Targets {
            latency: Span(3_599_999_999),
            coverage: Ratio::from_ppm(999_999),
            extra_load: Ratio::from_ppm(999_999),
            repeatable: false,
        },
    });
    AcceptedChange {
        id: ChangeId(u128::MAX - u128::from(number)),
        number: ChangeNumber(number),
        at: UnixSeconds(u64::MAX),
        who: max_length_name('o').parse().unwrap(),
        name: class.name.clone(),
        from: Some(Arc::clone(&class)),
        to: Some(class),
    }
}

fn rows(numbers: std::ops::Range<u64>) -> Vec<AcceptedChange> {
    numbers.map(row).collect()
}

fn refused(id: u128) -> (Proposal, Refusal) {
    let proposal = Proposal {
        id: ChangeId(id),
        at: UnixSeconds(u64::MAX),
        who: max_length_name('o').parse().unwrap(),
        class_change: ClassChange::Remove(max_length_name('c').parse().unwrap()),
        seen: Precondition::Absent,
    };
    (
        proposal,
        Refusal::new(ErrorKind::Conflict, "é".repeat(10_000)),
    )
}

struct Merge {
    stored: Option<(u64, std::ops::Range<u64>)>,
    rows: std::ops::Range<u64>,
    /// The rows to write; none when there is nothing to write.
    wanted: Option<std::ops::Range<u64>>,
}

#[rstest]
#[case::first(Merge { stored: None, rows: 0..3, wanted: Some(0..3) })]
#[case::more(Merge { stored: Some((0, 0..3)), rows: 3..5, wanted: Some(0..5) })]
#[case::overlap(Merge { stored: Some((0, 0..3)), rows: 1..5, wanted: Some(0..5) })]
#[case::already_stored(Merge { stored: Some((0, 0..3)), rows: 0..3, wanted: None })]
#[case::before(Merge { stored: Some((0, 3..5)), rows: 1..3, wanted: Some(1..5) })]
#[case::an_older_segment_is_replaced(Merge { stored: Some((0, 0..128)), rows: 65_536..65_538, wanted: Some(65_536..65_538) })]
#[case::a_newer_segment_is_kept(Merge { stored: Some((512, 65_536..65_540)), rows: 1..3, wanted: None })]
fn rows_are_merged_into_a_segment(#[case] case: Merge) {
    let stored = case.stored.map(|(number, numbers)| Segment {
        number: SegmentNumber(number),
        rows: rows(numbers),
    });
    let number = SegmentNumber::of(ChangeNumber(case.rows.start));
    let merged = Segment::merge(stored, number, &rows(case.rows));
    assert_eq!(merged.map(|segment| segment.rows), case.wanted.map(rows));
}

#[test]
fn rows_of_two_segments_go_to_two_objects_and_keys_wrap_around() {
    let platform = Arc::<FakePlatform>::default();
    let audit = Audit::new(platform.clone(), RETRY_BACKOFF);
    block_on(audit.store(&rows(126..130))).unwrap();
    for (number, wanted) in [(127, 126..128), (128, 128..130)] {
        let stored = block_on(audit.segment(ChangeNumber(number))).unwrap();
        assert_eq!(stored, rows(wanted));
    }
    let wrap_around = 512 * 128;
    assert_eq!(
        SegmentNumber::of(ChangeNumber(5)).key(),
        SegmentNumber::of(ChangeNumber(wrap_around + 5)).key()
    );
    assert_eq!(
        block_on(audit.segment(ChangeNumber(wrap_around + 5))).unwrap(),
        []
    );
}

#[test]
fn the_largest_objects_stay_under_a_megabyte() {
    let segment = Segment {
        number: SegmentNumber(u64::MAX),
        rows: rows(0..128),
    };
    let bytes = serde_json::to_vec(&SegmentWire::from(&segment)).unwrap();
    assert!(bytes.len() < 1 << 20, "{} bytes of changes", bytes.len());

    let mut log = RefusedLog::default();
    for id in 0..2_000 {
        let (proposal, refusal) = refused(id);
        let mut later = RefusedLog::default();
        later.push_unwritten(RefusedChange::new(&proposal, &refusal));
        assert!(log.append(&later));
    }
    assert_eq!(log.rows.len(), 512);
    assert_eq!(log.rows[511].id, ChangeId(1_999));
    let bytes = serde_json::to_vec(&RefusedLogWire::from(&log)).unwrap();
    assert!(bytes.len() < 1 << 20, "{} bytes of refusals", bytes.len());
}

struct Flush {
    cause: fn(&mut Faults),
    flushes: usize,
}

#[rstest]
#[case::no_fault(Flush { cause: |_| {}, flushes: 1 })]
#[case::lost_reply(Flush { cause: |faults| faults.lose_replies = 1, flushes: 1 })]
#[case::lost_write(Flush { cause: |faults| faults.lose_writes = 1, flushes: 1 })]
#[case::down_then_up(Flush { cause: |faults| faults.busy = 2, flushes: 3 })]
fn refused_changes_are_written_once(#[case] case: Flush) {
    let platform = Arc::<FakePlatform>::default();
    let audit = Audit::new(platform.clone(), RETRY_BACKOFF);
    platform.faults(case.cause);
    for id in 0..3 {
        let (proposal, refusal) = refused(id);
        audit.record_refusal(&proposal, &refusal);
    }
    for _ in 0..case.flushes {
        block_on(audit.flush()).ok();
    }
    platform.faults(|faults| *faults = Faults::default());
    let ids: Vec<u128> = block_on(audit.refused())
        .unwrap()
        .rows
        .iter()
        .map(|row| row.id.0)
        .collect();
    assert_eq!(ids, [0, 1, 2]);
    let writes = platform.calls().writes;
    block_on(audit.flush()).unwrap();
    assert_eq!(platform.calls().writes, writes, "an empty flush wrote");
}

#[test]
fn a_flood_of_refusals_is_one_write_and_counts_the_omitted() {
    let platform = Arc::<FakePlatform>::default();
    let audit = Audit::new(platform.clone(), RETRY_BACKOFF);
    for id in 0..10_000 {
        let (proposal, refusal) = refused(id);
        audit.record_refusal(&proposal, &refusal);
    }
    block_on(audit.flush()).unwrap();
    let log = block_on(audit.refused()).unwrap();
    assert_eq!((log.rows.len(), log.omitted), (64, 10_000 - 64));
    assert_eq!(platform.calls().writes, 1);
}

proptest! {
    #[test]
    fn stored_rows_are_read_or_refused(
        bytes in proptest::collection::vec(any::<u8>(), 0..300),
        at in any::<prop::sample::Index>(), byte in any::<u8>(),
    ) {
        let segment = Segment { number: SegmentNumber(0), rows: rows(0..2) };
        let mut damaged = serde_json::to_vec(&SegmentWire::from(&segment)).unwrap();
        let at = at.index(damaged.len());
        damaged[at] = byte;
        for bytes in [bytes, damaged] {
            if let Ok(wire) = serde_json::from_slice::<SegmentWire>(&bytes) {
                Segment::try_from(&wire).ok();
            }
            if let Ok(wire) = serde_json::from_slice::<RefusedLogWire>(&bytes) {
                drop(RefusedLog::from(wire));
            }
        }
    }
}
