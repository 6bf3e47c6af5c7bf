//! Changes of classes: each is one conditional write of the object that holds them all,
//! so that the object's version orders every change and none can be undone by an older
//! write. See `docs/DESIGN.md`, "Configuration".

mod judge;
mod targets;
mod trail;

#[cfg(test)]
mod config_tests;
#[cfg(test)]
mod trail_tests;

pub(crate) use judge::{Proposal, Seen, Wish};
pub(crate) use trail::{Trail, TrailQuery};

use std::sync::Arc;

use judge::{Verdict, judge};

use super::audit::Audit;
use super::follow::CLASSES_KEY;
use super::{Backoff, Clock, Expected, ObjectKey, Platform, PlatformError};
use crate::error::{ErrorKind, Refusal};
use crate::types::{ChangeNumber, ConfigVersion, ObjectVersion, Span};
use crate::version::{AcceptedChange, Classes, ClassesWire};

/// How long operators wait for a platform that fails.
const PATIENCE: Patience = Patience {
    settle_within: Span::from_secs(5),
    pauses: Backoff::new(Span::from_millis(20), Span::from_millis(500)),
};
const MOST_RECENT: usize = 16;
const KEPT_RECENT: usize = 8;

/// How long and at what pauses a change is tried.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Patience {
    pub(crate) settle_within: Span,
    pub(crate) pauses: Backoff,
}

/// The classes as the platform keeps them.
#[derive(Debug)]
pub(crate) struct Config {
    platform: Arc<dyn Platform>,
    clock: Clock,
    patience: Patience,
    pub(crate) audit: Arc<Audit>,
}

/// The classes at one version of their object.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Current {
    pub(crate) classes: Classes,
    /// The object's version; none before there is an object.
    pub(crate) version: Option<ObjectVersion>,
}

/// A change that is in force from this version on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Accepted {
    pub(crate) change: AcceptedChange,
    pub(crate) version: ConfigVersion,
    pub(crate) classes: Classes,
}

/// A write whose reply was lost.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    version: Option<ObjectVersion>,
    number: ChangeNumber,
}

enum Attempt {
    Ended(Result<Accepted, Refusal>),
    Again(PlatformError),
}

impl Config {
    pub(crate) fn new(platform: Arc<dyn Platform>, clock: Clock) -> Self {
        Self::with_patience(platform, clock, PATIENCE)
    }

    pub(crate) fn with_patience(
        platform: Arc<dyn Platform>,
        clock: Clock,
        patience: Patience,
    ) -> Self {
        Self {
            audit: Arc::new(Audit::new(Arc::clone(&platform), patience.pauses)),
            platform,
            clock,
            patience,
        }
    }

    /// The classes as the platform has them now.
    ///
    /// # Errors
    /// When the platform cannot be asked, or holds what cannot be read.
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

    /// Makes a change and says what became of it. Whatever the reply of the platform,
    /// the change is accepted, or refused and never made, unless the refusal is
    /// [`ErrorKind::Unsettled`].
    ///
    /// # Errors
    /// The refusal for the operator; it is noted in the audit trail.
    pub(crate) async fn apply(&self, proposal: &Proposal) -> Result<Accepted, Refusal> {
        let outcome = self.settle(proposal).await;
        if let Err(refusal) = &outcome {
            self.audit.note(proposal, refusal);
        }
        outcome
    }

    async fn settle(&self, proposal: &Proposal) -> Result<Accepted, Refusal> {
        let until = self.clock.now() + self.patience.settle_within;
        let mut backoff = self.patience.pauses;
        let mut doubt = None;
        loop {
            let error = match self.attempt(proposal, &mut doubt).await {
                Attempt::Ended(outcome) => return outcome,
                Attempt::Again(error) => error,
            };
            if self.clock.now() >= until {
                return Err(gave_up(doubt, &error));
            }
            let pause = backoff.pause(&mut rand::rng());
            async_std::task::sleep(pause.as_duration()).await;
        }
    }

    async fn attempt(&self, proposal: &Proposal, doubt: &mut Option<Doubt>) -> Attempt {
        let current = match self.read().await {
            Ok(current) => current,
            Err(error) => return Attempt::Again(error),
        };
        if let Some(written) = doubt.filter(|doubt| doubt.version != current.version) {
            match self.settled_by_audit(&current, written, proposal).await {
                Ok(Some(outcome)) => return Attempt::Ended(outcome),
                Ok(None) => *doubt = None,
                Err(error) => return Attempt::Again(error),
            }
        }
        match judge(&current.classes, proposal) {
            Ok(Verdict::Accepted(change)) => Attempt::Ended(Ok(Accepted {
                change,
                version: config_version(current.version),
                classes: current.classes,
            })),
            Ok(Verdict::Write(next)) => self.write(next, current.version, doubt).await,
            Err(refusal) => Attempt::Ended(Err(refusal)),
        }
    }

    /// What became of a write in doubt when the changes that came after it have moved its
    /// row on to the audit trail; nothing when the classes themselves show it.
    async fn settled_by_audit(
        &self,
        current: &Current,
        doubt: Doubt,
        proposal: &Proposal,
    ) -> Result<Option<Result<Accepted, Refusal>>, PlatformError> {
        let recent = &current.classes.recent;
        if recent.iter().any(|change| change.number <= doubt.number) {
            return Ok(None);
        }
        let stored = self.audit.segment(doubt.number).await?;
        let Some(change) = stored.into_iter().find(|row| row.number == doubt.number) else {
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
        doubt: &mut Option<Doubt>,
    ) -> Attempt {
        if let Err(error) = self.shorten(&mut next).await {
            return Attempt::Again(error);
        }
        let value = match serde_json::to_vec(&ClassesWire::from(&next)) {
            Ok(value) => value,
            Err(error) => return Attempt::Again(PlatformError::Protocol(error.to_string())),
        };
        let key = ObjectKey::new(CLASSES_KEY);
        let expected = version.map_or(Expected::Absent, Expected::Version);
        match self.platform.put(&key, value, expected).await {
            Ok(written) => Attempt::Ended(accepted(next, written)),
            Err(error) => {
                if !error.had_no_effect() {
                    let number = next.last;
                    *doubt = Some(Doubt { version, number });
                }
                Attempt::Again(error)
            }
        }
    }

    /// Moves the oldest changes on to the audit trail before they are dropped.
    async fn shorten(&self, next: &mut Classes) -> Result<(), PlatformError> {
        if next.recent.len() <= MOST_RECENT {
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
    let change = change
        .ok_or_else(|| Refusal::new(ErrorKind::Internal, "the change is not in its classes"))?;
    Ok(Accepted {
        change,
        version: config_version(Some(written)),
        classes,
    })
}

fn gave_up(doubt: Option<Doubt>, error: &PlatformError) -> Refusal {
    match (doubt, error) {
        (Some(_), error) => Refusal::new(
            ErrorKind::Unsettled,
            format!("the change may have been accepted, or may yet be: {error}"),
        ),
        (None, PlatformError::Conflict) => {
            Refusal::new(ErrorKind::Conflict, "other changes kept coming first")
        }
        (None, error) => Refusal::new(ErrorKind::PlatformDown, error.to_string()),
    }
}

fn config_version(version: Option<ObjectVersion>) -> ConfigVersion {
    ConfigVersion(version.map_or(0, |version| version.0))
}
