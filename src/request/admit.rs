//! Refuses queries that cannot finish in time, before any of their legs is sent.
//!
//! See `docs/DESIGN.md`, "Refusals".

use rand::Rng;

use super::{Context, hedge};
use crate::error::{ErrorKind, Refusal};
use crate::types::{Span, Timestamp};
use crate::version::Class;

const MEDIAN_QUANTILE: f64 = 0.5;
/// Share of the queries that are expected to miss their deadline but are admitted anyway.
const PROBE_RATIO: f64 = 1.0 / 16.0;

/// Admits a query unless half of its legs would still be waiting or in flight at the
/// deadline, judging by the latest legs of the class. A share of the queries that fail
/// this check but have time left is admitted anyway, so that a recovery is noticed.
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
    let has_time_left = left > Span::ZERO;
    if has_time_left && (needed <= left || cx.rng.random::<f64>() < PROBE_RATIO) {
        return Ok(());
    }
    Err(Refusal::new(
        ErrorKind::CannotFinish,
        format!("a leg currently takes {needed} including its wait, but only {left} is left"),
    ))
}
