//! Validates the targets of a class; see `docs/OPERATING.md`, "Targets".

use crate::error::{ErrorKind, Refusal};
use crate::types::{Ratio, Span};
use crate::version::Class;

const MIN_LATENCY: Span = Span::from_millis(5);
const MAX_LATENCY: Span = Span::from_secs(3_600);

/// Checks the targets of a class that is to replace `before`.
///
/// # Errors
/// [`ErrorKind::BadTarget`] with the name of the first invalid field.
pub(super) fn check(class: &Class, before: Option<&Class>) -> Result<(), Refusal> {
    let targets = &class.targets;
    if !(MIN_LATENCY..=MAX_LATENCY).contains(&targets.latency) {
        let range = format!("must be from {MIN_LATENCY} to {MAX_LATENCY}");
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
        let why = "cannot change while requests are in flight; remove the class and create \
                   another";
        return Err(bad("repeatable", why));
    }
    Ok(())
}

fn bad(field: &str, why: &str) -> Refusal {
    Refusal::new(ErrorKind::BadTarget, format!("field {field}: {why}"))
}
