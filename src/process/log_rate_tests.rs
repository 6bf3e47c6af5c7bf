//! A flood of requests writes a bounded number of log lines, and suppressed lines are
//! counted.

use super::LogRate;
use crate::types::Timestamp;

#[test]
fn a_flood_is_limited_and_suppressed_lines_are_counted() {
    let mut rate = LogRate::default();
    let mut written = 0;
    let mut suppressed = 0;
    // 10,000 lines in ten seconds.
    for number in 0..10_000_u64 {
        if let Some(suppressed_before) = rate.take(Timestamp(number * 1_000)) {
            written += 1;
            suppressed += suppressed_before;
        }
    }
    assert!((470..=490).contains(&written), "{written}");
    assert!(suppressed > 9_000 && written + suppressed <= 10_000);
}

#[test]
fn a_low_rate_suppresses_no_lines() {
    let mut rate = LogRate::default();
    let all = (0..200_u64).all(|number| rate.take(Timestamp(number * 30_000)) == Some(0));
    assert!(all);
}
