//! The platform's object API over HTTP. Its state, with the faults and the counts of
//! calls, is the fake that unit tests use; what is here is HTTP and its connections.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use async_std::net::{TcpListener, TcpStream};
use hyssopwalk::{
    Changes, Expected, ListedInstance, Listing, Object, ObjectKey, ObjectVersion, Platform as Api,
    PlatformError, Revision, Span,
};
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use tide::http::{Body, Method, Request, Response, StatusCode};

pub(crate) use super::platform_state::{Calls, FakePlatform, Faults, Rates};

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
        let path = req.url().path().to_owned();
        match (req.method(), path.as_str()) {
            (Method::Get, "/v1/instances") => instances(&*self.fake).await,
            (Method::Get, "/v1/objects") => {
                let listing = self.fake.list(&parameter(&req, "prefix")).await?;
                Ok(listing_wire(&listing))
            }
            (Method::Get, "/v1/watch") => self.watch(&req).await,
            (method, path) => match path.strip_prefix("/v1/objects/") {
                Some(key) => {
                    let key = ObjectKey::new(percent_decode_str(key).decode_utf8_lossy());
                    let expected = expected(&req)?;
                    let body = req.body_bytes().await.map_err(|error| rejected(&error))?;
                    self.object(method, &key, body, expected).await
                }
                None => Ok(Value::Null),
            },
        }
    }

    async fn object(
        &self,
        method: Method,
        key: &ObjectKey,
        body: Vec<u8>,
        expected: Expected,
    ) -> Result<Value, PlatformError> {
        match (method, expected) {
            (Method::Get, _) => Ok(object_wire(self.fake.get(key).await?.as_ref())),
            (Method::Put, expected) => {
                let version = self.fake.put(key, body, expected).await?;
                Ok(json!({ "version": version.0 }))
            }
            (Method::Delete, Expected::Version(version)) => {
                self.fake.delete(key, version).await?;
                Ok(json!({}))
            }
            _ => Err(PlatformError::Rejected(format!("{method}"))),
        }
    }

    async fn watch(&self, req: &Request) -> Result<Value, PlatformError> {
        let number = |name| parameter(req, name).parse().unwrap_or(0);
        let wait = Span::from_millis(number("wait_ms"));
        let from = Revision(number("from"));
        let prefix = parameter(req, "prefix");
        let Changes { revision, changes } = self.fake.watch(&prefix, from, wait).await?;
        let changes: Vec<Value> = changes
            .iter()
            .map(|change| {
                json!({ "key": change.key.as_str(), "object": object_wire(change.object.as_ref()) })
            })
            .collect();
        Ok(json!({ "revision": revision.0, "changes": changes }))
    }
}

fn status(error: &PlatformError) -> StatusCode {
    match error {
        PlatformError::Conflict => StatusCode::PreconditionFailed,
        PlatformError::Compacted => StatusCode::Gone,
        PlatformError::TooLarge => StatusCode::PayloadTooLarge,
        PlatformError::Busy => StatusCode::TooManyRequests,
        PlatformError::Rejected(_) => StatusCode::BadRequest,
        PlatformError::Unreachable(_)
        | PlatformError::Unsettled(_)
        | PlatformError::Protocol(_) => StatusCode::InternalServerError,
    }
}

fn reply(status: impl TryInto<StatusCode, Error: std::fmt::Debug>, body: Body) -> Response {
    let mut res = Response::new(status);
    res.set_body(body);
    res
}

fn rejected(error: &impl std::fmt::Display) -> PlatformError {
    PlatformError::Rejected(error.to_string())
}

fn parameter(req: &Request, name: &str) -> String {
    let found = req.url().query_pairs().find(|(key, _)| key == name);
    found
        .map(|(_, value)| value.into_owned())
        .unwrap_or_default()
}

fn expected(req: &Request) -> Result<Expected, PlatformError> {
    match req.header("If-Match") {
        None => Ok(Expected::Absent),
        Some(version) => {
            let version: ObjectVersion = version
                .last()
                .as_str()
                .parse()
                .map_err(|error| rejected(&error))?;
            Ok(Expected::Version(version))
        }
    }
}

async fn instances(api: &impl Api) -> Result<Value, PlatformError> {
    let listed = api.instances().await?;
    let instances: Vec<Value> = listed
        .iter()
        .map(|instance| {
            json!({
                "name": instance.name.as_str(),
                "addr": instance.addr.to_string(),
                "peer_addr": instance.peer_addr.to_string(),
                "failure_domain": instance.failure_domain.as_str(),
                "region": instance.region.as_str(),
                "leaving": instance.leaving,
            })
        })
        .collect();
    Ok(json!({ "instances": instances }))
}

fn listing_wire(listing: &Listing) -> Value {
    let objects = listing
        .objects
        .iter()
        .map(|object| object_wire(Some(object)));
    json!({ "revision": listing.revision.0, "objects": objects.collect::<Vec<_>>() })
}

fn object_wire(object: Option<&Object>) -> Value {
    let Some(object) = object else {
        return Value::Null;
    };
    let value: Value = serde_json::from_slice(&object.value).expect("a JSON value");
    json!({ "key": object.key.as_str(), "version": object.version.0, "value": value })
}

fn listed_instance(value: &Value) -> ListedInstance {
    ListedInstance {
        name: text(value, "name"),
        addr: text(value, "addr"),
        peer_addr: text(value, "peer_addr"),
        failure_domain: text(value, "failure_domain"),
        region: text(value, "region"),
        leaving: value["leaving"].as_bool().unwrap_or(false),
    }
}

fn text<T: FromStr<Err: std::fmt::Debug>>(value: &Value, name: &str) -> T {
    let text = value[name].as_str().expect("a text");
    text.parse().expect("a value of its type")
}
