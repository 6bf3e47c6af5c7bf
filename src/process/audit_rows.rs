//! The rows of the audit trail and the limits on how many are kept.

use super::ObjectKey;
use super::config::{ClassChange, Proposal};
use crate::error::{ErrorKind, Refusal};
use crate::types::{ChangeId, ChangeNumber, ClassName, OperatorName, UnixSeconds};
use crate::version::AcceptedChange;

/// The number of changes per segment.
const ROWS_PER_SEGMENT: u64 = 128;
/// The number of segments kept; each newer one replaces the oldest.
const MAX_SEGMENTS: u64 = 512;
/// The number of refused changes kept on the platform.
const MAX_REFUSED: usize = 512;
/// The number of refused changes that an instance keeps between two flushes.
const MAX_UNWRITTEN: usize = 64;
const MAX_DETAIL_CHARS: usize = 200;

/// The number of a segment, counted from the first change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SegmentNumber(pub(crate) u64);

impl SegmentNumber {
    /// The segment that holds a change.
    pub(crate) fn of(number: ChangeNumber) -> Self {
        Self(number.0 / ROWS_PER_SEGMENT)
    }

    /// The key of its object, which a newer segment later reuses.
    pub(crate) fn key(self) -> ObjectKey {
        ObjectKey::new(format!("audit/changes/{:03}", self.0 % MAX_SEGMENTS))
    }
}

/// Accepted changes with consecutive numbers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Segment {
    pub(crate) number: SegmentNumber,
    pub(crate) rows: Vec<AcceptedChange>,
}

impl Segment {
    /// Merges `rows` into segment `number`. Returns `None` when there is nothing to write:
    /// all rows are stored already, or a newer segment has replaced this one.
    pub(crate) fn merge(
        stored: Option<Self>,
        number: SegmentNumber,
        rows: &[AcceptedChange],
    ) -> Option<Self> {
        let empty = Self {
            number,
            rows: Vec::new(),
        };
        let mut segment = match stored {
            Some(stored) if stored.number > number => return None,
            Some(stored) if stored.number == number => stored,
            _ => empty,
        };
        let stored_rows = segment.rows.len();
        for row in rows {
            if segment
                .rows
                .iter()
                .all(|stored| stored.number != row.number)
            {
                segment.rows.push(row.clone());
            }
        }
        segment.rows.sort_by_key(|row| row.number);
        (segment.rows.len() > stored_rows).then_some(segment)
    }
}

/// A change that was refused, or whose outcome was not known when the operator was
/// answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RefusedChange {
    pub(crate) id: ChangeId,
    pub(crate) at: UnixSeconds,
    pub(crate) who: OperatorName,
    pub(crate) name: ClassName,
    pub(crate) removes: bool,
    pub(crate) outcome: String,
    pub(crate) detail: String,
}

impl RefusedChange {
    pub(crate) fn new(proposal: &Proposal, refusal: &Refusal) -> Self {
        Self {
            id: proposal.id,
            at: proposal.at,
            who: proposal.who.clone(),
            name: proposal.name().clone(),
            removes: matches!(proposal.class_change, ClassChange::Remove(_)),
            outcome: refusal.kind.to_string(),
            detail: refusal.detail.chars().take(MAX_DETAIL_CHARS).collect(),
        }
    }

    /// Whether the change may have been accepted, since the outcome of its write was
    /// unknown.
    pub(crate) fn is_unsettled(&self) -> bool {
        self.outcome == ErrorKind::Unsettled.row().code
    }
}

/// Refused changes, oldest first, and the number of omitted ones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RefusedLog {
    pub(crate) rows: Vec<RefusedChange>,
    pub(crate) omitted: u64,
}

impl RefusedLog {
    pub(crate) fn is_empty(&self) -> bool {
        self.rows.is_empty() && self.omitted == 0
    }

    /// Adds a change that is not yet written; counts it as omitted above
    /// [`MAX_UNWRITTEN`].
    pub(crate) fn push_unwritten(&mut self, change: RefusedChange) {
        if self.rows.len() < MAX_UNWRITTEN {
            self.rows.push(change);
        } else {
            self.omitted += 1;
        }
    }

    /// Appends later changes. Returns false when all are present already, because a write
    /// whose reply was lost took effect.
    pub(crate) fn append(&mut self, later: &Self) -> bool {
        let new = |row: &&RefusedChange| !self.rows.contains(row);
        let rows: Vec<RefusedChange> = later.rows.iter().filter(new).cloned().collect();
        if rows.is_empty() && !later.rows.is_empty() {
            return false;
        }
        self.rows.extend(rows);
        self.omitted += later.omitted;
        let dropped = self.rows.len().saturating_sub(MAX_REFUSED);
        self.rows.drain(..dropped);
        true
    }

    /// Puts back changes that could not be written, ahead of those recorded meanwhile.
    pub(crate) fn put_back(&mut self, mut earlier: Self) {
        for change in self.rows.drain(..) {
            earlier.push_unwritten(change);
        }
        earlier.omitted += self.omitted;
        *self = earlier;
    }
}
