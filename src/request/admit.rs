//! Refuses queries that cannot finish in time, before any of their legs is sent.
//!
//! See `docs/DESIGN.md`, "Refusals".

use rand::Rng;

use super::{Context, hedge};
use crate::error::{ErrorKind, Refusal};
use crate::process::ClassLatency;
use crate::types::{Ratio, Span, Timestamp};
use crate::version::{Class, Shard, Snapshot};

const MEDIAN_QUANTILE: f64 = 0.5;
/// Almost no leg takes longer.
const SLOW_QUANTILE: f64 = 0.99;
/// Share of the queries that are expected to miss their deadline but are admitted anyway.
const PROBE_RATIO: f64 = 1.0 / 16.0;
/// The least time over which refused callers are told to spread their return.
const MIN_RETRY_SPREAD: Span = Span::from_millis(100);

/// Returns how long a query of the class may take that is allowed to take `allowed`. The answer to
/// one that must not be repeated cannot be had again, so it may take all of that. One that may be
/// repeated needs no time as long as nothing is known of its class.
pub(crate) fn time_needed(class: &Class, latency: Option<&ClassLatency>, allowed: Span) -> Span {
    if !class.targets.repeatable {
        return allowed;
    }
    let known = latency.and_then(|latency| {
        let wait = latency.waits.quantile(SLOW_QUANTILE).unwrap_or(Span::ZERO);
        let leg = latency.legs.quantile(SLOW_QUANTILE)?;
        Some(Span(wait.0 + leg.0))
    });
    known.unwrap_or_default().min(allowed)
}

/// Admits a query unless so many of its shards have no replica that takes a leg now, by what
/// the replicas state themselves, that the answer could not meet its coverage target. A query
/// that begins without them would use up what others need, and get no answer itself.
///
/// # Errors
/// [`ErrorKind::Overloaded`] with the time at which enough replicas take a leg, or
/// [`ErrorKind::NoUpstream`] if too few stay. Both state that the query was not run.
pub(super) fn check_stated_room(
    cx: &mut Context<'_>,
    class: &Class,
    snapshot: &Snapshot,
) -> Result<(), Refusal> {
    if !cx.limits.has_rates() && !cx.upstreams.has_stated(cx.now) {
        return Ok(());
    }
    let mut rooms: Vec<(Timestamp, u64)> = snapshot
        .shards
        .iter()
        .filter_map(|shard| Some((room_at(cx, shard)?, shard.range.width())))
        .collect();
    rooms.sort_unstable();
    let keys = snapshot
        .shards
        .iter()
        .map(|shard| shard.range.width())
        .sum();
    let mut covered = 0;
    for (room_at, width) in rooms {
        covered += width;
        if Ratio::of(covered, keys) >= class.targets.coverage {
            return admit_at(cx, room_at);
        }
    }
    let detail = "too few shards have a replica that stays";
    Err(Refusal::new(ErrorKind::NoUpstream, detail))
}

fn admit_at(cx: &mut Context<'_>, room_at: Timestamp) -> Result<(), Refusal> {
    let wait = room_at.since(cx.now);
    if wait == Span::ZERO {
        return Ok(());
    }
    let spread = cx.rng.random_range(0..=wait.max(MIN_RETRY_SPREAD).0);
    let detail = format!("too many upstreams take no request for the next {wait}");
    Err(Refusal::new(ErrorKind::Overloaded, detail).with_retry_after(Span(wait.0 + spread)))
}

/// Returns when a replica of the shard takes a leg by what it states; `None` without a replica.
fn room_at(cx: &Context<'_>, shard: &Shard) -> Option<Timestamp> {
    let replicas = shard.replicas.iter().filter(|replica| !replica.leaving);
    replicas
        .filter_map(|replica| {
            cx.upstreams
                .stated_room_at(cx.now, cx.limits, &replica.name)
        })
        .min()
}

/// Admits a query unless half of its legs would still be waiting or in flight at the
/// deadline, judging by the latest legs of the class. A share of the queries that fail
/// this check but have time left is admitted anyway, and one in a while where few come, so that a
/// recovery is noticed.
///
/// # Errors
/// [`ErrorKind::CannotFinish`], which states that the query was not run.
pub(super) fn admit(
    cx: &mut Context<'_>,
    class: &Class,
    deadline: Timestamp,
) -> Result<(), Refusal> {
    let latency = cx.upstreams.class(&class.name);
    let wait = latency
        .and_then(|latency| latency.waits.quantile(MEDIAN_QUANTILE))
        .unwrap_or(Span::ZERO);
    let needed = Span(wait.0 + hedge::median_latency(latency).0);
    let left = deadline.since(cx.now);
    if left > Span::ZERO {
        let is_refusing = latency.is_some_and(ClassLatency::is_refusing);
        let can_finish = needed <= left;
        if can_finish && !is_refusing {
            return Ok(());
        }
        let latency = cx.upstreams.class_mut(&class.name);
        if can_finish {
            latency.stop_refusing();
            return Ok(());
        }
        if latency.refuse(cx.now) || cx.rng.random::<f64>() < PROBE_RATIO {
            return Ok(());
        }
    }
    Err(Refusal::new(
        ErrorKind::CannotFinish,
        format!("a leg currently takes {needed} including its wait, but only {left} is left"),
    ))
}

#[cfg(test)]
#[path = "admit_tests.rs"]
mod admit_tests;
