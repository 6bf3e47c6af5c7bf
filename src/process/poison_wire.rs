//! The object in which instances share poison marks; see `docs/INTERFACES.md`, "Objects".

use serde::{Deserialize, Serialize};

use super::poison::{PoisonMarks, StoredMark};
use super::{Object, PlatformError};
use crate::types::{Fingerprint, ParseError, UnixSeconds};

/// All marks: request, incidents, and the second of publication.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct PoisonMarksWire {
    marks: Vec<(String, u32, u64)>,
}

impl PoisonMarksWire {
    pub(super) fn encode(&self) -> Result<Vec<u8>, PlatformError> {
        serde_json::to_vec(self).map_err(|error| PlatformError::Protocol(error.to_string()))
    }
}

impl From<&PoisonMarks> for PoisonMarksWire {
    fn from(marks: &PoisonMarks) -> Self {
        let row = |(request, stored): (&Fingerprint, &StoredMark)| {
            (request.to_string(), stored.incidents, stored.at.0)
        };
        Self {
            marks: marks.by_request.iter().map(row).collect(),
        }
    }
}

impl TryFrom<PoisonMarksWire> for PoisonMarks {
    type Error = ParseError;

    fn try_from(wire: PoisonMarksWire) -> Result<Self, ParseError> {
        let mut marks = Self::default();
        for (request, incidents, at) in wire.marks {
            let at = UnixSeconds(at);
            let stored = StoredMark { incidents, at };
            marks.by_request.insert(request.parse()?, stored);
        }
        Ok(marks)
    }
}

impl TryFrom<&Object> for PoisonMarks {
    type Error = PlatformError;

    fn try_from(object: &Object) -> Result<Self, PlatformError> {
        let wire: PoisonMarksWire = serde_json::from_slice(&object.value)
            .map_err(|error| PlatformError::Protocol(error.to_string()))?;
        Self::try_from(wire).map_err(|error| PlatformError::Protocol(error.to_string()))
    }
}
