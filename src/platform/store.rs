//! A client of the platform's store, which addresses objects by kind and name over HTTP/1.1.
//!
//! The part of a key before the first `/` is the kind and the rest is the name. The store lists and
//! watches whole kinds; objects that do not match the rest of a prefix are filtered out here.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::BoxFuture;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::value::RawValue;

use super::store_connections::{Reply, StoreConnections};
use super::store_wire::{
    EventsWire, PageWire, WriteMetaWire, WriteWire, add_page, check_written, decode_changes,
    decode_instances, decode_object, protocol_error, text,
};
use crate::process::{
    CallRates, Change, Changes, Expected, ListedInstance, Listing, Object, ObjectKey, Platform,
    PlatformError,
};
use crate::types::{Era, ObjectVersion, Revision, Span};

/// A listing of 120,000 replicas has a few hundred pages.
const MAX_PAGES: usize = 1_000;
/// The kind of the objects that each describe an instance, where no other list of instances exists.
const INSTANCES: &str = "instances";

const ESCAPED_IN_PATH: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b'~');

/// A client of the store that reuses its connections and limits its call rates.
#[derive(Debug)]
pub struct ObjectStore {
    connections: StoreConnections,
}

impl ObjectStore {
    /// Creates a client of the store at `addr` that keeps within `rates`.
    #[must_use]
    pub fn new(addr: SocketAddr, rates: CallRates) -> Self {
        let connections = StoreConnections::new(addr, rates);
        Self { connections }
    }

    async fn read_page(&self, kind: &str, after: Option<&str>) -> Result<Reply, PlatformError> {
        let kind = escape(kind);
        let path = match after {
            None => format!("/api/objects/{kind}"),
            Some(after) => format!("/api/objects/{kind}?after={}", escape(after)),
        };
        self.connections.read(&path, Duration::ZERO).await
    }
}

fn escape(text: &str) -> String {
    utf8_percent_encode(text, ESCAPED_IN_PATH).to_string()
}

/// Splits a key into kind and name.
fn split_key(key: &ObjectKey) -> Result<(&str, &str), PlatformError> {
    key.check()?;
    Ok(key.as_str().split_once('/').unwrap_or_default())
}

fn object_path(key: &ObjectKey) -> Result<String, PlatformError> {
    let (kind, name) = split_key(key)?;
    Ok(format!("/api/objects/{}/{}", escape(kind), escape(name)))
}

fn kind_of(prefix: &str) -> &str {
    prefix.split_once('/').map_or(prefix, |(kind, _)| kind)
}

fn raw_json(body: &[u8]) -> Result<&RawValue, PlatformError> {
    serde_json::from_slice(body).map_err(protocol_error)
}

impl Platform for ObjectStore {
    fn instances(&self) -> BoxFuture<'_, Result<Vec<ListedInstance>, PlatformError>> {
        Box::pin(async { decode_instances(&self.list(INSTANCES).await?) })
    }

    fn get<'a>(
        &'a self,
        key: &'a ObjectKey,
    ) -> BoxFuture<'a, Result<Option<Object>, PlatformError>> {
        Box::pin(async move {
            let (kind, _) = split_key(key)?;
            let reply = self
                .connections
                .read(&object_path(key)?, Duration::ZERO)
                .await?;
            if reply.status == 404 {
                return Ok(None);
            }
            decode_object(kind, raw_json(&reply.body)?).map(Some)
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Listing, PlatformError>> {
        Box::pin(async move {
            let kind = kind_of(prefix);
            let mut listing = Listing {
                era: Era::default(),
                revision: Revision(0),
                objects: Vec::new(),
            };
            let mut after: Option<String> = None;
            for page in 0..MAX_PAGES {
                let reply = self.read_page(kind, after.as_deref()).await?;
                let text = text(&reply.body);
                let wire: PageWire<'_> = serde_json::from_str(&text).map_err(protocol_error)?;
                if page == 0 {
                    // Changes made while later pages are read are reported by a watch from this revision.
                    listing.revision = Revision(wire.current_rev);
                    listing.era = reply.era;
                }
                if reply.era != listing.era {
                    return Err(PlatformError::EraChanged);
                }
                add_page(&mut listing, kind, &wire);
                if !wire.more || wire.items.is_empty() {
                    let is_under = |object: &Object| object.key.is_under(prefix);
                    listing.objects.retain(is_under);
                    return Ok(listing);
                }
                let last_name = wire.last_name();
                after = Some(last_name.ok_or_else(|| protocol_error("a page has no names"))?);
            }
            Err(protocol_error("the listing has too many pages"))
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a ObjectKey,
        value: Vec<u8>,
        expected: Expected,
    ) -> BoxFuture<'a, Result<ObjectVersion, PlatformError>> {
        Box::pin(async move {
            let (kind, name) = split_key(key)?;
            let (method, path, revision) = match expected {
                Expected::Absent => ("POST", format!("/api/objects/{}", escape(kind)), None),
                Expected::Version(version) => ("PUT", object_path(key)?, Some(version.0)),
            };
            let wire = WriteWire {
                meta: WriteMetaWire { name, revision },
                spec: raw_json(&value)
                    .map_err(|error| PlatformError::Rejected(error.to_string()))?,
            };
            let body = serde_json::to_string(&wire).map_err(protocol_error)?;
            let reply = self.connections.write(method, &path, Some(&body)).await?;
            if reply.status == 404 {
                return Err(PlatformError::Conflict);
            }
            let written = decode_object(kind, raw_json(&reply.body)?)?;
            check_written(&written, key, &value, expected)?;
            Ok(written.version)
        })
    }

    fn delete<'a>(
        &'a self,
        key: &'a ObjectKey,
        expected: ObjectVersion,
    ) -> BoxFuture<'a, Result<(), PlatformError>> {
        Box::pin(async move {
            let path = format!("{}?revision={expected}", object_path(key)?);
            let reply = self.connections.write("DELETE", &path, None).await?;
            match reply.status {
                404 => Err(PlatformError::Conflict),
                _ => Ok(()),
            }
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        from: Revision,
        wait: Span,
    ) -> BoxFuture<'a, Result<Changes, PlatformError>> {
        Box::pin(async move {
            let kind = kind_of(prefix);
            let wait_ms = wait.as_millis();
            let path = format!(
                "/api/objects/{}?watch={from}&wait_ms={wait_ms}",
                escape(kind)
            );
            let reply = self.connections.read(&path, wait.as_duration()).await?;
            let text = text(&reply.body);
            let wire: EventsWire<'_> = serde_json::from_str(&text).map_err(protocol_error)?;
            let mut changes = decode_changes(kind, reply.era, &wire);
            let is_under = |change: &Change| change.key.is_under(prefix);
            changes.changes.retain(is_under);
            Ok(changes)
        })
    }
}
