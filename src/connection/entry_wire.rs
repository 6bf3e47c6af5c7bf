//! The `bincode` types of the platform's objects in updates; see `peer_wire.rs` for the
//! encoding.
//!
//! Variants are only ever added at the end, so that instances of the version before can read
//! every message that has none of the new ones.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::peer_wire::PeerWireError;
use crate::process::{Chunk, Entry, EntryState, LargeObject, ObjectKey, Updates};
use crate::types::{ByteCount, ChunkId, ObjectVersion};

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
enum EntryStateWire {
    Held(Vec<u8>),
    Gone,
    Lapsed,
    /// Only the version before sends `Large` and `Part`.
    Large(u64),
    Part {
        size: u64,
        offset: u64,
        bytes: Vec<u8>,
    },
    /// The object's value has this size, and is sent in these chunks.
    Chunked {
        size: u64,
        chunks: Vec<u128>,
    },
    /// A compressed chunk. It belongs to no object, so key and version are empty.
    Chunk {
        id: u128,
        compressed: Vec<u8>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct EntryWire {
    key: String,
    version: u64,
    state: EntryStateWire,
}

/// A request of the version before for a part of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct PartRequestWire {
    key: String,
    version: u64,
    size: u64,
    received: u64,
}

/// The objects of a message by kind.
#[derive(Debug, Default)]
pub(super) struct ReceivedObjects {
    pub(super) entries: Vec<Entry>,
    pub(super) large: Vec<LargeObject>,
    pub(super) chunks: Vec<Chunk>,
}

/// Encodes all objects of a message.
pub(super) fn entries(updates: &Updates) -> Vec<EntryWire> {
    let whole = updates.objects.iter().map(EntryWire::from);
    let large = updates.large.iter().map(EntryWire::from);
    let chunks = updates.chunks.iter().map(EntryWire::from);
    whole.chain(large).chain(chunks).collect()
}

/// Decodes all objects of a message.
///
/// # Errors
/// [`PeerWireError::OlderVersion`] if the sender announces large objects as the version before did.
pub(super) fn received(wires: Vec<EntryWire>) -> Result<ReceivedObjects, PeerWireError> {
    let mut received = ReceivedObjects::default();
    for wire in wires {
        let key = ObjectKey::new(wire.key);
        let version = ObjectVersion(wire.version);
        let state = match wire.state {
            EntryStateWire::Held(value) => EntryState::Present(Arc::from(value)),
            EntryStateWire::Gone => EntryState::Gone,
            EntryStateWire::Lapsed => EntryState::Lapsed,
            EntryStateWire::Large(_) | EntryStateWire::Part { .. } => {
                return Err(PeerWireError::OlderVersion);
            }
            EntryStateWire::Chunked { size, chunks } => {
                received.large.push(LargeObject {
                    key,
                    version,
                    size: ByteCount(size),
                    chunks: chunks.into_iter().map(ChunkId).collect(),
                });
                continue;
            }
            EntryStateWire::Chunk { id, compressed } => {
                received.chunks.push(Chunk {
                    id: ChunkId(id),
                    compressed: Arc::from(compressed),
                });
                continue;
            }
        };
        received.entries.push(Entry {
            key,
            version,
            state,
        });
    }
    Ok(received)
}

impl From<&Entry> for EntryWire {
    fn from(entry: &Entry) -> Self {
        let state = match &entry.state {
            EntryState::Present(value) => EntryStateWire::Held(value.to_vec()),
            EntryState::Gone => EntryStateWire::Gone,
            EntryState::Lapsed => EntryStateWire::Lapsed,
        };
        Self {
            key: entry.key.to_string(),
            version: entry.version.0,
            state,
        }
    }
}

impl From<&LargeObject> for EntryWire {
    fn from(object: &LargeObject) -> Self {
        Self {
            key: object.key.to_string(),
            version: object.version.0,
            state: EntryStateWire::Chunked {
                size: object.size.0,
                chunks: object.chunks.iter().map(|id| id.0).collect(),
            },
        }
    }
}

impl From<&Chunk> for EntryWire {
    fn from(chunk: &Chunk) -> Self {
        Self {
            key: String::new(),
            version: 0,
            state: EntryStateWire::Chunk {
                id: chunk.id.0,
                compressed: chunk.compressed.to_vec(),
            },
        }
    }
}

#[cfg(test)]
#[path = "entry_wire_tests.rs"]
mod entry_wire_tests;
