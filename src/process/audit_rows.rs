//! The rows of the audit trail and the bounds within which they are kept.

use super::ObjectKey;
use super::config::{Proposal, Wish};
use crate::error::{ErrorKind, Refusal};
use crate::types::{ChangeId, ChangeNumber, ClassName, OperatorName, UnixSeconds};
use crate::version::AcceptedChange;

/// How many changes a segment holds.
const SEGMENT_ROWS: u64 = 128;
/// How many segments are kept; a newer one replaces the one so many before it.
const SEGMENTS: u64 = 512;
/// How many refused changes are kept.
const MOST_REFUSED: usize = 512;
/// How many refused changes an instance notes between two flushes.
const MOST_UNWRITTEN: usize = 64;
const MOST_DETAIL_CHARS: usize = 200;

/// The place of a segment in the order of all segments.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SegmentNumber(pub(crate) u64);

impl SegmentNumber {
    /// The segment of a change.
    pub(crate) fn of(number: ChangeNumber) -> Self {
        Self(number.0 / SEGMENT_ROWS)
    }

    /// The object that holds it, until a newer segment takes its place.
    pub(crate) fn key(self) -> ObjectKey {
        ObjectKey::new(format!("audit/changes/{:03}", self.0 % SEGMENTS))
    }
}

/// Accepted changes with consecutive numbers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Segment {
    pub(crate) number: SegmentNumber,
    pub(crate) rows: Vec<AcceptedChange>,
}

impl Segment {
    /// What is to be stored so that these rows of segment `number` are there; nothing
    /// when they are, or when a newer segment has taken the place.
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
        let known = segment.rows.len();
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
        (segment.rows.len() > known).then_some(segment)
    }
}

/// A change that was refused, or whose outcome its operator was not told.
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
            removes: matches!(proposal.wish, Wish::Remove(_)),
            outcome: refusal.kind.to_string(),
            detail: refusal.detail.chars().take(MOST_DETAIL_CHARS).collect(),
        }
    }

    /// Whether the change may have been accepted all the same.
    pub(crate) fn is_unsettled(&self) -> bool {
        self.outcome == ErrorKind::Unsettled.row().code
    }
}

/// Refused changes, oldest first, and how many more there were.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RefusedLog {
    pub(crate) rows: Vec<RefusedChange>,
    pub(crate) omitted: u64,
}

impl RefusedLog {
    pub(crate) fn is_empty(&self) -> bool {
        self.rows.is_empty() && self.omitted == 0
    }

    /// Adds a change that is not yet written, or counts it when there are many.
    pub(crate) fn push_unwritten(&mut self, change: RefusedChange) {
        if self.rows.len() < MOST_UNWRITTEN {
            self.rows.push(change);
        } else {
            self.omitted += 1;
        }
    }

    /// Adds what came after; false when it is all there already, because a write whose
    /// reply was lost took effect.
    pub(crate) fn append(&mut self, later: &Self) -> bool {
        let new = |row: &&RefusedChange| !self.rows.contains(row);
        let rows: Vec<RefusedChange> = later.rows.iter().filter(new).cloned().collect();
        if rows.is_empty() && !later.rows.is_empty() {
            return false;
        }
        self.rows.extend(rows);
        self.omitted += later.omitted;
        let dropped = self.rows.len().saturating_sub(MOST_REFUSED);
        self.rows.drain(..dropped);
        true
    }

    /// Takes back what could not be written, before what was noted meanwhile.
    pub(crate) fn put_back(&mut self, mut earlier: Self) {
        for change in self.rows.drain(..) {
            earlier.push_unwritten(change);
        }
        earlier.omitted += self.omitted;
        *self = earlier;
    }
}
