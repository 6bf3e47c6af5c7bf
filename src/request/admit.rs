//! The refusal of queries that cannot finish, before any leg of them is sent.
//!
//! See `docs/DESIGN.md`, "Refusals".

use rand::Rng;

use super::{Context, hedge};
use crate::error::{ErrorKind, Refusal};
use crate::types::{Span, Timestamp};
use crate::version::Class;

const TYPICAL: f64 = 0.5;
const PROBES_PART: f64 = 1.0 / 16.0;

/// Lets a query begin unless half of its legs would still be waiting or under way at
/// the deadline, going by the class's latest legs. A part of the queries that have time
/// left is let through all the same, so that a recovery is noticed.
///
/// # Errors
/// [`ErrorKind::CannotFinish`], which says "not run".
pub(super) fn admit(
    cx: &mut Context<'_>,
    class: &Class,
    deadline: Timestamp,
) -> Result<(), Refusal> {
    let latency = cx.upstreams.class(&class.name);
    let wait = latency
        .and_then(|latency| latency.waits.quantile(TYPICAL))
        .unwrap_or(Span::ZERO);
    let needed = Span(wait.0 + hedge::typical(latency).0);
    let left = deadline.since(cx.now);
    let time_left = left > Span::ZERO;
    if time_left && (needed <= left || cx.rng.random::<f64>() < PROBES_PART) {
        return Ok(());
    }
    Err(Refusal::new(
        ErrorKind::CannotFinish,
        format!("{needed} are needed now and {left} are left"),
    ))
}
