//! What is known of a configuration or a replica while the store comes back from older copies, in
//! whichever order its states arrive.

use std::sync::Arc;

use rstest::rstest;

use super::{WriterOrder, reconcile, state_of_missing};
use crate::process::fleet::{
    DecodedObject, Entry, EntryState, EntryVersion, ObjectCache, ObjectDecoder,
};
use crate::process::{ObjectKey, PlatformError};
use crate::types::{Era, ObjectVersion, Position};

/// Takes the one byte of a value for its place in the order of its writer.
#[derive(Debug)]
struct Bytes;

impl ObjectDecoder for Bytes {
    fn prefixes(&self) -> &'static [&'static str] {
        &["config/", "servers/"]
    }

    fn read(&self, _key: &ObjectKey, _value: &[u8]) -> Result<DecodedObject, PlatformError> {
        Err(PlatformError::Protocol("no object is used".to_owned()))
    }

    fn writer_order(&self, _key: &ObjectKey, value: &[u8]) -> Option<WriterOrder> {
        let number = u64::from(*value.first()?);
        Some(WriterOrder { started: 0, number })
    }

    fn outlives_copy(&self, key: &ObjectKey) -> bool {
        key.is_under("config/")
    }
}

const CONFIG: &str = "config/main";
const REPLICA: &str = "servers/i-1";

/// One thing that the instance hears, by its own reading or from another instance: the era, the
/// store's version and, if the object exists, the number that its writer gave the state.
#[derive(Clone, Copy, Debug)]
enum Step {
    Present(u64, u64, u8),
    Kept(u64, u64, u8),
    Gone(u64, u64),
    /// The same, from an instance that knows the number of its last state.
    GoneAfter(u64, u64, u8),
    Lapsed(u64, u64),
    /// A listing lacks the object.
    Missing(u64, u64),
}
use Step::{Gone, GoneAfter, Kept, Lapsed, Missing, Present};

struct Case {
    key: &'static str,
    steps: &'static [Step],
    wanted: Step,
}

fn value(number: u8) -> Arc<[u8]> {
    Arc::from([number])
}

fn order(number: u8) -> WriterOrder {
    WriterOrder {
        started: 0,
        number: u64::from(number),
    }
}

fn entry(key: &str, step: Step) -> Entry {
    let (era, version, state) = match step {
        Present(era, version, number) => (era, version, EntryState::Present(value(number))),
        Kept(era, version, number) => {
            (era, version, EntryState::Kept(value(number), order(number)))
        }
        Gone(era, version) | Missing(era, version) => (era, version, EntryState::Gone(None)),
        GoneAfter(era, version, number) => (era, version, EntryState::Gone(Some(order(number)))),
        Lapsed(era, version) => (era, version, EntryState::Lapsed),
    };
    Entry {
        key: ObjectKey::new(key),
        version: EntryVersion::new(Era(era), ObjectVersion(version)),
        state,
    }
}

/// Guards against an object whose changes are ignored after the store came back from a copy, since
/// its revisions are below those from before, and against one that goes back to what the copy holds.
#[rstest]
#[case::one_era(Case {
    key: CONFIG, steps: &[Present(1, 5, 1), Present(1, 7, 2)], wanted: Present(1, 7, 2),
})]
#[case::a_store_without_eras(Case {
    key: CONFIG, steps: &[Present(0, 7, 2), Present(0, 5, 1)], wanted: Present(0, 7, 2),
})]
#[case::changed_at_a_lower_revision(Case {
    key: CONFIG, steps: &[Present(1, 110, 9), Present(2, 108, 11)], wanted: Present(2, 108, 11),
})]
#[case::the_copy_holds_an_older_one(Case {
    key: CONFIG, steps: &[Present(1, 110, 9), Present(2, 100, 7)], wanted: Kept(2, 100, 9),
})]
#[case::written_again(Case {
    key: CONFIG, steps: &[Present(1, 110, 9), Present(2, 100, 7), Present(2, 104, 9)],
    wanted: Present(2, 104, 9),
})]
#[case::written_again_step_by_step(Case {
    key: CONFIG, steps: &[Present(1, 110, 9), Present(2, 100, 7), Present(2, 104, 8)],
    wanted: Kept(2, 104, 9),
})]
#[case::two_drills(Case {
    key: CONFIG, steps: &[Present(1, 110, 9), Present(2, 100, 7), Present(3, 90, 6)],
    wanted: Kept(3, 90, 9),
})]
#[case::the_copy_lacks_the_configuration(Case {
    key: CONFIG, steps: &[Present(1, 110, 9), Missing(2, 100)], wanted: Kept(2, 100, 9),
})]
#[case::it_is_still_lacking(Case {
    key: CONFIG, steps: &[Present(1, 110, 9), Missing(2, 100), Missing(2, 103)],
    wanted: Kept(2, 103, 9),
})]
#[case::a_late_answer_of_the_earlier_era(Case {
    key: CONFIG, steps: &[Present(2, 100, 7), Present(1, 110, 9)], wanted: Present(2, 100, 7),
})]
#[case::another_instance_kept_a_newer_one(Case {
    key: CONFIG, steps: &[Present(2, 100, 7), Kept(2, 100, 9)], wanted: Kept(2, 100, 9),
})]
#[case::another_instance_knew_less(Case {
    key: CONFIG, steps: &[Kept(2, 100, 9), Kept(2, 100, 8)], wanted: Kept(2, 100, 9),
})]
#[case::another_instance_knew_more(Case {
    key: CONFIG, steps: &[Kept(2, 100, 8), Kept(2, 100, 9)], wanted: Kept(2, 100, 9),
})]
#[case::a_newcomer_hears_what_was_kept_and_then_the_copy(Case {
    key: CONFIG, steps: &[Kept(2, 100, 9), Present(2, 100, 7)], wanted: Kept(2, 100, 9),
})]
#[case::known_from_the_version_before(Case {
    key: REPLICA, steps: &[Gone(0, 110), Present(2, 100, 7)], wanted: Present(2, 100, 7),
})]
#[case::a_replica_that_drains(Case {
    key: REPLICA, steps: &[Present(1, 110, 9), Present(2, 100, 4)], wanted: Kept(2, 100, 9),
})]
#[case::it_reports_again(Case {
    key: REPLICA, steps: &[Present(1, 110, 9), Present(2, 100, 4), Present(2, 101, 12)],
    wanted: Present(2, 101, 12),
})]
#[case::it_leaves(Case {
    key: REPLICA, steps: &[Present(1, 110, 9), Present(2, 100, 4), Gone(2, 101)],
    wanted: GoneAfter(2, 101, 9),
})]
#[case::it_leaves_before_it_is_listed_again(Case {
    key: REPLICA, steps: &[Present(1, 110, 9), Present(2, 100, 4), Missing(2, 103)],
    wanted: GoneAfter(2, 103, 9),
})]
#[case::a_replica_that_the_copy_lacks(Case {
    key: REPLICA, steps: &[Present(1, 110, 9), Missing(2, 100)], wanted: Lapsed(2, 100),
})]
#[case::it_registers_again(Case {
    key: REPLICA, steps: &[Present(1, 110, 9), Missing(2, 100), Present(2, 102, 9)],
    wanted: Present(2, 102, 9),
})]
#[case::a_replica_that_left(Case {
    key: REPLICA, steps: &[Present(1, 105, 4), Gone(1, 110), Present(2, 100, 4)],
    wanted: GoneAfter(2, 100, 4),
})]
#[case::it_left_before_this_instance_started(Case {
    key: REPLICA, steps: &[GoneAfter(1, 110, 4), Present(2, 100, 4)], wanted: GoneAfter(2, 100, 4),
})]
#[case::it_registered_again_before_the_listing(Case {
    key: REPLICA, steps: &[GoneAfter(1, 110, 4), Present(2, 100, 5)], wanted: Present(2, 100, 5),
})]
#[case::nobody_knows_its_last_report(Case {
    key: REPLICA, steps: &[Gone(1, 110), Present(2, 100, 5)], wanted: Present(2, 100, 5),
})]
#[case::it_started_again_under_its_id(Case {
    key: REPLICA, steps: &[Present(1, 105, 4), Gone(1, 110), Present(2, 100, 5)],
    wanted: Present(2, 100, 5),
})]
#[case::it_is_listed_twice(Case {
    key: REPLICA, steps: &[Present(1, 105, 4), Gone(1, 110), Present(2, 100, 4), Present(3, 90, 3)],
    wanted: GoneAfter(3, 90, 4),
})]
#[case::it_is_deleted_twice(Case {
    key: REPLICA, steps: &[Present(1, 105, 4), Gone(1, 110), Gone(1, 112), Present(2, 100, 4)],
    wanted: GoneAfter(2, 100, 4),
})]
#[case::lapsed_before(Case {
    key: REPLICA, steps: &[Present(1, 105, 4), Lapsed(1, 110), Present(2, 100, 4)],
    wanted: Present(2, 100, 4),
})]
fn what_is_true_outlives_a_copy_of_the_store(#[case] case: Case) {
    let mut object_cache = ObjectCache::new(2);
    for step in case.steps {
        let mut heard = entry(case.key, *step);
        if let Missing(..) = step {
            let missing = object_cache.missing_from_listing(case.key, &[], heard.version);
            let era = heard.version.era;
            let known = missing.first().expect("the object is known");
            heard.state = state_of_missing(&Bytes, known, era, &EntryState::Gone(None));
        }
        if let Some(known) = object_cache.known(&heard.key) {
            heard = reconcile(&Bytes, known, heard);
        }
        object_cache.apply(heard);
    }
    let known = object_cache.since(Position::default(), usize::MAX);
    assert_eq!(known.entries, [entry(case.key, case.wanted)]);
}
