//! The platform's object API over HTTP. Its state, with the faults and the counts of
//! calls, is the fake that unit tests use; what is here is HTTP and its connections.

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

pub(crate) use super::platform_state::{Calls, FakePlatform, Faults, Rates};
use super::platform_wire::{
    Written, decoded, event, instance_wire, key, listed_instance, name, object_wire, parameter,
    read, rejected, reply, status,
};

/// Objects on a page of a listing, few so that tests turn pages.
const PAGE: usize = 3;
/// What the platform says that it takes, in calls a second.
const RATES: Rates = Rates {
    reads: 2_000,
    writes: 400,
};

/// A running platform.
#[derive(Clone, Debug)]
pub(crate) struct Platform {
    pub(crate) addr: SocketAddr,
    fake: Arc<FakePlatform>,
    connections: Arc<Connections>,
}

/// Connections are numbered; those below a number are silent or cut.
#[derive(Debug, Default)]
struct Connections {
    opened: AtomicU64,
    silent_below: AtomicU64,
    cut_below: AtomicU64,
}

impl Platform {
    /// Starts a platform with nothing in it.
    pub(crate) async fn start() -> Self {
        let (listener, addr) = super::listen().await;
        let platform = Self {
            addr,
            fake: Arc::default(),
            connections: Arc::default(),
        };
        platform.fake.limit(RATES);
        async_std::task::spawn(platform.clone().accept(listener));
        platform
    }

    /// Writes an object whatever it was before.
    #[expect(clippy::needless_pass_by_value, reason = "tests write values in place")]
    pub(crate) fn set(&self, key: &str, value: Value) -> u64 {
        self.fake.set(key, &value).0
    }

    /// Deletes an object whatever it was before.
    pub(crate) fn remove(&self, key: &str) {
        self.fake.remove(key);
    }

    /// An object's value.
    pub(crate) fn value(&self, key: &str) -> Option<Value> {
        self.fake.value(key)
    }

    /// Sets the list of instances.
    #[expect(clippy::needless_pass_by_value, reason = "tests write values in place")]
    pub(crate) fn list_instances(&self, instances: Vec<Value>) {
        let instances = instances.iter().map(listed_instance).collect();
        self.fake.list_instances(instances);
    }

    /// The state, to cause faults and count calls.
    pub(crate) fn state(&self) -> &FakePlatform {
        &self.fake
    }

    /// Changes the faults in force.
    pub(crate) fn faults(&self, change: impl FnOnce(&mut Faults)) {
        self.fake.faults(change);
    }

    /// Forgets all changes so far, which ends older watches.
    pub(crate) fn compact(&self) {
        self.fake.compact();
    }

    /// The calls so far.
    pub(crate) fn calls(&self) -> Calls {
        self.fake.calls()
    }

    /// How many connections were opened so far.
    pub(crate) fn connections(&self) -> u64 {
        self.connections.opened.load(Ordering::SeqCst)
    }

    /// Lets every open connection go silent for good; new ones work.
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

    /// Closes every connection at its next request, also new ones, or no longer does.
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
            async move { platform.answer(req, number).await }
        });
        served.await.ok();
    }

    async fn answer(&self, req: Request, number: u64) -> tide::http::Result<Response> {
        self.stay_silent(number).await;
        if number < self.connections.cut_below.load(Ordering::SeqCst) {
            return Err(tide::http::Error::from_str(500, "the connection is cut"));
        }
        let res = match self.handle(req).await {
            Ok(Value::Null) => Response::new(404),
            Ok(value) => reply(200, Body::from_json(&value)?),
            Err(error) => reply(status(&error), Body::from_string(error.to_string())),
        };
        self.stay_silent(number).await;
        Ok(res)
    }

    /// Goes no further on a connection that went silent, not even with what waits.
    async fn stay_silent(&self, number: u64) {
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
                Some(from) => self.watch(&req, &decoded(&path), &from).await,
                None => self.page(&req, &decoded(&path)).await,
            },
            (Method::Get, Some(parts)) => {
                let object = self.fake.get(&key(parts)).await?;
                Ok(object.as_ref().map_or(Value::Null, object_wire))
            }
            (Method::Post, None) => {
                let written: Written = read(&body)?;
                let key = ObjectKey::new(format!("{}/{}", decoded(&path), written.meta.name));
                self.write(&key, &written, Expected::Absent).await
            }
            (Method::Put, Some(parts)) => {
                let written: Written = read(&body)?;
                let version = written
                    .meta
                    .revision
                    .ok_or_else(|| rejected(&"no revision"))?;
                let expected = Expected::Version(ObjectVersion(version));
                self.write(&key(parts), &written, expected).await
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
        written: &Written,
        expected: Expected,
    ) -> Result<Value, PlatformError> {
        let spec = written.spec.get().as_bytes().to_vec();
        let version = self.fake.put(key, spec, expected).await?;
        Ok(object_wire(&Object {
            key: key.clone(),
            version,
            value: written.spec.get().as_bytes().to_vec(),
        }))
    }

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
        let more = objects.len() > PAGE;
        objects.truncate(PAGE);
        let items: Vec<Value> = objects.iter().map(object_wire).collect();
        Ok(json!({ "items": items, "more": more, "current_rev": listing.revision.0 }))
    }

    async fn watch(&self, req: &Request, kind: &str, from: &str) -> Result<Value, PlatformError> {
        let wait = parameter(req, "wait_ms").and_then(|wait| wait.parse().ok());
        let wait = Span::from_millis(wait.unwrap_or_default());
        let from = Revision(from.parse().unwrap_or_default());
        let Changes { revision, changes } = self.fake.watch(kind, from, wait).await?;
        let events: Vec<Value> = changes.iter().map(event).collect();
        Ok(json!({ "events": events, "current_rev": revision.0 }))
    }
}
