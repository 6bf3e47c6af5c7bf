//! Changes of classes. Each change is one conditional write of the object that holds all
//! classes, so the object's version orders all changes and an older write cannot undo a
//! newer one. See `docs/DESIGN.md`, "Configuration".

mod change_check;
mod targets;
mod trail;

#[cfg(test)]
mod config_tests;
#[cfg(test)]
mod trail_tests;

pub(crate) use change_check::{ClassChange, Precondition, Proposal};
pub(crate) use trail::{AuditEntries, AuditQuery};

use std::sync::Arc;

use change_check::{Decision, evaluate};

use super::audit::Audit;
use super::follow::CLASSES_KEY;
use super::{Backoff, Clock, Expected, ObjectKey, Platform, PlatformError};
use crate::error::{ErrorKind, Refusal};
use crate::types::{ChangeNumber, ConfigVersion, ObjectVersion, Span};
use crate::version::{AcceptedChange, Classes, ClassesWire};

/// How long a change is retried while the platform fails; the operator waits meanwhile.
const RETRY_POLICY: RetryPolicy = RetryPolicy {
    timeout: Span::from_secs(5),
    backoff: Backoff::new(Span::from_millis(20), Span::from_millis(500)),
};
/// Recent changes kept in the object of the classes before the oldest move to the audit
/// trail.
const MAX_RECENT: usize = 16;
/// Recent changes left in that object after the oldest moved.
const KEPT_RECENT: usize = 8;

/// The time limit and the backoff for retrying a change.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryPolicy {
    pub(crate) timeout: Span,
    pub(crate) backoff: Backoff,
}

/// The classes stored on the platform, and the audit trail of their changes.
#[derive(Debug)]
pub(crate) struct Config {
    platform: Arc<dyn Platform>,
    clock: Clock,
    retry_policy: RetryPolicy,
    pub(crate) audit: Arc<Audit>,
}

/// The classes at one version of their object.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Current {
    pub(crate) classes: Classes,
    /// The object's version; none while there is no object.
    pub(crate) version: Option<ObjectVersion>,
}

/// An accepted change, and the version from which it is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Accepted {
    pub(crate) change: AcceptedChange,
    pub(crate) version: ConfigVersion,
    pub(crate) classes: Classes,
}

/// A write whose outcome is unknown because its reply was lost.
#[derive(Clone, Copy, Debug)]
struct UncertainWrite {
    /// The version that the write was conditional on.
    version: Option<ObjectVersion>,
    /// The number of the written change.
    number: ChangeNumber,
}

enum Attempt {
    Done(Result<Accepted, Refusal>),
    Retry(PlatformError),
}

impl Config {
    pub(crate) fn new(platform: Arc<dyn Platform>, clock: Clock) -> Self {
        Self::with_retry_policy(platform, clock, RETRY_POLICY)
    }

    pub(crate) fn with_retry_policy(
        platform: Arc<dyn Platform>,
        clock: Clock,
        retry_policy: RetryPolicy,
    ) -> Self {
        Self {
            audit: Arc::new(Audit::new(Arc::clone(&platform), retry_policy.backoff)),
            platform,
            clock,
            retry_policy,
        }
    }

    /// Reads the current classes from the platform.
    ///
    /// # Errors
    /// When the platform cannot be read, or its object cannot be parsed.
    pub(crate) async fn read(&self) -> Result<Current, PlatformError> {
        let Some(object) = self.platform.get(&ObjectKey::new(CLASSES_KEY)).await? else {
            return Ok(Current::default());
        };
        let protocol = |error: &dyn std::fmt::Display| PlatformError::Protocol(error.to_string());
        let wire: ClassesWire =
            serde_json::from_slice(&object.value).map_err(|error| protocol(&error))?;
        let classes = Classes::try_from(&wire).map_err(|error| protocol(&error))?;
        Ok(Current {
            classes,
            version: Some(object.version),
        })
    }

    /// Applies a change and returns its outcome. Whatever the platform replies, the change
    /// is either accepted, or refused and never made; only with
    /// [`ErrorKind::Unsettled`] is the outcome unknown.
    ///
    /// # Errors
    /// The refusal for the operator; it is recorded in the audit trail.
    pub(crate) async fn apply(&self, proposal: &Proposal) -> Result<Accepted, Refusal> {
        let outcome = self.apply_with_retries(proposal).await;
        if let Err(refusal) = &outcome {
            self.audit.record_refusal(proposal, refusal);
        }
        outcome
    }

    async fn apply_with_retries(&self, proposal: &Proposal) -> Result<Accepted, Refusal> {
        let until = self.clock.now() + self.retry_policy.timeout;
        let mut backoff = self.retry_policy.backoff;
        let mut uncertain = None;
        loop {
            let error = match self.attempt(proposal, &mut uncertain).await {
                Attempt::Done(outcome) => return outcome,
                Attempt::Retry(error) => error,
            };
            if self.clock.now() >= until {
                return Err(timed_out(uncertain, &error));
            }
            let pause = backoff.pause(&mut rand::rng());
            async_std::task::sleep(pause.as_duration()).await;
        }
    }

    async fn attempt(
        &self,
        proposal: &Proposal,
        uncertain: &mut Option<UncertainWrite>,
    ) -> Attempt {
        let current = match self.read().await {
            Ok(current) => current,
            Err(error) => return Attempt::Retry(error),
        };
        if let Some(written) = uncertain.filter(|uncertain| uncertain.version != current.version) {
            match self.resolve_from_audit(&current, written, proposal).await {
                Ok(Some(outcome)) => return Attempt::Done(outcome),
                Ok(None) => *uncertain = None,
                Err(error) => return Attempt::Retry(error),
            }
        }
        match evaluate(&current.classes, proposal) {
            Ok(Decision::AlreadyApplied(change)) => Attempt::Done(Ok(Accepted {
                change,
                version: config_version(current.version),
                classes: current.classes,
            })),
            Ok(Decision::Write(next)) => self.write(next, current.version, uncertain).await,
            Err(refusal) => Attempt::Done(Err(refusal)),
        }
    }

    /// Looks up the outcome of an uncertain write in the audit trail, if later changes have
    /// moved its row there. Returns `None` when the classes themselves show the outcome, or
    /// when another change was made in its place, so that the proposal is evaluated anew.
    async fn resolve_from_audit(
        &self,
        current: &Current,
        uncertain: UncertainWrite,
        proposal: &Proposal,
    ) -> Result<Option<Result<Accepted, Refusal>>, PlatformError> {
        let recent = &current.classes.recent;
        if recent
            .iter()
            .any(|change| change.number <= uncertain.number)
        {
            return Ok(None);
        }
        let stored = self.audit.segment(uncertain.number).await?;
        let Some(change) = stored
            .into_iter()
            .find(|row| row.number == uncertain.number)
        else {
            let detail = "the platform's reply was lost, and the audit trail has no row for it";
            return Ok(Some(Err(Refusal::new(ErrorKind::Unsettled, detail))));
        };
        if change.id != proposal.id {
            return Ok(None);
        }
        Ok(Some(Ok(Accepted {
            change,
            version: config_version(current.version),
            classes: current.classes.clone(),
        })))
    }

    async fn write(
        &self,
        mut next: Classes,
        version: Option<ObjectVersion>,
        uncertain: &mut Option<UncertainWrite>,
    ) -> Attempt {
        if let Err(error) = self.truncate_recent(&mut next).await {
            return Attempt::Retry(error);
        }
        let value = match serde_json::to_vec(&ClassesWire::from(&next)) {
            Ok(value) => value,
            Err(error) => return Attempt::Retry(PlatformError::Protocol(error.to_string())),
        };
        let key = ObjectKey::new(CLASSES_KEY);
        let expected = version.map_or(Expected::Absent, Expected::Version);
        match self.platform.put(&key, value, expected).await {
            Ok(written) => Attempt::Done(accepted(next, written)),
            Err(error) => {
                if !error.had_no_effect() {
                    let number = next.last;
                    *uncertain = Some(UncertainWrite { version, number });
                }
                Attempt::Retry(error)
            }
        }
    }

    /// Moves the oldest recent changes to the audit trail, so that the object stays small.
    /// They are stored there before they are dropped here, so that no row is lost.
    async fn truncate_recent(&self, next: &mut Classes) -> Result<(), PlatformError> {
        if next.recent.len() <= MAX_RECENT {
            return Ok(());
        }
        let old = next.recent.len() - KEPT_RECENT;
        self.audit.store(&next.recent[..old]).await?;
        next.recent.drain(..old);
        Ok(())
    }
}

fn accepted(classes: Classes, written: ObjectVersion) -> Result<Accepted, Refusal> {
    let change = classes.recent.last().cloned();
    let change = change.ok_or_else(|| {
        Refusal::new(
            ErrorKind::Internal,
            "the written classes do not contain the change",
        )
    })?;
    Ok(Accepted {
        change,
        version: config_version(Some(written)),
        classes,
    })
}

fn timed_out(uncertain: Option<UncertainWrite>, error: &PlatformError) -> Refusal {
    match (uncertain, error) {
        (Some(_), error) => Refusal::new(
            ErrorKind::Unsettled,
            format!(
                "the outcome is unknown; the change may have been or may yet be accepted: {error}"
            ),
        ),
        (None, PlatformError::Conflict) => Refusal::new(
            ErrorKind::Conflict,
            "other changes were made first on every attempt",
        ),
        (None, error) => Refusal::new(ErrorKind::PlatformDown, error.to_string()),
    }
}

fn config_version(version: Option<ObjectVersion>) -> ConfigVersion {
    ConfigVersion(version.map_or(0, |version| version.0))
}
