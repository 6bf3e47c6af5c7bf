//! The client of the platform's store: objects by kind and name over HTTP/1.1.
//!
//! A key's first part is the kind and the rest the name. A prefix names a kind, and what
//! stands under its `/` narrows what is given back.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::BoxFuture;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::value::RawValue;

use super::store_link::{Link, Reply};
use super::store_wire::{
    EventsWire, PageWire, WriteMetaWire, WriteWire, add_page, changes, listed_instances, object,
    protocol,
};
use crate::process::{
    CallRates, Change, Changes, Expected, ListedInstance, Listing, Object, ObjectKey, Platform,
    PlatformError,
};
use crate::types::{ObjectVersion, Revision, Span};

/// A listing of 120,000 replicas has a few hundred pages.
const MOST_PAGES: usize = 1_000;
/// Objects of this kind say which instances there are, where no one else does.
const INSTANCES: &str = "instances";

const IN_PATH: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b'~');

/// A client of the store that keeps its connections and its share of the rates.
#[derive(Debug)]
pub struct ObjectStore {
    link: Link,
}

impl ObjectStore {
    /// A client of the store at `addr` that makes at most so many calls a second.
    #[must_use]
    pub fn new(addr: SocketAddr, rates: CallRates) -> Self {
        let link = Link::new(addr, rates);
        Self { link }
    }

    async fn page(&self, kind: &str, after: Option<&str>) -> Result<Reply, PlatformError> {
        let kind = escaped(kind);
        let path = match after {
            None => format!("/api/objects/{kind}"),
            Some(after) => format!("/api/objects/{kind}?after={}", escaped(after)),
        };
        self.link.read(&path, Duration::ZERO).await
    }
}

fn escaped(text: &str) -> String {
    utf8_percent_encode(text, IN_PATH).to_string()
}

/// The kind and name that a key stands for.
fn parts(key: &ObjectKey) -> Result<(&str, &str), PlatformError> {
    key.check()?;
    Ok(key.as_str().split_once('/').unwrap_or_default())
}

fn path(key: &ObjectKey) -> Result<String, PlatformError> {
    let (kind, name) = parts(key)?;
    Ok(format!("/api/objects/{}/{}", escaped(kind), escaped(name)))
}

fn kind_of(prefix: &str) -> &str {
    prefix.split_once('/').map_or(prefix, |(kind, _)| kind)
}

fn raw(body: &[u8]) -> Result<&RawValue, PlatformError> {
    serde_json::from_slice(body).map_err(protocol)
}

impl Platform for ObjectStore {
    fn instances(&self) -> BoxFuture<'_, Result<Vec<ListedInstance>, PlatformError>> {
        Box::pin(async { listed_instances(&self.list(INSTANCES).await?) })
    }

    fn get<'a>(
        &'a self,
        key: &'a ObjectKey,
    ) -> BoxFuture<'a, Result<Option<Object>, PlatformError>> {
        Box::pin(async move {
            let (kind, _) = parts(key)?;
            let reply = self.link.read(&path(key)?, Duration::ZERO).await?;
            if reply.status == 404 {
                return Ok(None);
            }
            object(kind, raw(&reply.body)?).map(Some)
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Listing, PlatformError>> {
        Box::pin(async move {
            let kind = kind_of(prefix);
            let mut listing = Listing {
                revision: Revision(0),
                objects: Vec::new(),
            };
            let mut after: Option<String> = None;
            for page in 0..MOST_PAGES {
                let reply = self.page(kind, after.as_deref()).await?;
                let wire: PageWire<'_> = serde_json::from_slice(&reply.body).map_err(protocol)?;
                if page == 0 {
                    // What changes while later pages are read is seen by the watch.
                    listing.revision = Revision(wire.current_rev);
                }
                add_page(&mut listing, kind, &wire);
                after = wire.last_name()?;
                if !wire.more || after.is_none() {
                    let is_under = |object: &Object| object.key.is_under(prefix);
                    listing.objects.retain(is_under);
                    return Ok(listing);
                }
            }
            Err(protocol("a listing does not end"))
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a ObjectKey,
        value: Vec<u8>,
        expected: Expected,
    ) -> BoxFuture<'a, Result<ObjectVersion, PlatformError>> {
        Box::pin(async move {
            let (kind, name) = parts(key)?;
            let (method, path, revision) = match expected {
                Expected::Absent => ("POST", format!("/api/objects/{}", escaped(kind)), None),
                Expected::Version(version) => ("PUT", path(key)?, Some(version.0)),
            };
            let wire = WriteWire {
                meta: WriteMetaWire { name, revision },
                spec: raw(&value).map_err(|error| PlatformError::Rejected(error.to_string()))?,
            };
            let body = serde_json::to_string(&wire).map_err(protocol)?;
            let reply = self.link.write(method, &path, Some(&body)).await?;
            if reply.status == 404 {
                return Err(PlatformError::Conflict);
            }
            object(kind, raw(&reply.body)?).map(|object| object.version)
        })
    }

    fn delete<'a>(
        &'a self,
        key: &'a ObjectKey,
        expected: ObjectVersion,
    ) -> BoxFuture<'a, Result<(), PlatformError>> {
        Box::pin(async move {
            let path = format!("{}?revision={expected}", path(key)?);
            let reply = self.link.write("DELETE", &path, None).await?;
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
                escaped(kind)
            );
            let reply = self.link.read(&path, wait.as_duration()).await?;
            let wire: EventsWire<'_> = serde_json::from_slice(&reply.body).map_err(protocol)?;
            let mut changes = changes(kind, &wire);
            let is_under = |change: &Change| change.key.is_under(prefix);
            changes.changes.retain(is_under);
            Ok(changes)
        })
    }
}
