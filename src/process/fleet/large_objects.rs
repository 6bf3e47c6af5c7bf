//! Objects that are too large for one message.
//!
//! Such an object is announced, and its value follows in parts, one in each message. What has
//! arrived is kept when a request fails and when another instance is followed, so that a
//! transfer always comes to an end, however slow the link. See `docs/DESIGN.md`, "Large
//! objects".

use std::sync::Arc;

use indexmap::IndexMap;

use super::{Entry, EntryState};
use crate::process::ObjectKey;
use crate::types::{ByteCount, ObjectVersion};

/// Values that are larger than this are sent in parts.
const MAX_WHOLE_BYTES: usize = 16 << 10;
/// An object that is announced with a larger value is not requested. The platform's values have
/// at most a megabyte.
const MAX_VALUE_BYTES: u64 = 4 << 20;

/// An object whose value is sent in parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LargeObject {
    pub(crate) key: ObjectKey,
    pub(crate) version: ObjectVersion,
    /// The size of its value.
    pub(crate) size: ByteCount,
}

/// A request for the next part of an object's value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PartRequest {
    pub(crate) object: LargeObject,
    /// How much of the value the sender has.
    pub(crate) received: ByteCount,
}

/// A part of an object's value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ObjectPart {
    pub(crate) object: LargeObject,
    /// Where in the value the part begins.
    pub(crate) offset: ByteCount,
    pub(crate) bytes: Vec<u8>,
}

/// The announced objects whose values have not arrived in full.
#[derive(Clone, Debug, Default)]
pub(super) struct IncomingObjects {
    by_key: IndexMap<ObjectKey, Incoming>,
}

#[derive(Clone, Debug)]
struct Incoming {
    object: LargeObject,
    received: Vec<u8>,
}

impl LargeObject {
    /// Returns the description of an entry whose value is sent in parts.
    pub(super) fn of(entry: &Entry) -> Option<Self> {
        let EntryState::Present(value) = &entry.state else {
            return None;
        };
        (value.len() > MAX_WHOLE_BYTES).then(|| Self {
            key: entry.key.clone(),
            version: entry.version,
            size: ByteCount(value.len() as u64),
        })
    }
}

impl ObjectPart {
    /// Returns the part of at most `max_bytes` of an entry that answers a request. An entry
    /// that differs from the requested object is sent from its beginning.
    pub(super) fn answer(entry: &Entry, request: &PartRequest, max_bytes: usize) -> Option<Self> {
        let EntryState::Present(value) = &entry.state else {
            return None;
        };
        let object = LargeObject::of(entry)?;
        let offset = if object == request.object {
            usize::try_from(request.received.0).ok()?
        } else {
            0
        };
        let rest = value.get(offset..)?;
        Some(Self {
            object,
            offset: ByteCount(offset as u64),
            bytes: rest[..rest.len().min(max_bytes)].to_vec(),
        })
    }
}

impl IncomingObjects {
    pub(super) fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Records that an object was announced. What arrived of another version is discarded.
    pub(super) fn announce(&mut self, object: LargeObject) {
        let known = self.by_key.get(&object.key);
        let is_new = known.is_none_or(|known| object.version > known.object.version);
        if object.size.0 > MAX_VALUE_BYTES {
            tracing::warn!(key = %object.key, size = %object.size, "an announced object is too large");
        } else if is_new {
            self.begin(object);
        }
    }

    /// Returns the request for the next part that is missing.
    pub(super) fn next_request(&self) -> Option<PartRequest> {
        self.by_key.values().next().map(|incoming| PartRequest {
            object: incoming.object.clone(),
            received: ByteCount(incoming.received.len() as u64),
        })
    }

    /// Adds a part. Returns the object's entry when its value is complete.
    pub(super) fn add(&mut self, part: &ObjectPart) -> Option<Entry> {
        let known = self.by_key.get(&part.object.key)?;
        // The sender may hold a later version than the one that was announced.
        let replaces = part.offset == ByteCount(0)
            && part.object.version >= known.object.version
            && part.object != known.object
            && part.object.size.0 <= MAX_VALUE_BYTES;
        if replaces {
            self.begin(part.object.clone());
        }
        let incoming = self.by_key.get_mut(&part.object.key)?;
        let continues = part.object == incoming.object
            && part.offset == ByteCount(incoming.received.len() as u64);
        if !continues {
            return None;
        }
        incoming.received.extend_from_slice(&part.bytes);
        if (incoming.received.len() as u64) < incoming.object.size.0 {
            return None;
        }
        let complete = self.by_key.shift_remove(&part.object.key)?;
        tracing::info!(key = %part.object.key, version = %part.object.version, "a large object has arrived");
        Some(Entry {
            key: complete.object.key,
            version: complete.object.version,
            state: EntryState::Present(Arc::from(complete.received)),
        })
    }

    /// Discards what arrived of a version that is no newer than a known one.
    pub(super) fn discard(&mut self, key: &ObjectKey, known: ObjectVersion) {
        let incoming = self.by_key.get(key);
        if incoming.is_some_and(|incoming| incoming.object.version <= known) {
            self.by_key.shift_remove(key);
        }
    }

    fn begin(&mut self, object: LargeObject) {
        let replaced = self.by_key.get(&object.key);
        let discarded = replaced.map_or(0, |replaced| replaced.received.len());
        tracing::info!(key = %object.key, version = %object.version, size = %object.size, discarded, "a large object is on its way");
        let incoming = Incoming {
            object: object.clone(),
            received: Vec::new(),
        };
        self.by_key.insert(object.key, incoming);
    }
}

#[cfg(test)]
#[path = "large_objects_tests.rs"]
mod large_objects_tests;
