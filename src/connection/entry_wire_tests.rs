//! What instances of the version before send of large objects is not taken for something else.

use rstest::rstest;

use super::{EntryStateWire, EntryWire, received};
use crate::connection::peer_wire::PeerWireError;

struct Case {
    state: EntryStateWire,
    is_older: bool,
}

/// Guards against an instance that takes an announcement it cannot follow up for a missing change,
/// and stays with its old configuration.
#[rstest]
#[case::announced(Case { state: EntryStateWire::Large(20_000), is_older: true })]
#[case::part(Case {
    state: EntryStateWire::Part { size: 20_000, offset: 0, bytes: vec![1] }, is_older: true,
})]
#[case::small(Case { state: EntryStateWire::Held(vec![1]), is_older: false })]
#[case::chunked(Case {
    state: EntryStateWire::Chunked { size: 20_000, chunks: vec![7] }, is_older: false,
})]
fn large_objects_of_an_older_version_are_an_error(#[case] case: Case) {
    let wire = EntryWire {
        key: "config/main".to_owned(),
        version: 3,
        state: case.state,
    };
    let is_older = matches!(received(vec![wire]), Err(PeerWireError::OlderVersion));
    assert_eq!(is_older, case.is_older);
}
