//! A flood of requests writes a bounded log that says what it leaves out.

use super::LogRate;
use crate::types::Timestamp;

#[test]
fn a_flood_is_bounded_and_counted() {
    let mut rate = LogRate::default();
    let mut written = 0;
    let mut left_out = 0;
    // 10,000 lines in ten seconds.
    for number in 0..10_000_u64 {
        if let Some(before) = rate.take(Timestamp(number * 1_000)) {
            written += 1;
            left_out += before;
        }
    }
    assert!((470..=490).contains(&written), "{written}");
    assert!(left_out > 9_000 && written + left_out <= 10_000);
}

#[test]
fn a_calm_log_is_whole() {
    let mut rate = LogRate::default();
    let all = (0..200_u64).all(|number| rate.take(Timestamp(number * 30_000)) == Some(0));
    assert!(all);
}
