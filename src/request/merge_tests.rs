//! Merging returns the same records as sorting all of them.

use proptest::prelude::*;
use rstest::rstest;

use super::merge_top_records;

fn record(byte: u8) -> Vec<u8> {
    vec![byte; 16]
}

struct Case {
    parts: &'static [&'static [u8]],
    limit: usize,
    wanted: &'static [u8],
}

#[rstest]
#[case::greatest_first(Case { parts: &[&[1, 3], &[2]], limit: 2, wanted: &[3, 2] })]
#[case::equal_records_all_count(Case { parts: &[&[5, 5], &[5]], limit: 2, wanted: &[5, 5] })]
#[case::fewer_than_wanted(Case { parts: &[&[1], &[]], limit: 9, wanted: &[1] })]
#[case::none_wanted(Case { parts: &[&[1]], limit: 0, wanted: &[] })]
#[case::no_parts(Case { parts: &[], limit: 3, wanted: &[] })]
fn parts_are_merged_into_the_greatest_records(#[case] case: Case) {
    let bytes = |part: &[u8]| {
        part.iter()
            .flat_map(|byte| record(*byte))
            .collect::<Vec<u8>>()
    };
    let parts: Vec<Vec<u8>> = case.parts.iter().map(|part| bytes(part)).collect();
    let merged = merge_top_records(parts.iter().map(Vec::as_slice), case.limit);
    assert_eq!(merged, bytes(case.wanted));
}

#[test]
fn a_truncated_record_is_ignored() {
    let mut part = record(1);
    part.extend_from_slice(&[9; 15]);
    assert_eq!(
        merge_top_records(std::iter::once(part.as_slice()), 5),
        record(1)
    );
}

proptest! {
    #[test]
    fn merging_matches_a_full_sort(parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..100), 0..6), limit in 0usize..20) {
        let mut all: Vec<&[u8]> = parts.iter().flat_map(|part| part.chunks_exact(16)).collect();
        all.sort_unstable_by(|one, two| two.cmp(one));
        all.truncate(limit);
        prop_assert_eq!(merge_top_records(parts.iter().map(Vec::as_slice), limit), all.concat());
    }
}
