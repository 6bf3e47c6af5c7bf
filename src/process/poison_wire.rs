//! The object in which instances share poison marks; see `docs/INTERFACES.md`, "Objects".

use serde::{Deserialize, Serialize};

use super::poison::{Marks, Told};
use super::{Object, PlatformError};
use crate::types::{Fingerprint, ParseError, UnixSeconds};

/// All marks: request, incidents, and the second of publication.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct MarksWire {
    marks: Vec<(String, u32, u64)>,
}

impl MarksWire {
    pub(super) fn encode(&self) -> Result<Vec<u8>, PlatformError> {
        serde_json::to_vec(self).map_err(|error| PlatformError::Protocol(error.to_string()))
    }
}

impl From<&Marks> for MarksWire {
    fn from(marks: &Marks) -> Self {
        let row = |(request, stored): (&Fingerprint, &Told)| {
            (request.to_string(), stored.incidents, stored.at.0)
        };
        Self {
            marks: marks.by_request.iter().map(row).collect(),
        }
    }
}

impl TryFrom<MarksWire> for Marks {
    type Error = ParseError;

    fn try_from(wire: MarksWire) -> Result<Self, ParseError> {
        let mut marks = Self::default();
        for (request, incidents, at) in wire.marks {
            let at = UnixSeconds(at);
            let stored = Told { incidents, at };
            marks.by_request.insert(request.parse()?, stored);
        }
        Ok(marks)
    }
}

impl TryFrom<&Object> for Marks {
    type Error = PlatformError;

    fn try_from(object: &Object) -> Result<Self, PlatformError> {
        let wire: MarksWire = serde_json::from_slice(&object.value)
            .map_err(|error| PlatformError::Protocol(error.to_string()))?;
        Self::try_from(wire).map_err(|error| PlatformError::Protocol(error.to_string()))
    }
}
