//! The stored objects of the audit trail; see `docs/INTERFACES.md`, "Objects".

use serde::{Deserialize, Serialize};

use super::audit_rows::{RefusedChange, RefusedLog, Segment, SegmentNumber};
use crate::types::{ParseError, UnixSeconds};
use crate::version::{AcceptedChange, ChangeWire, WireError};

/// A segment of accepted changes.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct SegmentWire {
    segment: u64,
    changes: Vec<ChangeWire>,
}

/// The refused changes.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub(crate) struct RefusedLogWire {
    refused: Vec<RefusedWire>,
    omitted: u64,
}

#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct RefusedWire {
    id: String,
    at: u64,
    who: String,
    class: String,
    removes: bool,
    outcome: String,
    detail: String,
}

impl From<&Segment> for SegmentWire {
    fn from(segment: &Segment) -> Self {
        Self {
            segment: segment.number.0,
            changes: segment.rows.iter().map(ChangeWire::from).collect(),
        }
    }
}

impl TryFrom<&SegmentWire> for Segment {
    type Error = WireError;

    fn try_from(wire: &SegmentWire) -> Result<Self, WireError> {
        let rows = wire.changes.iter().map(AcceptedChange::try_from);
        Ok(Self {
            number: SegmentNumber(wire.segment),
            rows: rows.collect::<Result<_, _>>()?,
        })
    }
}

impl From<&RefusedLog> for RefusedLogWire {
    fn from(log: &RefusedLog) -> Self {
        let row = |change: &RefusedChange| RefusedWire {
            id: change.id.to_string(),
            at: change.at.0,
            who: change.who.to_string(),
            class: change.name.to_string(),
            removes: change.removes,
            outcome: change.outcome.clone(),
            detail: change.detail.clone(),
        };
        Self {
            refused: log.rows.iter().map(row).collect(),
            omitted: log.omitted,
        }
    }
}

impl From<RefusedLogWire> for RefusedLog {
    /// Rows that cannot be parsed are dropped and counted as omitted.
    fn from(wire: RefusedLogWire) -> Self {
        let total = wire.refused.len();
        let rows: Vec<RefusedChange> = wire
            .refused
            .into_iter()
            .filter_map(|row| RefusedChange::try_from(row).ok())
            .collect();
        let unreadable = (total - rows.len()) as u64;
        Self {
            rows,
            omitted: wire.omitted.saturating_add(unreadable),
        }
    }
}

impl TryFrom<RefusedWire> for RefusedChange {
    type Error = ParseError;

    fn try_from(wire: RefusedWire) -> Result<Self, ParseError> {
        Ok(Self {
            id: wire.id.parse()?,
            at: UnixSeconds(wire.at),
            who: wire.who.parse()?,
            name: wire.class.parse()?,
            removes: wire.removes,
            outcome: wire.outcome,
            detail: wire.detail,
        })
    }
}
