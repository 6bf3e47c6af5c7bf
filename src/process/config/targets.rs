//! Which targets a class can have; see `docs/OPERATING.md`, "Targets".

use crate::error::{ErrorKind, Refusal};
use crate::types::{Ratio, Span};
use crate::version::Class;

const SHORTEST_LATENCY: Span = Span::from_millis(5);
const LONGEST_LATENCY: Span = Span::from_secs(3_600);

/// Checks the targets of a class that is to follow `before`.
///
/// # Errors
/// [`ErrorKind::BadTarget`] with the name of the first field that is wrong.
pub(super) fn check(class: &Class, before: Option<&Class>) -> Result<(), Refusal> {
    let targets = &class.targets;
    if !(SHORTEST_LATENCY..=LONGEST_LATENCY).contains(&targets.latency) {
        let range = format!("must be from {SHORTEST_LATENCY} to {LONGEST_LATENCY}");
        return Err(bad("latency", &range));
    }
    if targets.coverage == Ratio::ZERO {
        return Err(bad("coverage", "must be above 0%"));
    }
    if !targets.repeatable && targets.coverage != Ratio::ONE {
        let why = "must be 100% when repeatable is false, because an order that reached a part \
                   of its shards cannot be sent again for the rest";
        return Err(bad("coverage", why));
    }
    if before.is_some_and(|before| before.targets.repeatable != targets.repeatable) {
        let why = "cannot change while requests are under way; remove the class and create \
                   another";
        return Err(bad("repeatable", why));
    }
    Ok(())
}

fn bad(field: &str, why: &str) -> Refusal {
    Refusal::new(ErrorKind::BadTarget, format!("field {field}: {why}"))
}
