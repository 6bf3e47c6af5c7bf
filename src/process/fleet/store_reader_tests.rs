//! A release, a reshard or the start of a fleet changes hundreds of objects at once; they
//! are applied in few batches.

use rstest::rstest;

use super::batches;
use crate::process::{Change, Object, ObjectKey};
use crate::types::ObjectVersion;

struct Case {
    /// The keys that change, in order; a leading minus marks a deletion.
    changes: &'static [&'static str],
    wanted: &'static [&'static [&'static str]],
}

fn change(text: &&str) -> Change {
    let (name, deleted) = match text.strip_prefix('-') {
        Some(name) => (name, true),
        None => (*text, false),
    };
    let key = ObjectKey::new(format!("servers/{name}"));
    let object = Object {
        key: key.clone(),
        version: ObjectVersion(1),
        value: b"{}".to_vec(),
    };
    Change {
        key,
        object: (!deleted).then_some(object),
    }
}

#[rstest]
#[case::nothing(Case { changes: &[], wanted: &[] })]
#[case::a_release(Case { changes: &["a", "-b", "c"], wanted: &[&["a", "-b", "c"]] })]
#[case::made_and_deleted(Case {
    changes: &["a", "b", "-a", "c"], wanted: &[&["a", "b"], &["-a", "c"]],
})]
#[case::a_key_that_flaps(Case {
    changes: &["a", "-a", "a"], wanted: &[&["a"], &["-a"], &["a"]],
})]
fn changes_are_batched_in_order(#[case] case: Case) {
    let changes: Vec<Change> = case.changes.iter().map(change).collect();
    let wanted: Vec<Vec<Change>> = case
        .wanted
        .iter()
        .map(|batch| batch.iter().map(change).collect())
        .collect();
    assert_eq!(batches(changes), wanted);
}
