//! What operators ask of an instance.

use std::sync::Arc;

use super::audit_rows::RefusedLog;
use super::config::{Accepted, Proposal};
use super::follow::{self, CLASSES_KEY};
use super::{Instance, Object, ObjectKey, PlatformError};
use crate::error::{ErrorKind, Refusal};
use crate::types::{ChangeNumber, ClassName, ObjectVersion};
use crate::version::{AcceptedChange, ClassesWire};

const MOST_SEGMENTS_READ: usize = 8;

/// Which accepted changes are asked for.
#[derive(Clone, Debug)]
pub(crate) struct TrailQuery {
    /// Only changes of this class.
    pub(crate) class: Option<ClassName>,
    /// Only changes before this one.
    pub(crate) before: Option<ChangeNumber>,
    /// At most so many.
    pub(crate) limit: usize,
}

/// A part of the audit trail.
#[derive(Clone, Debug)]
pub(crate) struct Trail {
    /// Accepted changes, newest first.
    pub(crate) accepted: Vec<AcceptedChange>,
    /// From where older ones are asked for, when there may be some.
    pub(crate) next: Option<ChangeNumber>,
    /// Refused changes, oldest first.
    pub(crate) refused: RefusedLog,
}

impl Instance {
    /// Makes a change; it goes on to its end when the operator hangs up. Once it is
    /// accepted it is in force here before the operator is told.
    ///
    /// # Errors
    /// The refusal for the operator.
    pub(crate) async fn change_class(
        self: &Arc<Self>,
        proposal: Proposal,
    ) -> Result<Accepted, Refusal> {
        let instance = Arc::clone(self);
        async_std::task::spawn(async move {
            let accepted = instance.config.apply(&proposal).await?;
            instance.adopt_accepted(&accepted)?;
            tracing::info!(
                change = %accepted.change.number, class = %accepted.change.name,
                who = %accepted.change.who, "a change of classes is accepted"
            );
            Ok(accepted)
        })
        .await
    }

    fn adopt_accepted(&self, accepted: &Accepted) -> Result<(), Refusal> {
        let wire = ClassesWire::from(&accepted.classes);
        let value = serde_json::to_vec(&wire)
            .map_err(|error| Refusal::new(ErrorKind::Internal, error.to_string()))?;
        let object = Object {
            key: ObjectKey::new(CLASSES_KEY),
            version: ObjectVersion(accepted.version.0),
            value,
        };
        follow::adopt(self, &object);
        Ok(())
    }

    /// Reads the audit trail, newest first, and at most a few segments at a time.
    ///
    /// # Errors
    /// When the platform cannot be asked.
    pub(crate) async fn trail(&self, query: &TrailQuery) -> Result<Trail, PlatformError> {
        let refused = self.config.audit.refused().await?;
        let classes = self.config.read().await?.classes;
        let mut before = query.before.unwrap_or(ChangeNumber(classes.last.0 + 1));
        let mut trail = Trail {
            accepted: Vec::new(),
            next: None,
            refused,
        };
        trail.add(query, &mut before, classes.recent);
        for _ in 0..MOST_SEGMENTS_READ {
            if before.0 <= 1 || trail.accepted.len() >= query.limit {
                break;
            }
            let rows = self
                .config
                .audit
                .segment(ChangeNumber(before.0 - 1))
                .await?;
            if rows.is_empty() {
                before = ChangeNumber(1);
            }
            trail.add(query, &mut before, rows);
        }
        trail.next = (before.0 > 1).then_some(before);
        Ok(trail)
    }
}

impl Trail {
    /// Adds those of `rows`, oldest first, that come before `before`, and moves it down.
    fn add(&mut self, query: &TrailQuery, before: &mut ChangeNumber, rows: Vec<AcceptedChange>) {
        for row in rows.into_iter().rev() {
            if row.number >= *before {
                continue;
            }
            if self.accepted.len() >= query.limit {
                return;
            }
            *before = row.number;
            if query.class.as_ref().is_none_or(|class| *class == row.name) {
                self.accepted.push(row);
            }
        }
    }
}
