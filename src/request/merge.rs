//! Merges the records of all shards into one answer.

/// Size of a record. A shorter remainder at the end of a part is ignored.
const RECORD_BYTES: usize = 16;

/// Returns the greatest `limit` records of all parts, greatest first, compared byte by
/// byte. Equal records are all kept and each counts towards the limit.
pub(crate) fn merge_top_records<'a>(
    parts: impl Iterator<Item = &'a [u8]>,
    limit: usize,
) -> Vec<u8> {
    let mut records: Vec<&[u8]> = parts
        .flat_map(|part| part.chunks_exact(RECORD_BYTES))
        .collect();
    if records.len() > limit && limit > 0 {
        records.select_nth_unstable_by(limit - 1, |one, two| two.cmp(one));
    }
    records.truncate(limit);
    records.sort_unstable_by(|one, two| two.cmp(one));
    records.concat()
}

#[cfg(test)]
#[path = "merge_tests.rs"]
mod merge_tests;
