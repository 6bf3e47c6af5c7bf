//! When a second leg for a shard is worth sending.
//!
//! The ways that were weighed are in `docs/DESIGN.md`, "Stragglers".

use crate::process::ClassLatency;
use crate::types::{Ratio, Span};

const LEAST_WAIT: Span = Span::from_millis(1);
const FIRST_WAIT: Span = Span::from_millis(30);
const FIRST_NEED: Span = Span::from_millis(20);
const LEAST_PART: f64 = 0.5;
const MOST_PART: f64 = 0.99;
const TYPICAL: f64 = 0.5;
/// The part of the extra load that hedges use while nothing is wrong.
const HEDGED_PART: f64 = 0.9;
const LIKELY: f64 = 0.9;

/// How long a leg waits before another replica is asked as well: until it is slower
/// than all but the part of legs that may be hedged, going by the way that it has to go
/// (`least`), or sooner when the hedge could
/// not finish otherwise; none when no hedge can finish.
pub(super) fn hedge_after(
    latency: Option<&ClassLatency>,
    extra_load: Ratio,
    left: Span,
    least: Span,
) -> Option<Span> {
    let hedged = extra_load.as_f64() * HEDGED_PART;
    let part = (1.0 - hedged).clamp(LEAST_PART, MOST_PART);
    let quantile = |part| latency.and_then(|latency| latency.legs.quantile(part));
    let excess = latency.and_then(|latency| latency.excess.quantile(part));
    let slow = Span(least.0 + excess.unwrap_or(FIRST_WAIT).max(LEAST_WAIT).0);
    let likely = quantile(LIKELY).unwrap_or(FIRST_NEED);
    let last_chance = Span(left.0.saturating_sub(likely.0)).max(typical(latency));
    let after = slow.min(last_chance);
    can_finish(latency, Span(left.0.saturating_sub(after.0))).then_some(after)
}

/// Whether a leg that is sent now is more likely than not to reply in the time left.
pub(super) fn can_finish(latency: Option<&ClassLatency>, left: Span) -> bool {
    left > typical(latency)
}

/// What half of the legs take at most.
pub(super) fn typical(latency: Option<&ClassLatency>) -> Span {
    latency
        .and_then(|latency| latency.legs.quantile(TYPICAL))
        .unwrap_or(LEAST_WAIT)
}

/// What nearly all legs take at most.
pub(super) fn likely(latency: Option<&ClassLatency>) -> Span {
    latency
        .and_then(|latency| latency.legs.quantile(LIKELY))
        .unwrap_or(FIRST_NEED)
}
