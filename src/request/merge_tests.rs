//! The joined records are those that a sort of everything would give.

use proptest::prelude::*;
use rstest::rstest;

use super::greatest;

fn record(byte: u8) -> Vec<u8> {
    vec![byte; 16]
}

struct Case {
    parts: &'static [&'static [u8]],
    most: usize,
    wanted: &'static [u8],
}

#[rstest]
#[case::greatest_first(Case { parts: &[&[1, 3], &[2]], most: 2, wanted: &[3, 2] })]
#[case::equal_records_all_count(Case { parts: &[&[5, 5], &[5]], most: 2, wanted: &[5, 5] })]
#[case::fewer_than_wanted(Case { parts: &[&[1], &[]], most: 9, wanted: &[1] })]
#[case::none_wanted(Case { parts: &[&[1]], most: 0, wanted: &[] })]
#[case::no_parts(Case { parts: &[], most: 3, wanted: &[] })]
fn joined(#[case] case: Case) {
    let bytes = |part: &[u8]| {
        part.iter()
            .flat_map(|byte| record(*byte))
            .collect::<Vec<u8>>()
    };
    let parts: Vec<Vec<u8>> = case.parts.iter().map(|part| bytes(part)).collect();
    let joined = greatest(parts.iter().map(Vec::as_slice), case.most);
    assert_eq!(joined, bytes(case.wanted));
}

#[test]
fn a_remainder_is_no_record() {
    let mut part = record(1);
    part.extend_from_slice(&[9; 15]);
    assert_eq!(greatest(std::iter::once(part.as_slice()), 5), record(1));
}

proptest! {
    #[test]
    fn as_if_sorted(parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..100), 0..6), most in 0usize..20) {
        let mut all: Vec<&[u8]> = parts.iter().flat_map(|part| part.chunks_exact(16)).collect();
        all.sort_unstable_by(|one, two| two.cmp(one));
        all.truncate(most);
        prop_assert_eq!(greatest(parts.iter().map(Vec::as_slice), most), all.concat());
    }
}
