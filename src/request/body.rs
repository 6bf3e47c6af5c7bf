//! The body of a message from outside.

use std::ops::Deref;
use std::sync::Arc;

use crate::process::Reservation;

/// A body with the reservation of its memory, which ends with the last copy.
#[derive(Clone, Debug, Default)]
pub struct Body {
    bytes: Vec<u8>,
    memory: Option<Arc<Reservation>>,
}

impl Body {
    pub(crate) fn new(bytes: Vec<u8>, memory: Option<Reservation>) -> Self {
        let memory = memory.map(Arc::new);
        Self { bytes, memory }
    }

    /// Drops the bytes and returns the reservation, for another form of the same content.
    pub(crate) fn into_memory(self) -> Option<Arc<Reservation>> {
        self.memory
    }
}

impl From<Vec<u8>> for Body {
    fn from(bytes: Vec<u8>) -> Self {
        Self::new(bytes, None)
    }
}

impl Deref for Body {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl PartialEq for Body {
    fn eq(&self, other: &Self) -> bool {
        self.bytes == other.bytes
    }
}

impl Eq for Body {}
