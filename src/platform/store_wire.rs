//! The bodies of the store's object API.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::process::{Change, Changes, ListedInstance, Listing, Object, ObjectKey, PlatformError};
use crate::types::{ObjectVersion, Revision};

/// A page of the objects of one kind.
#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct PageWire<'a> {
    /// The objects; one that cannot be read hides no other.
    #[serde(borrow, default)]
    pub(super) items: Vec<&'a RawValue>,
    /// Whether there are objects beyond the last one here.
    #[serde(default)]
    pub(super) more: bool,
    /// The store's revision.
    pub(super) current_rev: u64,
}

impl PageWire<'_> {
    /// The name that the next page goes on after.
    ///
    /// # Errors
    /// [`PlatformError::Protocol`] when the last object has no name.
    pub(super) fn last_name(&self) -> Result<Option<String>, PlatformError> {
        #[derive(Deserialize)]
        struct Named {
            meta: MetaWire,
        }
        let Some(last) = self.items.last() else {
            return Ok(None);
        };
        let named: Named = serde_json::from_str(last.get()).map_err(protocol)?;
        Ok(Some(named.meta.name))
    }
}

/// The changes that a watch saw.
#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct EventsWire<'a> {
    #[serde(borrow, default)]
    pub(super) events: Vec<EventWire<'a>>,
    pub(super) current_rev: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct EventWire<'a> {
    #[serde(borrow)]
    object: &'a RawValue,
    #[serde(default)]
    deleted: bool,
}

/// One object as it is read.
#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct ObjectWire<'a> {
    meta: MetaWire,
    /// What whoever made the object states.
    #[serde(borrow, default)]
    spec: Option<&'a RawValue>,
}

#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct MetaWire {
    name: String,
    /// The store's revision at the object's last change; 0 in an object that is new.
    #[serde(default)]
    revision: u64,
}

/// An instance as a deployment states it.
#[derive(Debug)]
#[derive(Deserialize)]
struct InstanceWire {
    addr: String,
    peer_addr: String,
    failure_domain: String,
    region: String,
    #[serde(default)]
    leaving: bool,
}

/// An object as it is written.
#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct WriteWire<'a> {
    pub(super) meta: WriteMetaWire<'a>,
    pub(super) spec: &'a RawValue,
}

#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct WriteMetaWire<'a> {
    pub(super) name: &'a str,
    /// The write has no effect unless the object is at this revision.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) revision: Option<u64>,
}

pub(super) fn protocol(error: impl std::fmt::Display) -> PlatformError {
    PlatformError::Protocol(error.to_string())
}

/// Reads one object of a kind.
///
/// # Errors
/// [`PlatformError::Protocol`] when it has no name or revision.
pub(super) fn object(kind: &str, raw: &RawValue) -> Result<Object, PlatformError> {
    let wire: ObjectWire<'_> = serde_json::from_str(raw.get()).map_err(protocol)?;
    let value = wire.spec.map_or("null", RawValue::get);
    Ok(Object {
        key: ObjectKey::new(format!("{kind}/{}", wire.meta.name)),
        version: ObjectVersion(wire.meta.revision),
        value: value.as_bytes().to_vec(),
    })
}

/// Adds a page to a listing; objects that cannot be read are left out with a line.
pub(super) fn add_page(listing: &mut Listing, kind: &str, page: &PageWire<'_>) {
    for raw in &page.items {
        match object(kind, raw) {
            Ok(object) => listing.objects.push(object),
            Err(error) => tracing::warn!(kind, %error, "an object cannot be read"),
        }
    }
}

pub(super) fn changes(kind: &str, wire: &EventsWire<'_>) -> Changes {
    let mut changes = Vec::with_capacity(wire.events.len());
    for event in &wire.events {
        match object(kind, event.object) {
            Ok(object) => changes.push(Change {
                key: object.key.clone(),
                object: (!event.deleted).then_some(object),
            }),
            Err(error) => tracing::warn!(kind, %error, "a change cannot be read"),
        }
    }
    Changes {
        revision: Revision(wire.current_rev),
        changes,
    }
}

/// Reads the objects that state an instance each.
///
/// # Errors
/// [`PlatformError::Protocol`] when one cannot be read, as a list that lacks an instance
/// would pass for one that says the instance is gone.
pub(super) fn listed_instances(listing: &Listing) -> Result<Vec<ListedInstance>, PlatformError> {
    listing.objects.iter().map(listed_instance).collect()
}

fn listed_instance(object: &Object) -> Result<ListedInstance, PlatformError> {
    let wire: InstanceWire = serde_json::from_slice(&object.value).map_err(protocol)?;
    let (_, name) = object.key.as_str().split_once('/').unwrap_or_default();
    Ok(ListedInstance {
        name: field(name)?,
        addr: field(&wire.addr)?,
        peer_addr: field(&wire.peer_addr)?,
        failure_domain: field(&wire.failure_domain)?,
        region: field(&wire.region)?,
        leaving: wire.leaving,
    })
}

fn field<T>(text: &str) -> Result<T, PlatformError>
where
    T: std::str::FromStr<Err: std::fmt::Display>,
{
    text.parse().map_err(|error: T::Err| protocol(error))
}

#[cfg(test)]
#[path = "store_wire_tests.rs"]
mod store_wire_tests;
