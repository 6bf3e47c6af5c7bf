//! A transfer in parts survives what happens to requests and to the instances that are asked,
//! and never mixes two values.

use std::sync::Arc;

use rstest::rstest;

use super::super::ObjectCache;
use super::{Entry, EntryState, LargeObject, ObjectPart};
use crate::process::ObjectKey;
use crate::types::{ByteCount, ObjectVersion, Position};

const SIZE: u64 = 100 << 10;
const PART: usize = 30 << 10;
const MESSAGE: usize = 64 << 10;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The reply with the next part arrives from an instance that holds this version.
    From(u64),
    /// The reply is lost on its way.
    Lost,
    /// A late reply of an earlier request arrives a second time.
    Repeated,
    /// An instance that holds this version announces it.
    Announced(u64),
    /// The object arrives by another way at this version, small enough for one message.
    SmallAt(u64),
}

struct Case {
    steps: &'static [Step],
    /// The version held in the end, and whether a part of another is still requested.
    wanted: (u64, bool),
}

fn value(version: u64) -> Vec<u8> {
    let byte = |at: u64| u8::try_from((at + version * 7) % 251).unwrap();
    (0..SIZE + version).map(byte).collect()
}

fn entry(version: u64, value: Vec<u8>) -> Entry {
    Entry {
        key: ObjectKey::new("config/main"),
        version: ObjectVersion(version),
        state: EntryState::Present(Arc::from(value)),
    }
}

fn holder(version: u64) -> ObjectCache {
    let mut holder = ObjectCache::default();
    holder.apply(entry(version, value(version)));
    holder
}

fn reply(follower: &ObjectCache, version: u64) -> Option<ObjectPart> {
    let request = follower.next_part_request()?;
    holder(version).part(&request, PART)
}

#[rstest]
#[case::one_part_after_the_other(Case {
    steps: &[Step::From(2), Step::From(2), Step::From(2), Step::From(2)],
    wanted: (2, false),
})]
#[case::lost_replies_cost_one_part_each(Case {
    steps: &[Step::From(2), Step::Lost, Step::From(2), Step::Lost, Step::From(2), Step::From(2)],
    wanted: (2, false),
})]
#[case::another_instance_goes_on(Case {
    steps: &[Step::From(2), Step::From(2), Step::Announced(2), Step::From(2), Step::From(2)],
    wanted: (2, false),
})]
#[case::an_instance_without_the_version_changes_nothing(Case {
    steps: &[Step::From(2), Step::From(1), Step::From(2), Step::From(1), Step::From(2), Step::From(2)],
    wanted: (2, false),
})]
#[case::a_newer_version_replaces_what_arrived(Case {
    steps: &[Step::From(2), Step::Announced(3), Step::From(3), Step::From(3), Step::From(3), Step::From(3)],
    wanted: (3, false),
})]
#[case::a_newer_version_that_was_not_announced(Case {
    steps: &[Step::From(2), Step::From(3), Step::From(3), Step::From(3), Step::From(3)],
    wanted: (3, false),
})]
#[case::an_older_announcement_is_ignored(Case {
    steps: &[Step::From(2), Step::From(2), Step::Announced(1), Step::From(2), Step::From(2)],
    wanted: (2, false),
})]
#[case::a_repeated_reply_is_ignored(Case {
    steps: &[Step::From(2), Step::Repeated, Step::From(2), Step::From(2), Step::From(2)],
    wanted: (2, false),
})]
#[case::a_small_newer_version_ends_the_transfer(Case {
    steps: &[Step::From(2), Step::SmallAt(3)],
    wanted: (3, false),
})]
#[case::a_small_older_version_does_not(Case {
    steps: &[Step::From(2), Step::SmallAt(1)],
    wanted: (1, true),
})]
#[case::cut_off_halfway(Case { steps: &[Step::From(2), Step::Lost], wanted: (0, true) })]
fn a_large_object_arrives_whole_or_not_at_all(#[case] case: Case) {
    let mut follower = ObjectCache::default();
    announce(&mut follower, 2);
    let mut last_part = None;
    for step in case.steps {
        let part = match step {
            Step::From(version) => reply(&follower, *version),
            Step::Repeated => last_part.clone(),
            Step::Lost => None,
            Step::Announced(version) => {
                announce(&mut follower, *version);
                None
            }
            Step::SmallAt(version) => {
                follower.apply(entry(*version, b"small".to_vec()));
                None
            }
        };
        last_part.clone_from(&part);
        let complete = part.and_then(|part| follower.add_part(&part));
        if let Some(complete) = complete {
            let version = complete.version.0;
            assert_eq!(complete, entry(version, value(version)));
            follower.apply(complete);
        }
    }
    let held = follower.since(Position(0), MESSAGE);
    let whole = held.entries.iter().map(|entry| entry.version.0);
    let large = held.large.iter().map(|object| object.version.0);
    let version = whole.chain(large).max().unwrap_or_default();
    assert_eq!((version, follower.has_incoming()), case.wanted);
}

fn announce(follower: &mut ObjectCache, version: u64) {
    for object in holder(version).since(Position(0), MESSAGE).large {
        follower.announce(object);
    }
}

/// A sender that announces more than a value may have costs no memory.
#[test]
fn an_object_beyond_the_size_limit_is_not_requested() {
    let mut follower = ObjectCache::default();
    follower.announce(LargeObject {
        key: ObjectKey::new("config/main"),
        version: ObjectVersion(1),
        size: ByteCount(u64::MAX),
    });
    assert_eq!(follower.next_part_request(), None);
}
