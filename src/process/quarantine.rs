//! The quarantine of a poison request: it is refused, but for rare trials.

use super::Engine;
use crate::error::{ErrorKind, Refusal};
use crate::types::{Fingerprint, Span, Timestamp};

/// How long an instance has the right to make a trial before another one gets it, and how long it
/// waits for the outcome.
pub(super) const TRIAL_TURN: Span = Span::from_secs(5);

/// The quarantine of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Quarantine {
    /// No instance tries the request before this time.
    pub(super) trials_from: Timestamp,
}

impl Quarantine {
    /// Returns which turn of trials it is, by which instances agree on whose it is; none if it is
    /// too early for a trial.
    pub(super) fn turn(self, now: Timestamp) -> Option<u64> {
        let is_open = now >= self.trials_from;
        is_open.then(|| now.since(self.trials_from).0 / TRIAL_TURN.0)
    }

    /// Returns when the request may be answered, if its next trial gets a reply.
    fn retry_after(self, now: Timestamp) -> Span {
        self.trials_from.since(now).max(TRIAL_TURN)
    }
}

impl Engine {
    /// Refuses a poison request unless this instance tries it again. Returns whether it is such a
    /// trial. `owns_turn` says whether trials are up to this instance in a turn.
    ///
    /// # Errors
    /// A [`Refusal`] of the kind [`ErrorKind::Poison`].
    pub(crate) fn check_quarantine(
        &self,
        now: Timestamp,
        request: Fingerprint,
        owns_turn: impl FnOnce(u64) -> bool,
    ) -> Result<bool, Refusal> {
        let suspects = &self.tables.suspects;
        let Some(quarantine) = suspects.lock().quarantine(now, request) else {
            return Ok(false);
        };
        let is_own_turn = quarantine.turn(now).is_some_and(owns_turn);
        if is_own_turn && suspects.lock().begin_trial(now, request) {
            tracing::info!(%request, "tries a request in quarantine on one upstream");
            return Ok(true);
        }
        let detail = "the same request lost its upstreams more than once and never had a reply";
        let mut refusal = Refusal::new(ErrorKind::Poison, detail);
        refusal.retry_after = Some(quarantine.retry_after(now));
        Err(refusal)
    }
}
