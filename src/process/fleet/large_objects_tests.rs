//! A transfer in chunks survives what happens to requests, to the instances that are asked and to
//! the object itself, and never mixes two values.

use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use super::super::ObjectCache;
use super::{Chunk, Entry, EntryState, EntryVersion, LargeObject};
use crate::process::ObjectKey;
use crate::types::{ByteCount, ChunkId, Era, ObjectVersion, Position};

const SIZE: usize = 200 << 10;
/// How many bytes each version changes, at a place of its own.
const CHANGED_BYTES: usize = 200;
const MESSAGE: usize = 30 << 10;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The reply with the next chunks arrives from an instance that holds this version.
    From(u64),
    /// All further replies arrive from an instance that holds this version.
    RestFrom(u64),
    /// The reply is lost on its way.
    Lost,
    /// A late reply of an earlier request arrives a second time.
    Repeated,
    /// A reply arrives with a chunk whose content is not that of its id.
    Damaged(u64),
    /// An instance that holds this version announces it.
    Announced(u64),
    /// The object arrives by another way at this version, small enough for one message.
    SmallAt(u64),
}

struct Case {
    steps: &'static [Step],
    /// The version held in the end, and whether chunks of another are still requested.
    wanted: (u64, bool),
}

/// Versions share all but a few bytes.
fn value(version: u64) -> Vec<u8> {
    let letters = |seed: u64, count: usize| {
        let mut rng = SmallRng::seed_from_u64(seed);
        (0..count)
            .map(|_| rng.random_range(b'a'..=b'z'))
            .collect::<Vec<u8>>()
    };
    let mut value = letters(0, SIZE);
    let at = usize::try_from(version).unwrap() * (20 << 10);
    value[at..at + CHANGED_BYTES].copy_from_slice(&letters(version, CHANGED_BYTES));
    value
}

fn entry(version: u64, value: Vec<u8>) -> Entry {
    Entry {
        key: ObjectKey::new("config/main"),
        version: EntryVersion::new(Era(1), ObjectVersion(version)),
        state: EntryState::Present(Arc::from(value)),
    }
}

fn holder(version: u64) -> ObjectCache {
    let mut holder = ObjectCache::default();
    holder.apply(entry(version, value(version)));
    holder
}

fn reply(follower: &ObjectCache, version: u64) -> Vec<Chunk> {
    holder(version).requested_chunks(&follower.next_chunk_request(), MESSAGE)
}

fn receive(follower: &mut ObjectCache, chunks: &[Chunk]) {
    for complete in follower.add_chunks(chunks) {
        let version = complete.version.object.0;
        assert_eq!(complete, entry(version, value(version)));
        follower.apply(complete);
    }
}

fn announce(follower: &mut ObjectCache, version: u64) {
    for object in holder(version).since(Position(0), MESSAGE).large {
        follower.announce(object);
    }
}

#[rstest]
#[case::one_reply_after_the_other(Case { steps: &[Step::RestFrom(2)], wanted: (2, false) })]
#[case::lost_replies_cost_their_chunks_only(Case {
    steps: &[Step::From(2), Step::Lost, Step::From(2), Step::Lost, Step::RestFrom(2)],
    wanted: (2, false),
})]
#[case::another_instance_goes_on(Case {
    steps: &[Step::From(2), Step::Announced(2), Step::RestFrom(2)],
    wanted: (2, false),
})]
#[case::an_instance_with_another_version_sends_what_is_the_same(Case {
    steps: &[Step::RestFrom(1), Step::RestFrom(2)],
    wanted: (2, false),
})]
#[case::an_instance_with_another_version_alone_is_not_enough(Case {
    steps: &[Step::RestFrom(1)],
    wanted: (0, true),
})]
#[case::a_newer_version_takes_over_what_arrived(Case {
    steps: &[Step::From(2), Step::Announced(3), Step::RestFrom(3)],
    wanted: (3, false),
})]
#[case::an_older_announcement_is_ignored(Case {
    steps: &[Step::From(2), Step::Announced(1), Step::RestFrom(2)],
    wanted: (2, false),
})]
#[case::a_repeated_reply_changes_nothing(Case {
    steps: &[Step::From(2), Step::Repeated, Step::RestFrom(2), Step::Repeated],
    wanted: (2, false),
})]
#[case::a_damaged_chunk_is_requested_again(Case {
    steps: &[Step::Damaged(2), Step::From(2), Step::Damaged(2), Step::RestFrom(2)],
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
    let mut last_reply = Vec::new();
    for step in case.steps {
        match step {
            Step::From(version) => {
                last_reply = reply(&follower, *version);
                receive(&mut follower, &last_reply);
            }
            Step::RestFrom(version) => loop {
                let chunks = reply(&follower, *version);
                if chunks.is_empty() {
                    break;
                }
                receive(&mut follower, &chunks);
            },
            Step::Repeated => receive(&mut follower, &last_reply),
            Step::Damaged(version) => {
                let mut chunks = reply(&follower, *version);
                chunks[0].compressed = Arc::from([1, 2, 3]);
                receive(&mut follower, &chunks);
            }
            Step::Lost => {}
            Step::Announced(version) => announce(&mut follower, *version),
            Step::SmallAt(version) => {
                follower.apply(entry(*version, b"small".to_vec()));
            }
        }
    }
    let held = follower.since(Position(0), MESSAGE);
    let whole = held.entries.iter().map(|entry| entry.version.object.0);
    let large = held.large.iter().map(|object| object.version.object.0);
    let version = whole.chain(large).max().unwrap_or_default();
    assert_eq!((version, follower.has_incoming()), case.wanted);
}

/// Guards against a transfer that begins anew whenever the object changes, and so never ends under
/// a series of changes.
#[test]
fn a_series_of_changes_does_not_begin_a_transfer_anew() {
    let mut follower = ObjectCache::default();
    announce(&mut follower, 1);
    let undisturbed = replies_until_complete(&mut follower.clone(), 1);
    let last = undisturbed + 1;
    for version in 1..last {
        let chunks = reply(&follower, version);
        receive(&mut follower, &chunks);
        announce(&mut follower, version + 1);
    }
    let further = replies_until_complete(&mut follower, last);
    assert!(
        further * 2 <= undisturbed,
        "{further} replies after the last change, {undisturbed} without changes"
    );
}

fn replies_until_complete(follower: &mut ObjectCache, version: u64) -> u64 {
    let mut replies = 0;
    while follower.has_incoming() {
        let chunks = reply(follower, version);
        receive(follower, &chunks);
        replies += 1;
    }
    replies
}

/// Guards against a change of one route that sends the whole configuration again.
#[test]
fn a_small_change_requests_few_chunks() {
    let mut follower = holder(2);
    announce(&mut follower, 3);
    let requested = follower.next_chunk_request();
    assert!((1..=4).contains(&requested.len()), "{}", requested.len());
}

/// A sender that announces more than a value may have costs no memory.
#[rstest]
#[case::too_many_bytes(u64::MAX, 1)]
#[case::more_chunks_than_bytes(10, 11)]
fn an_object_beyond_the_size_limit_is_not_requested(#[case] size: u64, #[case] chunks: usize) {
    let mut follower = ObjectCache::default();
    follower.announce(LargeObject {
        key: ObjectKey::new("config/main"),
        version: EntryVersion::new(Era(1), ObjectVersion(1)),
        kept: None,
        size: ByteCount(size),
        chunks: (0..).map(ChunkId).take(chunks).collect(),
    });
    assert_eq!(follower.next_chunk_request(), []);
}
