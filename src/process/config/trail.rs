//! Reads the audit trail: recent changes from the object of the classes, older ones from
//! segments.

use super::Config;
use crate::process::PlatformError;
use crate::process::audit_rows::RefusedLog;
use crate::types::{ChangeNumber, ClassName};
use crate::version::AcceptedChange;

/// The maximum number of segments read for one page.
const MAX_SEGMENTS_READ: usize = 8;

/// Selects accepted changes of the audit trail.
#[derive(Clone, Debug)]
pub(crate) struct AuditQuery {
    /// Only changes of this class.
    pub(crate) class: Option<ClassName>,
    /// Only changes before this one.
    pub(crate) before: Option<ChangeNumber>,
    /// The maximum number of changes to return.
    pub(crate) limit: usize,
}

/// A page of the audit trail.
#[derive(Clone, Debug)]
pub(crate) struct AuditEntries {
    /// Accepted changes, newest first.
    pub(crate) accepted: Vec<AcceptedChange>,
    /// The value of [`AuditQuery::before`] for the next page, if there may be one.
    pub(crate) next: Option<ChangeNumber>,
    /// Refused changes, oldest first.
    pub(crate) refused: RefusedLog,
}

impl Config {
    /// Reads one page of the audit trail, newest change first.
    ///
    /// # Errors
    /// When the platform cannot be read.
    pub(crate) async fn trail(&self, query: &AuditQuery) -> Result<AuditEntries, PlatformError> {
        let refused = self.audit.refused().await?;
        let classes = self.read().await?.classes;
        let mut before = query.before.unwrap_or(ChangeNumber(classes.last.0 + 1));
        let mut trail = AuditEntries {
            accepted: Vec::new(),
            next: None,
            refused,
        };
        trail.add(query, &mut before, classes.recent);
        for _ in 0..MAX_SEGMENTS_READ {
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

impl AuditEntries {
    /// Adds the selected changes of `rows`, which are sorted oldest first, up to the limit.
    /// Sets `before` to the oldest change that was considered.
    fn add(&mut self, query: &AuditQuery, before: &mut ChangeNumber, rows: Vec<AcceptedChange>) {
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
