//! HTTP server of the platform's object API.
//!
//! Its state, injected faults and call counts live in the fake that unit tests use; this module
//! only adds HTTP and connection handling.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use async_std::net::{TcpListener, TcpStream};
use hyssopwalk::{
    Changes, Expected, Object, ObjectKey, ObjectVersion, Platform as _, PlatformError, Revision,
    Span,
};
use serde_json::{Value, json};
use tide::http::{Body, Method, Request, Response};

#[allow(unused_imports, reason = "each test uses only some of them")]
pub(crate) use super::platform_state::{Calls, FakePlatform, Faults, Rates, StoreCopy};
use super::platform_wire::{
    WriteBody, event, instance_wire, key, listed_instance, name, object_wire, parameter,
    parse_write_body, percent_decoded, rejected, response, status,
};

/// Objects per page of a listing; small, so that tests exercise paging.
const PAGE_SIZE: usize = 3;
/// The platform's documented rate limits, in calls per second.
const RATE_LIMITS: Rates = Rates {
    reads: 2_000,
    writes: 400,
};

/// A running platform server.
#[derive(Clone, Debug)]
pub(crate) struct Platform {
    pub(crate) addr: SocketAddr,
    fake: Arc<FakePlatform>,
    connections: Arc<Connections>,
    page_size: usize,
}

/// Connections are numbered in order of arrival; those below a threshold are silenced or cut.
#[derive(Debug, Default)]
struct Connections {
    opened: AtomicU64,
    silent_below: AtomicU64,
    cut_below: AtomicU64,
}

impl Platform {
    /// Starts an empty platform.
    pub(crate) async fn start() -> Self {
        Self::start_with_pages_of(PAGE_SIZE).await
    }

    /// Starts an empty platform that lists this many objects a page.
    pub(crate) async fn start_with_pages_of(page_size: usize) -> Self {
        let (listener, addr) = super::listen().await;
        let platform = Self {
            addr,
            fake: Arc::default(),
            connections: Arc::default(),
            page_size,
        };
        platform.fake.limit(RATE_LIMITS);
        async_std::task::spawn(platform.clone().accept(listener));
        platform
    }

    /// Writes an object unconditionally.
    #[expect(clippy::needless_pass_by_value, reason = "tests write values in place")]
    pub(crate) fn set(&self, key: &str, value: Value) -> u64 {
        self.fake.set(key, &value).0
    }

    /// Deletes an object unconditionally.
    pub(crate) fn remove(&self, key: &str) {
        self.fake.remove(key);
    }

    /// Returns an object's value.
    pub(crate) fn value(&self, key: &str) -> Option<Value> {
        self.fake.value(key)
    }

    /// Sets the list of instances.
    #[expect(clippy::needless_pass_by_value, reason = "tests write values in place")]
    pub(crate) fn list_instances(&self, instances: Vec<Value>) {
        let instances = instances.iter().map(listed_instance).collect();
        self.fake.list_instances(instances);
    }

    /// Returns the underlying state, to inject faults and count calls.
    pub(crate) fn state(&self) -> &FakePlatform {
        &self.fake
    }

    /// Changes the injected faults.
    pub(crate) fn faults(&self, change: impl FnOnce(&mut Faults)) {
        self.fake.faults(change);
    }

    /// Drops the change log so far, which ends older watches.
    pub(crate) fn compact(&self) {
        self.fake.compact();
    }

    /// Returns the number of calls so far.
    pub(crate) fn calls(&self) -> Calls {
        self.fake.calls()
    }

    /// Returns the number of connections opened so far.
    pub(crate) fn connections(&self) -> u64 {
        self.connections.opened.load(Ordering::SeqCst)
    }

    /// Stops replying on every open connection for good; new connections work.
    pub(crate) fn silence_connections(&self) {
        let opened = self.connections();
        let silent_below = &self.connections.silent_below;
        silent_below.store(opened, Ordering::SeqCst);
    }

    /// Closes every open connection at its next request, without a reply.
    pub(crate) fn cut_connections(&self) {
        let opened = self.connections();
        self.connections.cut_below.store(opened, Ordering::SeqCst);
    }

    /// Sets whether every connection, new ones included, is closed at its next request.
    pub(crate) fn cut_all(&self, cut: bool) {
        let below = if cut { u64::MAX } else { 0 };
        self.connections.cut_below.store(below, Ordering::SeqCst);
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let number = self.connections.opened.fetch_add(1, Ordering::SeqCst);
            async_std::task::spawn(self.clone().serve(stream, number));
        }
    }

    async fn serve(self, stream: TcpStream, number: u64) {
        stream.set_nodelay(true).ok();
        let served = async_h1::accept(stream, |req| {
            let platform = self.clone();
            async move { platform.respond(req, number).await }
        });
        served.await.ok();
    }

    async fn respond(&self, req: Request, number: u64) -> tide::http::Result<Response> {
        self.hang_if_silenced(number).await;
        if number < self.connections.cut_below.load(Ordering::SeqCst) {
            return Err(tide::http::Error::from_str(500, "the connection is cut"));
        }
        let mut res = match self.handle(req).await {
            Ok(Value::Null) => Response::new(404),
            Ok(value) => response(200, Body::from_json(&value)?),
            Err(error) => response(status(&error), Body::from_string(error.to_string())),
        };
        self.hang_if_silenced(number).await;
        let era = self.fake.era();
        if era > 0 {
            res.insert_header("Store-Era", era.to_string());
        }
        Ok(res)
    }

    /// Never returns on a silenced connection, so that replies in progress are withheld as well.
    async fn hang_if_silenced(&self, number: u64) {
        if number < self.connections.silent_below.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
    }

    async fn handle(&self, mut req: Request) -> Result<Value, PlatformError> {
        let body = req.body_bytes().await.map_err(|error| rejected(&error))?;
        let path = req.url().path().strip_prefix("/api/objects/");
        let Some(path) = path.map(str::to_owned) else {
            return Ok(Value::Null);
        };
        match (req.method(), path.split_once('/')) {
            (Method::Get, None) => match parameter(&req, "watch") {
                Some(from) => self.watch(&req, &percent_decoded(&path), &from).await,
                None => self.page(&req, &percent_decoded(&path)).await,
            },
            (Method::Get, Some(parts)) => {
                let object = self.fake.get(&key(parts)).await?;
                Ok(object.as_ref().map_or(Value::Null, object_wire))
            }
            (Method::Post, None) => {
                let write_body: WriteBody = parse_write_body(&body)?;
                let key = ObjectKey::new(format!(
                    "{}/{}",
                    percent_decoded(&path),
                    write_body.meta.name
                ));
                self.write(&key, &write_body, Expected::Absent).await
            }
            (Method::Put, Some(parts)) => {
                let write_body: WriteBody = parse_write_body(&body)?;
                let version = write_body
                    .meta
                    .revision
                    .ok_or_else(|| rejected(&"no revision"))?;
                let expected = Expected::Version(ObjectVersion(version));
                self.write(&key(parts), &write_body, expected).await
            }
            (Method::Delete, Some(parts)) => {
                let version = parameter(&req, "revision").unwrap_or_default();
                let version = version.parse().map_err(|error| rejected(&error))?;
                self.fake.delete(&key(parts), version).await?;
                Ok(json!({}))
            }
            (method, _) => Err(rejected(&method)),
        }
    }

    async fn write(
        &self,
        key: &ObjectKey,
        write_body: &WriteBody,
        expected: Expected,
    ) -> Result<Value, PlatformError> {
        let spec = write_body.spec.get().as_bytes().to_vec();
        let version = self.fake.put(key, spec, expected).await?;
        Ok(object_wire(&Object {
            key: key.clone(),
            version,
            value: write_body.spec.get().as_bytes().to_vec(),
        }))
    }

    /// Returns one page of a listing, starting after the name in the `after` parameter.
    async fn page(&self, req: &Request, kind: &str) -> Result<Value, PlatformError> {
        if kind == "instances" {
            let listed = self.fake.instances().await?;
            let items: Vec<Value> = listed.iter().map(instance_wire).collect();
            return Ok(json!({ "items": items, "more": false, "current_rev": 0 }));
        }
        let after = parameter(req, "after").unwrap_or_default();
        let listing = self.fake.list(kind).await?;
        let mut objects = listing.objects;
        objects.retain(|object| name(&object.key) > after.as_str());
        let more = objects.len() > self.page_size;
        objects.truncate(self.page_size);
        let items: Vec<Value> = objects.iter().map(object_wire).collect();
        Ok(json!({ "items": items, "more": more, "current_rev": listing.revision.0 }))
    }

    async fn watch(&self, req: &Request, kind: &str, from: &str) -> Result<Value, PlatformError> {
        let wait = parameter(req, "wait_ms").and_then(|wait| wait.parse().ok());
        let wait = Span::from_millis(wait.unwrap_or_default());
        let from = Revision(from.parse().unwrap_or_default());
        let Changes {
            revision, changes, ..
        } = self.fake.watch(kind, from, wait).await?;
        let events: Vec<Value> = changes.iter().map(event).collect();
        Ok(json!({ "events": events, "current_rev": revision.0 }))
    }
}
