//! Updates about an object from several sources never take it back to an older version.

use std::sync::Arc;

use rstest::rstest;

use super::{Entry, EntryVersion, ObjectCache};
use crate::process::ObjectKey;
use crate::process::fleet::EntryState;
use crate::types::{Era, ObjectVersion, Position};

const MAX_BYTES: usize = 1 << 20;

#[derive(Clone, Copy)]
enum Update {
    Present(u64),
    Gone(u64),
    Lapsed(u64),
}

fn key() -> ObjectKey {
    ObjectKey::new("replicas/a")
}

fn entry(update: Update) -> Entry {
    let (version, state) = match update {
        Update::Present(version) => (
            version,
            EntryState::Present(Arc::from(version.to_le_bytes())),
        ),
        Update::Gone(version) => (version, EntryState::Gone(None)),
        Update::Lapsed(version) => (version, EntryState::Lapsed),
    };
    Entry {
        key: key(),
        version: at(version),
        state,
    }
}

fn at(version: u64) -> EntryVersion {
    EntryVersion::new(Era(1), ObjectVersion(version))
}

struct Case {
    updates: &'static [Update],
    wanted: Update,
}

#[rstest]
#[case::newer_wins(Case { updates: &[Update::Present(1), Update::Present(2)], wanted: Update::Present(2) })]
#[case::older_version_arrives_late(Case { updates: &[Update::Present(2), Update::Present(1)], wanted: Update::Present(2) })]
#[case::gone_after_its_last_version(Case { updates: &[Update::Present(2), Update::Gone(2)], wanted: Update::Gone(2) })]
#[case::gone_stays_gone(Case { updates: &[Update::Present(2), Update::Gone(2), Update::Present(2)], wanted: Update::Gone(2) })]
#[case::recreated(Case { updates: &[Update::Gone(2), Update::Present(3)], wanted: Update::Present(3) })]
#[case::lapsed_then_back(Case { updates: &[Update::Present(2), Update::Lapsed(2), Update::Present(5)], wanted: Update::Present(5) })]
#[case::lapsed_then_gone(Case { updates: &[Update::Lapsed(2), Update::Gone(2)], wanted: Update::Gone(2) })]
#[case::gone_is_not_undone_by_lapsed(Case { updates: &[Update::Gone(2), Update::Lapsed(2)], wanted: Update::Gone(2) })]
fn an_object_never_goes_back_to_an_older_version(#[case] case: Case) {
    let mut object_cache = ObjectCache::default();
    for update in case.updates {
        object_cache.apply(entry(*update));
    }
    let sent = object_cache.since(Position(0), MAX_BYTES);
    assert_eq!(sent.entries, [entry(case.wanted)]);
}

#[test]
fn a_listing_removes_only_what_it_could_have_seen() {
    let mut object_cache = ObjectCache::default();
    object_cache.apply(entry(Update::Present(5)));
    assert!(
        object_cache
            .missing_from_listing("replicas/", &[], at(4))
            .is_empty()
    );
    assert_eq!(
        object_cache.missing_from_listing("replicas/", &[], at(5)),
        [&entry(Update::Present(5))]
    );
    assert!(
        object_cache
            .missing_from_listing("replicas/", &[key()], at(9))
            .is_empty()
    );
    assert!(
        object_cache
            .missing_from_listing("other/", &[], at(9))
            .is_empty()
    );
}

#[test]
fn updates_beyond_the_limit_continue_where_they_stopped() {
    let mut object_cache = ObjectCache::default();
    for at in 0..10_u64 {
        object_cache.apply(Entry {
            key: ObjectKey::new(format!("replicas/{at}")),
            version: self::at(at),
            state: EntryState::Present(Arc::from(vec![0; 100])),
        });
    }
    let mut from = Position(0);
    let mut sent = Vec::new();
    while from < object_cache.last_position() {
        let batch = object_cache.since(from, 250);
        assert!(batch.up_to > from);
        assert_eq!(
            batch.is_complete,
            batch.up_to == object_cache.last_position()
        );
        sent.extend(batch.entries);
        from = batch.up_to;
    }
    assert_eq!(sent.len(), 10);
}
