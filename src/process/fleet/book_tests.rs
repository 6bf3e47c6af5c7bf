//! What several tellers state of an object never makes it go back.

use std::sync::Arc;

use rstest::rstest;

use super::{Book, Entry, EntryState};
use crate::process::ObjectKey;
use crate::types::{ObjectVersion, Position, Revision};

const MOST_BYTES: usize = 1 << 20;

#[derive(Clone, Copy)]
enum Say {
    Held(u64),
    Gone(u64),
    Lapsed(u64),
}

fn key() -> ObjectKey {
    ObjectKey::new("replicas/a")
}

fn entry(say: Say) -> Entry {
    let (version, state) = match say {
        Say::Held(version) => (version, EntryState::Held(Arc::from(version.to_le_bytes()))),
        Say::Gone(version) => (version, EntryState::Gone),
        Say::Lapsed(version) => (version, EntryState::Lapsed),
    };
    Entry {
        key: key(),
        version: ObjectVersion(version),
        state,
    }
}

struct Case {
    said: &'static [Say],
    wanted: Say,
}

#[rstest]
#[case::newer_wins(Case { said: &[Say::Held(1), Say::Held(2)], wanted: Say::Held(2) })]
#[case::an_old_statement_comes_late(Case { said: &[Say::Held(2), Say::Held(1)], wanted: Say::Held(2) })]
#[case::gone_after_its_last_version(Case { said: &[Say::Held(2), Say::Gone(2)], wanted: Say::Gone(2) })]
#[case::gone_stays_gone(Case { said: &[Say::Held(2), Say::Gone(2), Say::Held(2)], wanted: Say::Gone(2) })]
#[case::made_again(Case { said: &[Say::Gone(2), Say::Held(3)], wanted: Say::Held(3) })]
#[case::lapsed_then_back(Case { said: &[Say::Held(2), Say::Lapsed(2), Say::Held(5)], wanted: Say::Held(5) })]
#[case::lapsed_then_gone(Case { said: &[Say::Lapsed(2), Say::Gone(2)], wanted: Say::Gone(2) })]
#[case::gone_is_not_taken_back(Case { said: &[Say::Gone(2), Say::Lapsed(2)], wanted: Say::Gone(2) })]
fn never_back(#[case] case: Case) {
    let mut book = Book::default();
    for say in case.said {
        book.learn(entry(*say));
    }
    let (told, _) = book.since(Position(0), MOST_BYTES);
    assert_eq!(told, [entry(case.wanted)]);
}

#[test]
fn a_listing_removes_only_what_it_could_have_seen() {
    let mut book = Book::default();
    book.learn(entry(Say::Held(5)));
    assert!(book.missing("replicas/", &[], Revision(4)).is_empty());
    assert_eq!(book.missing("replicas/", &[], Revision(5)), [key()]);
    assert!(book.missing("replicas/", &[key()], Revision(9)).is_empty());
    assert!(book.missing("other/", &[], Revision(9)).is_empty());
}

#[test]
fn a_long_telling_goes_on_where_it_stopped() {
    let mut book = Book::default();
    for at in 0..10_u64 {
        book.learn(Entry {
            key: ObjectKey::new(format!("replicas/{at}")),
            version: ObjectVersion(at),
            state: EntryState::Held(Arc::from(vec![0; 100])),
        });
    }
    let mut from = Position(0);
    let mut told = Vec::new();
    while from < book.end() {
        let (more, up_to) = book.since(from, 250);
        assert!(up_to > from);
        told.extend(more);
        from = up_to;
    }
    assert_eq!(told.len(), 10);
}
