//! The `bincode` types of the platform's objects in updates; see `peer_wire.rs` for the
//! encoding.
//!
//! Variants are only ever added at the end, so that instances of the version before can read
//! every message that has none of the new ones.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::peer_wire::PeerWireError;
use crate::process::{
    Chunk, Entry, EntryState, EntryVersion, LargeObject, ObjectKey, Updates, WriterOrder,
};
use crate::types::{ByteCount, ChunkId, Era, ObjectVersion};

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
    /// Only sent together with an era, as all that follow: the object's value outlived a copy of the store.
    Kept {
        value: Vec<u8>,
        order: WriterOrderWire,
    },
    /// The same for a value that is sent in chunks.
    ChunkedKept {
        size: u64,
        chunks: Vec<u128>,
        order: WriterOrderWire,
    },
    /// The same for a deleted object: the place of its last state.
    GoneAfter(WriterOrderWire),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct WriterOrderWire {
    started: u64,
    number: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct EntryWire {
    key: String,
    version: u64,
    state: EntryStateWire,
}

/// An entry with the era of its version. Instances of the version before cannot read it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct EraEntryWire {
    era: u64,
    entry: EntryWire,
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

/// Encodes all objects of a message with their eras.
pub(super) fn era_entries(updates: &Updates) -> Vec<EraEntryWire> {
    let whole = updates.objects.iter().map(EraEntryWire::from);
    let large = updates.large.iter().map(EraEntryWire::from);
    let chunks = updates.chunks.iter().map(|chunk| EraEntryWire {
        era: 0,
        entry: EntryWire::from(chunk),
    });
    whole.chain(large).chain(chunks).collect()
}

/// Encodes all objects of a message for an instance of the version before, without eras.
pub(super) fn entries(updates: &Updates) -> Vec<EntryWire> {
    let whole = updates.objects.iter().map(EntryWire::from);
    let large = updates.large.iter().map(EntryWire::from);
    let chunks = updates.chunks.iter().map(EntryWire::from);
    whole.chain(large).chain(chunks).collect()
}

/// Decodes all objects of a message without eras.
///
/// # Errors
/// [`PeerWireError::OlderVersion`] if the sender announces large objects as the version before did.
pub(super) fn received(wires: Vec<EntryWire>) -> Result<ReceivedObjects, PeerWireError> {
    let with_era = |entry| EraEntryWire { era: 0, entry };
    received_with_eras(wires.into_iter().map(with_era).collect())
}

/// Decodes all objects of a message.
///
/// # Errors
/// As for [`received`].
pub(super) fn received_with_eras(
    wires: Vec<EraEntryWire>,
) -> Result<ReceivedObjects, PeerWireError> {
    let mut received = ReceivedObjects::default();
    for EraEntryWire { era, entry: wire } in wires {
        let key = ObjectKey::new(wire.key);
        let version = EntryVersion::new(Era(era), ObjectVersion(wire.version));
        let state = match wire.state {
            EntryStateWire::Held(value) => EntryState::Present(Arc::from(value)),
            EntryStateWire::Kept { value, order } => {
                EntryState::Kept(Arc::from(value), order.into())
            }
            EntryStateWire::Gone => EntryState::Gone(None),
            EntryStateWire::GoneAfter(order) => EntryState::Gone(Some(order.into())),
            EntryStateWire::Lapsed => EntryState::Lapsed,
            EntryStateWire::Large(_) | EntryStateWire::Part { .. } => {
                return Err(PeerWireError::OlderVersion);
            }
            EntryStateWire::Chunked { size, chunks } => {
                let large = large_object(key, version, None, size, chunks);
                received.large.push(large);
                continue;
            }
            EntryStateWire::ChunkedKept {
                size,
                chunks,
                order,
            } => {
                let large = large_object(key, version, Some(order.into()), size, chunks);
                received.large.push(large);
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

fn large_object(
    key: ObjectKey,
    version: EntryVersion,
    kept: Option<WriterOrder>,
    size: u64,
    chunks: Vec<u128>,
) -> LargeObject {
    LargeObject {
        key,
        version,
        kept,
        size: ByteCount(size),
        chunks: chunks.into_iter().map(ChunkId).collect(),
    }
}

impl From<WriterOrder> for WriterOrderWire {
    fn from(order: WriterOrder) -> Self {
        let WriterOrder { started, number } = order;
        Self { started, number }
    }
}

impl From<WriterOrderWire> for WriterOrder {
    fn from(wire: WriterOrderWire) -> Self {
        let WriterOrderWire { started, number } = wire;
        Self { started, number }
    }
}

impl From<&Entry> for EraEntryWire {
    fn from(entry: &Entry) -> Self {
        let mut wire = EntryWire::from(entry);
        match &entry.state {
            EntryState::Kept(value, order) => {
                wire.state = EntryStateWire::Kept {
                    value: value.to_vec(),
                    order: (*order).into(),
                };
            }
            EntryState::Gone(Some(order)) => {
                wire.state = EntryStateWire::GoneAfter((*order).into());
            }
            EntryState::Present(_) | EntryState::Gone(None) | EntryState::Lapsed => {}
        }
        Self {
            era: entry.version.era.0,
            entry: wire,
        }
    }
}

impl From<&LargeObject> for EraEntryWire {
    fn from(object: &LargeObject) -> Self {
        let mut wire = EntryWire::from(object);
        if let Some(order) = object.kept {
            wire.state = EntryStateWire::ChunkedKept {
                size: object.size.0,
                chunks: object.chunks.iter().map(|id| id.0).collect(),
                order: order.into(),
            };
        }
        Self {
            era: object.version.era.0,
            entry: wire,
        }
    }
}

impl From<&Entry> for EntryWire {
    fn from(entry: &Entry) -> Self {
        let state = match &entry.state {
            EntryState::Present(value) | EntryState::Kept(value, _) => {
                EntryStateWire::Held(value.to_vec())
            }
            EntryState::Gone(_) => EntryStateWire::Gone,
            EntryState::Lapsed => EntryStateWire::Lapsed,
        };
        Self {
            key: entry.key.to_string(),
            version: entry.version.object.0,
            state,
        }
    }
}

impl From<&LargeObject> for EntryWire {
    fn from(object: &LargeObject) -> Self {
        Self {
            key: object.key.to_string(),
            version: object.version.object.0,
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
