//! The JSON bodies of the store's object API.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::process::{
    Change, Changes, Expected, ListedInstance, Listing, Object, ObjectKey, PlatformError,
};
use crate::types::{Era, ObjectVersion, Revision};

/// A page of the objects of one kind.
#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct PageWire<'a> {
    /// The objects, each decoded separately, so that an invalid one does not hide the others.
    #[serde(borrow, default)]
    pub(super) items: Vec<&'a RawValue>,
    /// Whether there are further pages.
    #[serde(default)]
    pub(super) more: bool,
    /// The store's current revision.
    pub(super) current_rev: u64,
}

impl PageWire<'_> {
    /// Returns the name of the last object that has a readable one, after which the next page
    /// starts.
    pub(super) fn last_name(&self) -> Option<String> {
        #[derive(Deserialize)]
        struct Named {
            meta: MetaWire,
        }
        let name = |raw: &&RawValue| {
            let named: Named = serde_json::from_str(raw.get()).ok()?;
            Some(named.meta.name)
        };
        self.items.iter().rev().find_map(name)
    }
}

/// The changes that a watch returned.
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

/// One object in a reply of the store.
#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct ObjectWire<'a> {
    meta: MetaWire,
    /// The content that the object's creator set.
    #[serde(borrow, default)]
    spec: Option<&'a RawValue>,
}

#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct MetaWire {
    name: String,
    /// The store's revision at the object's last change; 0 for a new object.
    #[serde(default)]
    revision: u64,
}

/// The spec of an object that lists an instance.
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

/// One object in a write request.
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

/// Returns the text of a body. Bytes that are not UTF-8 are replaced, and control characters, which
/// JSON allows only as white space between tokens, become spaces. Otherwise the object which has them
/// would hide the others.
pub(super) fn text(body: &[u8]) -> Cow<'_, str> {
    let text = String::from_utf8_lossy(body);
    let is_control = |c: char| c < ' ';
    if text.contains(is_control) {
        Cow::Owned(text.replace(is_control, " "))
    } else {
        text
    }
}

pub(super) fn protocol_error(error: impl std::fmt::Display) -> PlatformError {
    PlatformError::Protocol(error.to_string())
}

/// Decodes one object of a kind.
///
/// # Errors
/// [`PlatformError::Protocol`] if its name is missing or its revision is not a number.
pub(super) fn decode_object(kind: &str, raw: &RawValue) -> Result<Object, PlatformError> {
    let wire: ObjectWire<'_> = serde_json::from_str(raw.get()).map_err(protocol_error)?;
    let value = wire.spec.map_or("null", RawValue::get);
    Ok(Object {
        key: ObjectKey::new(format!("{kind}/{}", wire.meta.name)),
        version: ObjectVersion(wire.meta.revision),
        value: value.as_bytes().to_vec(),
    })
}

/// Checks that a reply shows the object as this write left it. Replies do not say which call they
/// answer, so it may be the late copy of an earlier one.
///
/// # Errors
/// [`PlatformError::Protocol`] if the reply is not to this write, whose outcome is then unknown.
pub(super) fn check_written(
    written: &Object,
    key: &ObjectKey,
    value: &[u8],
    expected: Expected,
) -> Result<(), PlatformError> {
    let is_written = match expected {
        Expected::Absent => true,
        // A write that changes nothing leaves the version as it is.
        Expected::Version(version) if written.version == version => {
            has_same_json(&written.value, value)
        }
        Expected::Version(version) => written.version > version,
    };
    if written.key != *key || !is_written {
        return Err(protocol_error("the reply to a write shows another object"));
    }
    Ok(())
}

fn has_same_json(one: &[u8], two: &[u8]) -> bool {
    let parse = |json| serde_json::from_slice::<serde_json::Value>(json).ok();
    parse(one).is_some_and(|json| Some(json) == parse(two))
}

/// Adds a page to a listing; objects that cannot be decoded are skipped and logged.
pub(super) fn add_page(listing: &mut Listing, kind: &str, page: &PageWire<'_>) {
    for raw in &page.items {
        match decode_object(kind, raw) {
            Ok(object) => listing.objects.push(object),
            Err(error) => tracing::warn!(kind, %error, "could not decode an object"),
        }
    }
}

/// Decodes the changes of a watch; those that cannot be decoded are skipped and logged.
pub(super) fn decode_changes(kind: &str, era: Era, wire: &EventsWire<'_>) -> Changes {
    let mut changes = Vec::with_capacity(wire.events.len());
    for event in &wire.events {
        match decode_object(kind, event.object) {
            Ok(object) => changes.push(Change {
                key: object.key.clone(),
                version: object.version,
                object: (!event.deleted).then_some(object),
            }),
            Err(error) => tracing::warn!(kind, %error, "could not decode a change"),
        }
    }
    Changes {
        era,
        revision: Revision(wire.current_rev),
        changes,
    }
}

/// Decodes the objects that each describe an instance.
///
/// # Errors
/// [`PlatformError::Protocol`] if one cannot be decoded: a list without that instance would mean
/// that the instance is gone.
pub(super) fn decode_instances(listing: &Listing) -> Result<Vec<ListedInstance>, PlatformError> {
    listing.objects.iter().map(decode_instance).collect()
}

fn decode_instance(object: &Object) -> Result<ListedInstance, PlatformError> {
    let wire: InstanceWire = serde_json::from_slice(&object.value).map_err(protocol_error)?;
    let (_, name) = object.key.as_str().split_once('/').unwrap_or_default();
    Ok(ListedInstance {
        name: parse_field(name)?,
        addr: parse_field(&wire.addr)?,
        peer_addr: parse_field(&wire.peer_addr)?,
        failure_domain: parse_field(&wire.failure_domain)?,
        region: parse_field(&wire.region)?,
        leaving: wire.leaving,
    })
}

fn parse_field<T>(text: &str) -> Result<T, PlatformError>
where
    T: std::str::FromStr<Err: std::fmt::Display>,
{
    text.parse().map_err(|error: T::Err| protocol_error(error))
}

#[cfg(test)]
#[path = "store_wire_tests.rs"]
mod store_wire_tests;
