//! The poison marks that instances share through the platform.

use super::{MAX_SHARED_MARKS, PoisonMarks, PoisonMarksWire};
use crate::process::mark::INCIDENT_TTL;
use crate::process::shared_marks::SharedMark;
use crate::types::{Fingerprint, UnixSeconds};

const NOW: UnixSeconds = UnixSeconds(1_000_000);

fn mark(request: u64, incidents: u32) -> SharedMark {
    SharedMark {
        request: Fingerprint(request),
        incidents,
    }
}

#[test]
fn merging_keeps_the_larger_count_and_is_idempotent() {
    let mut marks = PoisonMarks::default();
    for mark_to_merge in [mark(1, 2), mark(1, 1), mark(2, 1), mark(2, 1)] {
        marks.merge(NOW, &[mark_to_merge], &[]);
    }
    assert_eq!(marks.live(NOW), vec![mark(1, 2), mark(2, 1)]);
}

#[test]
fn cleared_and_expired_marks_are_removed() {
    let mut marks = PoisonMarks::default();
    marks.merge(NOW, &[mark(1, 1), mark(2, 1)], &[]);
    marks.merge(NOW, &[], &[Fingerprint(1)]);
    assert_eq!(marks.live(NOW), vec![mark(2, 1)]);
    let later = UnixSeconds(NOW.0 + INCIDENT_TTL.as_secs());
    assert_eq!(marks.live(later), vec![]);
    marks.merge(later, &[], &[]);
    assert_eq!(marks, PoisonMarks::default());
}

#[test]
fn the_object_is_bounded_and_read_back_whole() {
    const MAX_BYTES: usize = 64 << 10;
    let mut marks = PoisonMarks::default();
    for request in 0..3 * MAX_SHARED_MARKS as u64 {
        marks.merge(NOW, &[mark(u64::MAX - request, 2)], &[]);
    }
    assert_eq!(marks.by_request.len(), MAX_SHARED_MARKS);
    let wire = PoisonMarksWire::from(&marks);
    assert!(wire.encode().unwrap().len() <= MAX_BYTES);
    assert_eq!(PoisonMarks::try_from(wire).unwrap(), marks);
}
