//! Messages of many senders at once stay within the budget, and small ones are always taken.

use rstest::rstest;

use super::{MIN_MESSAGE_BYTES, MemoryBudget, Reservation};
use crate::types::ByteCount;

const LIMIT: usize = 20 << 20;
const LARGE: usize = 1 << 20;
const STEP: usize = 4 << 10;

/// A flood of messages that each grow as far as they may, in turn.
struct Case {
    senders: usize,
    /// What each sender gets at least and at most.
    each: std::ops::RangeInclusive<usize>,
}

/// Guards against floods that fill the memory together although each message keeps to its limit, and
/// against those that leave no room for the small messages of others.
#[rstest]
#[case::one(Case { senders: 1, each: LARGE..=LARGE })]
#[case::few(Case { senders: 10, each: LARGE..=LARGE })]
#[case::many(Case { senders: 100, each: 128 << 10..=256 << 10 })]
#[case::very_many(Case { senders: 1_000, each: 12 << 10..=24 << 10 })]
fn a_flood_stays_within_the_budget(#[case] case: Case) {
    let budget = MemoryBudget::new(ByteCount(LIMIT as u64));
    let mut held: Vec<(Reservation, usize)> = Vec::new();
    held.resize_with(case.senders, || (budget.reserve(), 0));
    let mut grows = true;
    while grows {
        grows = false;
        for (reservation, bytes) in &mut held {
            if *bytes < LARGE && reservation.resize(*bytes + STEP).is_ok() {
                *bytes += STEP;
                grows = true;
            }
        }
    }
    let all: usize = held.iter().map(|(_, bytes)| bytes).sum();
    assert!(all <= LIMIT, "{all} bytes");
    for (_, bytes) in &held {
        assert!(case.each.contains(bytes), "{bytes} bytes");
    }
    let mut small = budget.reserve();
    assert_eq!(small.resize(MIN_MESSAGE_BYTES), Ok(()));
    drop(held);
    assert_eq!(small.resize(LARGE), Ok(()), "the flood has left its memory");
}

/// Guards against memory that is counted for ever after its message is gone.
#[test]
fn what_is_dropped_is_free_again() {
    let budget = MemoryBudget::new(ByteCount(LIMIT as u64));
    for _ in 0..100 {
        let mut reservation = budget.reserve();
        reservation.resize(LARGE).unwrap();
        let taken = reservation.take();
        reservation.resize(STEP).unwrap();
        drop(taken);
        reservation.resize(0).unwrap();
    }
    let mut all = budget.reserve();
    assert_eq!(all.resize(LIMIT / 5), Ok(()));
    assert!(all.resize(LIMIT / 4).is_err());
}
