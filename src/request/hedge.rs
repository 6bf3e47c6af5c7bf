//! Decides when a second leg to a shard is worth sending.
//!
//! The alternatives are compared in `docs/DESIGN.md`, "Stragglers".

use crate::process::ClassLatency;
use crate::types::{Ratio, Span};

/// Shortest excess over the minimum latency before a hedge; also the assumed median
/// latency while none is known.
const MIN_DELAY: Span = Span::from_millis(1);
/// Excess over the minimum latency before a hedge, while none is known.
const DEFAULT_EXCESS: Span = Span::from_millis(30);
/// The assumed 90th percentile of the latency while none is known.
const DEFAULT_P90_LATENCY: Span = Span::from_millis(20);
const MIN_HEDGE_QUANTILE: f64 = 0.5;
const MAX_HEDGE_QUANTILE: f64 = 0.99;
const MEDIAN_QUANTILE: f64 = 0.5;
/// Share of the extra load that hedges use while nothing fails.
const HEDGE_SHARE: f64 = 0.9;
const P90_QUANTILE: f64 = 0.9;

/// Returns the delay after which a leg is hedged: the latency that only the share of legs
/// which may be hedged exceeds, given the minimum latency to the replica. The delay is
/// shorter if the hedge could not finish otherwise. Returns `None` if no hedge can finish.
pub(super) fn hedge_after(
    latency: Option<&ClassLatency>,
    extra_load: Ratio,
    left: Span,
    min_latency: Span,
) -> Option<Span> {
    let hedged = extra_load.as_f64() * HEDGE_SHARE;
    let threshold = (1.0 - hedged).clamp(MIN_HEDGE_QUANTILE, MAX_HEDGE_QUANTILE);
    let quantile = |at| latency.and_then(|latency| latency.legs.quantile(at));
    let excess = latency.and_then(|latency| latency.excess.quantile(threshold));
    let slow = Span(min_latency.0 + excess.unwrap_or(DEFAULT_EXCESS).max(MIN_DELAY).0);
    let p90 = quantile(P90_QUANTILE).unwrap_or(DEFAULT_P90_LATENCY);
    let last_chance = Span(left.0.saturating_sub(p90.0)).max(median_latency(latency));
    let after = slow.min(last_chance);
    can_finish(latency, Span(left.0.saturating_sub(after.0))).then_some(after)
}

/// Whether a leg that is sent now is more likely than not to reply in the time left.
pub(super) fn can_finish(latency: Option<&ClassLatency>, left: Span) -> bool {
    left > median_latency(latency)
}

/// The median latency of a leg.
pub(super) fn median_latency(latency: Option<&ClassLatency>) -> Span {
    latency
        .and_then(|latency| latency.legs.quantile(MEDIAN_QUANTILE))
        .unwrap_or(MIN_DELAY)
}

/// The 90th percentile of the latency of a leg.
pub(super) fn p90_latency(latency: Option<&ClassLatency>) -> Span {
    latency
        .and_then(|latency| latency.legs.quantile(P90_QUANTILE))
        .unwrap_or(DEFAULT_P90_LATENCY)
}
