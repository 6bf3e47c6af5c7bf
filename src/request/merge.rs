//! The joining of shards' records into one answer.

/// Every record has so many bytes; a shorter remainder of a part is none.
const RECORD_BYTES: usize = 16;

/// The greatest `most` records of all parts, greatest first, compared byte by byte. Equal
/// records all count.
pub(crate) fn greatest<'a>(parts: impl Iterator<Item = &'a [u8]>, most: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> = parts
        .flat_map(|part| part.chunks_exact(RECORD_BYTES))
        .collect();
    if records.len() > most && most > 0 {
        records.select_nth_unstable_by(most - 1, |one, two| two.cmp(one));
    }
    records.truncate(most);
    records.sort_unstable_by(|one, two| two.cmp(one));
    records.concat()
}

#[cfg(test)]
#[path = "merge_tests.rs"]
mod merge_tests;
