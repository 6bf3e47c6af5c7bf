//! The marks that instances share through the platform.

use super::{MOST_SHARED, Marks, MarksWire};
use crate::process::suspects::{REMEMBERED_FOR, SharedMark};
use crate::types::{Fingerprint, UnixSeconds};

const NOW: UnixSeconds = UnixSeconds(1_000_000);

fn mark(request: u64, incidents: u32) -> SharedMark {
    SharedMark {
        request: Fingerprint(request),
        incidents,
    }
}

#[test]
fn the_larger_count_wins_and_telling_twice_changes_nothing() {
    let mut marks = Marks::default();
    for told in [mark(1, 2), mark(1, 1), mark(2, 1), mark(2, 1)] {
        marks.merge(NOW, &[told], &[]);
    }
    assert_eq!(marks.live(NOW), vec![mark(1, 2), mark(2, 1)]);
}

#[test]
fn cleared_and_old_marks_go() {
    let mut marks = Marks::default();
    marks.merge(NOW, &[mark(1, 1), mark(2, 1)], &[]);
    marks.merge(NOW, &[], &[Fingerprint(1)]);
    assert_eq!(marks.live(NOW), vec![mark(2, 1)]);
    let later = UnixSeconds(NOW.0 + REMEMBERED_FOR.as_secs());
    assert_eq!(marks.live(later), vec![]);
    marks.merge(later, &[], &[]);
    assert_eq!(marks, Marks::default());
}

#[test]
fn the_object_is_bounded_and_read_back_whole() {
    const MOST_BYTES: usize = 64 << 10;
    let mut marks = Marks::default();
    for request in 0..3 * MOST_SHARED as u64 {
        marks.merge(NOW, &[mark(u64::MAX - request, 2)], &[]);
    }
    assert_eq!(marks.by_request.len(), MOST_SHARED);
    let wire = MarksWire::from(&marks);
    assert!(wire.encode().unwrap().len() <= MOST_BYTES);
    assert_eq!(Marks::try_from(wire).unwrap(), marks);
}
