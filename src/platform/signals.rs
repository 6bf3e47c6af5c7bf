//! Decodes what a replica says of itself in the head of a response.

use std::str::FromStr;

use crate::connection::{Fields, ResponseHead};
use crate::process::UpstreamSignals;
use crate::types::Span;

/// Header with the requests a second that the replica takes from all instances together.
const RATE_LIMIT: &str = "Server-Limit";

/// Header with `1` in all responses of a replica that leaves.
const LEAVING: &str = "Server-Leaving";

/// Header with the seconds, in a 503, for which the replica wants no requests from this instance.
const PAUSE: &str = "Retry-After";
const BUSY: u16 = 503;

/// Decodes the signals. One that has no valid value is counted and otherwise ignored.
pub(super) fn decode(head: &ResponseHead) -> UpstreamSignals {
    let fields = &head.fields;
    let mut signals = UpstreamSignals::default();
    signals.rate_limit = value(fields, RATE_LIMIT, &mut signals.invalid);
    let leaving: Option<u8> = value(fields, LEAVING, &mut signals.invalid);
    signals.leaving = leaving.is_some_and(|flag| flag != 0);
    if head.status == BUSY {
        let secs: Option<Seconds> = value(fields, PAUSE, &mut signals.invalid);
        signals.pause = secs.map(|secs| Span::from_micros_f64(secs.0 * 1e6));
    }
    signals
}

/// A number of seconds, with fractions.
struct Seconds(f64);

impl FromStr for Seconds {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let secs: f64 = text.parse().map_err(|_| ())?;
        (secs.is_finite() && secs >= 0.0)
            .then_some(Self(secs))
            .ok_or(())
    }
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
