//! The client of the platform's store: objects by kind and name over HTTP/1.1.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use futures::future::BoxFuture;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::value::RawValue;

use super::store_wire::{
    EventsWire, MetaWire, PageWire, WriteMetaWire, WriteWire, add_page, changes, object, protocol,
};
use super::tcp;
use crate::connection::Wire;
use crate::process::{
    Changes, Expected, ListedInstance, Listing, Object, ObjectKey, Platform, PlatformError, Rank,
    Ranked,
};
use crate::types::{ObjectVersion, Revision, Span};

/// The store answers in milliseconds; one that is slow takes a few hundred.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const MOST_KEPT: usize = 4;
/// The store sends about a megabyte at most.
const MOST_BODY: usize = 16 << 20;
const MOST_PAGES: usize = 1_000;

const IN_PATH: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b'~');

/// A client of the store that keeps its connections.
#[derive(Debug)]
pub(super) struct Store {
    addr: SocketAddr,
    kept: Ranked<Vec<Wire>>,
}

struct Reply {
    status: u16,
    body: Vec<u8>,
}

impl Store {
    pub(super) fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            kept: Ranked::new(Rank::PlatformConnections, Vec::new()),
        }
    }

    async fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<&str>,
        wait: Duration,
    ) -> Result<Reply, PlatformError> {
        let kept = self.kept.lock().pop();
        let mut wire = match kept {
            Some(wire) => wire,
            None => self.open().await?,
        };
        let text = self.render(method, path, body);
        let exchanging = wire.exchange(text.as_bytes(), MOST_BODY);
        let exchanged = timeout(wait + CALL_TIMEOUT, exchanging).await;
        let (head, body) = exchanged
            .map_err(|_| PlatformError::Unsettled("no whole reply in time".to_owned()))?
            .map_err(|error| PlatformError::Unsettled(error.to_string()))?;
        if !head.closes() && !wire.has_rest() {
            let mut kept = self.kept.lock();
            if kept.len() < MOST_KEPT {
                kept.push(wire);
            }
        }
        checked(Reply {
            status: head.status,
            body,
        })
    }

    async fn open(&self) -> Result<Wire, PlatformError> {
        let stream = timeout(CONNECT_TIMEOUT, tcp::connect(self.addr))
            .await
            .map_err(|_| PlatformError::Unreachable("no connection in time".to_owned()))?
            .map_err(|error| PlatformError::Unreachable(error.to_string()))?;
        Ok(Wire::new(stream))
    }

    fn render(&self, method: &str, path: &str, body: Option<&str>) -> String {
        let head = format!("{method} {path} HTTP/1.1\r\nHost: {}\r\n", self.addr);
        match body {
            None => format!("{head}\r\n"),
            Some(body) => format!(
                "{head}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            ),
        }
    }

    async fn page(&self, kind: &str, after: Option<&str>) -> Result<Reply, PlatformError> {
        let kind = escaped(kind);
        let path = match after {
            None => format!("/api/objects/{kind}"),
            Some(after) => format!("/api/objects/{kind}?after={}", escaped(after)),
        };
        self.call("GET", &path, None, Duration::ZERO).await
    }
}

fn checked(reply: Reply) -> Result<Reply, PlatformError> {
    match reply.status {
        200..300 | 404 => Ok(reply),
        409 => Err(PlatformError::Conflict),
        410 => Err(PlatformError::Compacted),
        413 => Err(PlatformError::TooLarge),
        429 | 503 => Err(PlatformError::Busy),
        status @ 400..500 => Err(PlatformError::Rejected(format!("status {status}"))),
        status => Err(PlatformError::Unsettled(format!("status {status}"))),
    }
}

fn escaped(text: &str) -> String {
    utf8_percent_encode(text, IN_PATH).to_string()
}

/// The kind and name that a key stands for.
fn parts(key: &ObjectKey) -> Result<(&str, &str), PlatformError> {
    key.check()?;
    let parts = key.as_str().split_once('/');
    parts.ok_or_else(|| PlatformError::Rejected(format!("{key} has no kind")))
}

fn path(key: &ObjectKey) -> Result<String, PlatformError> {
    let (kind, name) = parts(key)?;
    Ok(format!("/api/objects/{}/{}", escaped(kind), escaped(name)))
}

fn kind_of(prefix: &str) -> &str {
    prefix.trim_end_matches('/')
}

fn raw(body: &[u8]) -> Result<&RawValue, PlatformError> {
    serde_json::from_slice(body).map_err(protocol)
}

impl Platform for Store {
    /// The store keeps no list of instances; they know each other by themselves.
    fn instances(&self) -> BoxFuture<'_, Result<Vec<ListedInstance>, PlatformError>> {
        Box::pin(async { Ok(Vec::new()) })
    }

    fn get<'a>(
        &'a self,
        key: &'a ObjectKey,
    ) -> BoxFuture<'a, Result<Option<Object>, PlatformError>> {
        Box::pin(async move {
            let (kind, _) = parts(key)?;
            let reply = self.call("GET", &path(key)?, None, Duration::ZERO).await?;
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
                after = last_name(&wire)?;
                if !wire.more || after.is_none() {
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
                spec: raw(&value)?,
            };
            let body = serde_json::to_string(&wire).map_err(protocol)?;
            let reply = self
                .call(method, &path, Some(&body), Duration::ZERO)
                .await?;
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
            let reply = self.call("DELETE", &path, None, Duration::ZERO).await?;
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
            let reply = self.call("GET", &path, None, wait.as_duration()).await?;
            let wire: EventsWire<'_> = serde_json::from_slice(&reply.body).map_err(protocol)?;
            Ok(changes(kind, &wire))
        })
    }
}

/// The name that the next page goes on after.
fn last_name(page: &PageWire<'_>) -> Result<Option<String>, PlatformError> {
    #[derive(serde::Deserialize)]
    struct Named {
        meta: MetaWire,
    }
    let Some(last) = page.items.last() else {
        return Ok(None);
    };
    let named: Named = serde_json::from_str(last.get()).map_err(protocol)?;
    Ok(Some(named.meta.name))
}
