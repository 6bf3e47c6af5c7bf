//! Reading the audit trail: the last changes from the classes, older ones from segments.

use super::Config;
use crate::process::PlatformError;
use crate::process::audit_rows::RefusedLog;
use crate::types::{ChangeNumber, ClassName};
use crate::version::AcceptedChange;

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

impl Config {
    /// Reads the audit trail, newest first, and at most a few segments at a time.
    ///
    /// # Errors
    /// When the platform cannot be asked.
    pub(crate) async fn trail(&self, query: &TrailQuery) -> Result<Trail, PlatformError> {
        let refused = self.audit.refused().await?;
        let classes = self.read().await?.classes;
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
            let rows = self.audit.segment(ChangeNumber(before.0 - 1)).await?;
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
