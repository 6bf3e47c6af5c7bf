//! A release, a reshard or the start of a fleet changes hundreds of objects at once; they
//! are applied in few batches. Changes of an object count in the order in which the store made them.

use std::sync::Arc;

use async_std::task::block_on;
use rstest::rstest;
use serde_json::json;

use super::{PrefixReader, batches, entries_of_listing, entry_of, present_entry};
use crate::process::fleet::delegate::UpdateRole;
use crate::process::fleet::slow_link_tests::start_node_with;
use crate::process::fleet::{DecodedObject, EntryState, ObjectCache, ObjectDecoder, WriterOrder};
use crate::process::platform::fake::FakePlatform;
use crate::process::{Change, Listing, Object, ObjectKey, PlatformError};
use crate::types::{Era, ObjectVersion, Position, Revision};

const ERA: Era = Era(1);

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
        version: ObjectVersion(1),
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

/// A way in which this instance learns of the object.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Another instance, such as a delegate, passes on that it is present.
    Passed(u64),
    /// The instance's own watch reports these changes.
    Watched(&'static [Watched]),
    /// A listing at this revision lacks it.
    ListedWithout(u64),
}

#[derive(Clone, Copy, Debug)]
enum Watched {
    Present(u64),
    Deleted(u64),
}

struct OrderCase {
    steps: &'static [Step],
    /// The version at which the object is present in the end, if it is.
    present: Option<u64>,
}

fn object(version: u64) -> Object {
    Object {
        key: ObjectKey::new("servers/a"),
        version: ObjectVersion(version),
        value: b"{}".to_vec(),
    }
}

/// Guards against a deletion that is read late and outranks the registration after it, which loses
/// all replicas for good after an outage of the store, and against one that an older registration
/// undoes.
#[rstest]
#[case::a_delegate_tells_of_the_registration_first(OrderCase {
    steps: &[Step::Passed(2), Step::Passed(5), Step::Watched(&[Watched::Deleted(3), Watched::Present(5)])],
    present: Some(5),
})]
#[case::the_deletion_alone_comes_late(OrderCase {
    steps: &[Step::Passed(5), Step::Watched(&[Watched::Deleted(3)])], present: Some(5),
})]
#[case::the_registration_comes_from_another(OrderCase {
    steps: &[Step::Passed(2), Step::Watched(&[Watched::Deleted(3)]), Step::Passed(5)], present: Some(5),
})]
#[case::a_listing_before_the_registration(OrderCase {
    steps: &[Step::Passed(5), Step::ListedWithout(4)], present: Some(5),
})]
#[case::deleted(OrderCase {
    steps: &[Step::Passed(2), Step::Watched(&[Watched::Deleted(3)])], present: None,
})]
#[case::an_old_registration_after_the_deletion(OrderCase {
    steps: &[Step::Watched(&[Watched::Deleted(3)]), Step::Passed(2)], present: None,
})]
#[case::an_old_registration_after_the_listing(OrderCase {
    steps: &[Step::Passed(2), Step::ListedWithout(4), Step::Passed(3)], present: None,
})]
fn changes_count_in_the_order_of_the_store(
    #[case] case: OrderCase,
    #[values(EntryState::Lapsed, EntryState::Gone(None))] deleted: EntryState,
) {
    let mut object_cache = ObjectCache::new(1);
    for step in case.steps {
        let entries = match *step {
            Step::Passed(version) => vec![present_entry(object(version), ERA)],
            Step::Watched(changes) => {
                let change = |watched: &Watched| match *watched {
                    Watched::Present(version) => (version, Some(object(version))),
                    Watched::Deleted(version) => (version, None),
                };
                let changes = changes.iter().map(change).map(|(version, object)| Change {
                    key: ObjectKey::new("servers/a"),
                    version: ObjectVersion(version),
                    object,
                });
                changes
                    .map(|change| entry_of(change, ERA, &deleted))
                    .collect()
            }
            Step::ListedWithout(revision) => {
                let listing = Listing {
                    era: ERA,
                    revision: Revision(revision),
                    objects: Vec::new(),
                };
                entries_of_listing(&object_cache, &NoObjects, "servers", listing, &deleted)
            }
        };
        for entry in entries {
            object_cache.apply(entry);
        }
    }
    let known = object_cache.since(Position::default(), usize::MAX).entries;
    let present = known
        .iter()
        .find(|entry| matches!(entry.state, EntryState::Present(_)));
    assert_eq!(present.map(|entry| entry.version.object.0), case.present);
}

/// Lets an instance follow no objects, so that only the test reads the store.
#[derive(Debug)]
struct NoObjects;

impl ObjectDecoder for NoObjects {
    fn prefixes(&self) -> &'static [&'static str] {
        &[]
    }

    fn read(&self, _key: &ObjectKey, _value: &[u8]) -> Result<DecodedObject, PlatformError> {
        Err(PlatformError::Protocol("no object is used".to_owned()))
    }

    fn writer_order(&self, _key: &ObjectKey, _value: &[u8]) -> Option<WriterOrder> {
        None
    }

    fn outlives_copy(&self, _key: &ObjectKey) -> bool {
        false
    }
}

struct TakeoverCase {
    /// The part of the instance in whose place this one reads the store.
    asked_by: Option<UpdateRole>,
    wanted: EntryState,
}

/// Guards against replicas that an instance drops at once when it begins to read the store in an
/// outage that it has not seen itself, since their entries lapsed; and against replicas that get
/// requests for seconds after they left, because an instance on the way to the reader was cut off.
#[rstest]
#[case::in_the_place_of_the_reader(TakeoverCase { asked_by: Some(UpdateRole::Reader), wanted: EntryState::Lapsed })]
#[case::in_the_place_of_one_that_is_cut_off(TakeoverCase { asked_by: Some(UpdateRole::Relay), wanted: EntryState::Gone(None) })]
#[case::by_itself(TakeoverCase { asked_by: None, wanted: EntryState::Gone(None) })]
fn a_delegate_takes_missing_entries_for_lapsed(#[case] case: TakeoverCase) {
    block_on(async {
        let store = Arc::new(FakePlatform::default());
        let version = store.set("servers/a", &json!({"version": 1}));
        let addr = "127.0.0.1:1".parse().unwrap();
        let decoder = Box::new(NoObjects);
        let node = start_node_with("n", addr, Vec::new(), Arc::clone(&store), decoder);
        // Learned from another instance, so that the store has not confirmed it here.
        node.apply_entries(vec![present_entry(object(version.0), Era::default())]);
        store.remove("servers/a");
        if let Some(role) = case.asked_by {
            let (now, other) = (node.clock.now(), "other".parse().unwrap());
            node.fleet.lock().on_followed(now, &other, role);
        }
        PrefixReader::new(&node, "servers").read().await.unwrap();
        let changes = node
            .object_cache
            .lock()
            .since(Position::default(), usize::MAX);
        let mut entries = changes.entries.into_iter();
        let entry = entries.find(|entry| entry.key == ObjectKey::new("servers/a"));
        assert_eq!(entry.map(|entry| entry.state), Some(case.wanted));
    });
}
