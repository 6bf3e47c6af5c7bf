//! Decodes what a replica says of itself in the head of a response.

use std::str::FromStr;

use crate::connection::Fields;
use crate::process::UpstreamSignals;

/// Header with the requests a second that the replica takes from all instances together.
const RATE_LIMIT: &str = "Server-Limit";

/// Header with `1` in all responses of a replica that leaves.
const LEAVING: &str = "Server-Leaving";

/// Decodes the signals. One that has no valid value is counted and otherwise ignored.
pub(super) fn decode(fields: &Fields) -> UpstreamSignals {
    let mut signals = UpstreamSignals::default();
    signals.rate_limit = value(fields, RATE_LIMIT, &mut signals.invalid);
    let leaving: Option<u8> = value(fields, LEAVING, &mut signals.invalid);
    signals.leaving = leaving.is_some_and(|flag| flag != 0);
    signals
}

fn value<T: FromStr>(fields: &Fields, name: &str, invalid: &mut u32) -> Option<T> {
    let text = fields.all(name).next()?;
    let value = text.trim().parse().ok();
    *invalid += u32::from(value.is_none());
    value
}

#[cfg(test)]
#[path = "signals_tests.rs"]
mod signals_tests;
