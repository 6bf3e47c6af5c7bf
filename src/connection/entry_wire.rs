//! The `bincode` types of the platform's objects in updates; see `peer_wire.rs` for the
//! encoding.
//!
//! Variants are only ever added at the end, so that instances of the version before can read
//! every message that has none of the new ones.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::process::{Entry, EntryState, LargeObject, ObjectKey, ObjectPart, PartRequest, Updates};
use crate::types::{ByteCount, ObjectVersion};

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
enum EntryStateWire {
    Held(Vec<u8>),
    Gone,
    Lapsed,
    /// The object's value has this size, and is sent in parts.
    Large(u64),
    Part {
        size: u64,
        offset: u64,
        bytes: Vec<u8>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct EntryWire {
    key: String,
    version: u64,
    state: EntryStateWire,
}

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
    pub(super) part: Option<ObjectPart>,
}

/// Encodes all objects of a message.
pub(super) fn entries(updates: &Updates) -> Vec<EntryWire> {
    let whole = updates.objects.iter().map(EntryWire::from);
    let large = updates.large.iter().map(EntryWire::from);
    let part = updates.part.iter().map(EntryWire::from);
    whole.chain(large).chain(part).collect()
}

/// Decodes all objects of a message.
pub(super) fn received(wires: Vec<EntryWire>) -> ReceivedObjects {
    let mut received = ReceivedObjects::default();
    for wire in wires {
        let key = ObjectKey::new(wire.key);
        let version = ObjectVersion(wire.version);
        let large = |key, size| LargeObject {
            key,
            version,
            size: ByteCount(size),
        };
        let state = match wire.state {
            EntryStateWire::Held(value) => EntryState::Present(Arc::from(value)),
            EntryStateWire::Gone => EntryState::Gone,
            EntryStateWire::Lapsed => EntryState::Lapsed,
            EntryStateWire::Large(size) => {
                received.large.push(large(key, size));
                continue;
            }
            EntryStateWire::Part {
                size,
                offset,
                bytes,
            } => {
                received.part = Some(ObjectPart {
                    object: large(key, size),
                    offset: ByteCount(offset),
                    bytes,
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
    received
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
            state: EntryStateWire::Large(object.size.0),
        }
    }
}

impl From<&ObjectPart> for EntryWire {
    fn from(part: &ObjectPart) -> Self {
        Self {
            key: part.object.key.to_string(),
            version: part.object.version.0,
            state: EntryStateWire::Part {
                size: part.object.size.0,
                offset: part.offset.0,
                bytes: part.bytes.clone(),
            },
        }
    }
}

impl From<&PartRequest> for PartRequestWire {
    fn from(request: &PartRequest) -> Self {
        Self {
            key: request.object.key.to_string(),
            version: request.object.version.0,
            size: request.object.size.0,
            received: request.received.0,
        }
    }
}

impl From<PartRequestWire> for PartRequest {
    fn from(wire: PartRequestWire) -> Self {
        Self {
            object: LargeObject {
                key: ObjectKey::new(wire.key),
                version: ObjectVersion(wire.version),
                size: ByteCount(wire.size),
            },
            received: ByteCount(wire.received),
        }
    }
}
