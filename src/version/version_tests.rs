//! Objects of the platform are decoded completely or rejected with the reason, and a directory
//! never returns to an older version.

use rstest::rstest;

use super::{
    Class, ClassWire, Directory, Index, IndexWire, ShardWire, SnapshotWire, UpstreamWire, WireError,
};
use crate::types::{ConfigVersion, ObjectVersion, SnapshotId};

fn index_wire(ranges: &[&str], replica: &str) -> IndexWire {
    let shards = (0..)
        .zip(ranges)
        .map(|(id, range)| ShardWire {
            id,
            range: (*range).to_owned(),
            replicas: vec![replica.to_owned()],
        })
        .collect();
    IndexWire {
        name: "pattern-finder".to_owned(),
        upstreams: vec![UpstreamWire {
            name: "a".to_owned(),
            addr: "127.0.0.1:1".to_owned(),
            failure_domain: "suva-a".to_owned(),
            slots: 2,
            connections: 25,
            connect_cost: "6ms".to_owned(),
            leaving: false,
        }],
        snapshots: vec![SnapshotWire { id: 1, shards }],
    }
}

struct Case {
    ranges: &'static [&'static str],
    replica: &'static str,
    wanted: Result<usize, &'static str>,
}

#[rstest]
#[case::one_shard(Case { ranges: &["00000000-ffffffff"], replica: "a", wanted: Ok(1) })]
#[case::two_shards(Case {
    ranges: &["00000000-7fffffff", "80000000-ffffffff"], replica: "a", wanted: Ok(2),
})]
#[case::gap(Case {
    ranges: &["00000000-7ffffffe", "80000000-ffffffff"], replica: "a", wanted: Err("every key"),
})]
#[case::overlap(Case {
    ranges: &["00000000-ffffffff", "80000000-ffffffff"], replica: "a", wanted: Err("every key"),
})]
#[case::no_shards(Case { ranges: &[], replica: "a", wanted: Err("every key") })]
#[case::unknown_upstream(Case { ranges: &["00000000-ffffffff"], replica: "b", wanted: Err("unknown") })]
fn an_index_is_decoded_completely_or_rejected(#[case] case: Case) {
    let wire = index_wire(case.ranges, case.replica);
    let decoded = Index::try_from((&wire, ObjectVersion(1)));
    match (decoded, case.wanted) {
        (Ok(index), Ok(shards)) => assert_eq!(index.snapshots[0].shards.len(), shards),
        (Err(error), Err(message)) => assert!(error.to_string().contains(message), "{error}"),
        (decoded, wanted) => panic!("decoded {decoded:?}, wanted {wanted:?}"),
    }
}

#[test]
fn the_newest_snapshot_comes_first_in_any_listed_order() {
    let mut wire = index_wire(&["00000000-ffffffff"], "a");
    wire.snapshots.push(SnapshotWire {
        id: 7,
        ..wire.snapshots[0].clone()
    });
    let index = Index::try_from((&wire, ObjectVersion(1))).unwrap();
    assert_eq!(index.snapshots[0].id, SnapshotId(7));
}

#[test]
fn a_directory_rejects_older_versions() {
    let wire = index_wire(&["00000000-ffffffff"], "a");
    let older = Index::try_from((&wire, ObjectVersion(3))).unwrap();
    let newer = Index::try_from((&wire, ObjectVersion(4))).unwrap();
    let directory = Directory::default().with_index(newer).unwrap();
    assert_eq!(directory.with_index(older), None);
    let directory = directory
        .with_classes(ConfigVersion(2), Vec::new())
        .unwrap();
    assert_eq!(directory.with_classes(ConfigVersion(2), Vec::new()), None);
    assert_eq!(directory.with_classes(ConfigVersion(1), Vec::new()), None);
}

#[test]
fn a_class_round_trips_and_an_invalid_field_is_named() {
    let wire = ClassWire {
        name: "counter".to_owned(),
        index: "pattern-finder".to_owned(),
        latency: "170ms".to_owned(),
        coverage: "99.5%".to_owned(),
        extra_load: "5%".to_owned(),
        repeatable: true,
        change: 0,
    };
    let class = Class::try_from(&wire).unwrap();
    assert_eq!(ClassWire::from(&class), wire);
    let bad = ClassWire {
        latency: "soon".to_owned(),
        ..wire
    };
    let error = Class::try_from(&bad).unwrap_err();
    assert!(matches!(
        error,
        WireError::Field {
            field: "latency",
            ..
        }
    ));
}
