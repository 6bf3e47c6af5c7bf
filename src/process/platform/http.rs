//! The platform's object API over HTTP.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures::future::BoxFuture;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::de::DeserializeOwned;
use tide::http::{Method, Request, StatusCode, Url};

use super::call_rate::{CallBucket, CallRates};
use super::connections::{Connections, Reply};
use super::wire::{ChangesWire, InstancesWire, ListingWire, ObjectWire, WrittenWire};
use super::{
    Changes, Expected, ListedInstance, Listing, Object, ObjectKey, Platform, PlatformError,
};
use crate::types::{ObjectVersion, Revision, Span};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const STALE_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_FOR_READS: Duration = Duration::from_secs(30);
const IDLE_FOR_WRITES: Duration = Duration::from_secs(1);

const IN_QUERY: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b'~');
const IN_PATH: &AsciiSet = &IN_QUERY.remove(b'/');

/// A client of the platform that keeps its connections and its share of the rates.
#[derive(Debug)]
pub struct HttpPlatform {
    addr: SocketAddr,
    connections: Connections,
    reads: CallBucket,
    writes: CallBucket,
}

impl HttpPlatform {
    /// A client of the platform at `addr` that makes at most so many calls a second.
    #[must_use]
    pub fn new(addr: SocketAddr, rates: CallRates) -> Self {
        Self {
            addr,
            connections: Connections::new(addr),
            reads: CallBucket::new(rates.reads),
            writes: CallBucket::new(rates.writes),
        }
    }

    fn request(&self, method: Method, path: &str) -> Result<Request, PlatformError> {
        let text = format!("http://{}{path}", self.addr);
        let url = Url::parse(&text).map_err(|error| PlatformError::Rejected(error.to_string()))?;
        Ok(Request::new(method, url))
    }

    fn object_request(&self, method: Method, key: &ObjectKey) -> Result<Request, PlatformError> {
        key.check()?;
        let key = utf8_percent_encode(key.as_str(), IN_PATH);
        self.request(method, &format!("/v1/objects/{key}"))
    }

    /// Reads `path`; a reply that does not begin within the timeout on a kept connection
    /// is asked for again on a new one.
    async fn read(&self, req: Request, wait: Duration) -> Result<Reply, PlatformError> {
        self.reads.take(Instant::now())?;
        if let Some(kept) = self.connections.take(IDLE_FOR_READS) {
            let within = wait + STALE_TIMEOUT;
            let tried = self.connections.exchange(kept, req.clone(), within).await;
            match tried {
                Err(PlatformError::Unsettled(_)) => {}
                tried => return tried.and_then(checked),
            }
        }
        let stream = self.connections.open().await?;
        self.connections
            .exchange(stream, req, wait + CALL_TIMEOUT)
            .await
            .and_then(checked)
    }

    /// Sends a write once.
    async fn write(&self, req: Request) -> Result<Reply, PlatformError> {
        self.writes.take(Instant::now())?;
        let stream = match self.connections.take(IDLE_FOR_WRITES) {
            Some(kept) => kept,
            None => self.connections.open().await?,
        };
        self.connections
            .exchange(stream, req, CALL_TIMEOUT)
            .await
            .and_then(checked)
    }
}

fn checked(reply: Reply) -> Result<Reply, PlatformError> {
    let status = reply.status;
    match status {
        StatusCode::PreconditionFailed => Err(PlatformError::Conflict),
        StatusCode::Gone => Err(PlatformError::Compacted),
        StatusCode::PayloadTooLarge => Err(PlatformError::TooLarge),
        StatusCode::TooManyRequests => Err(PlatformError::Busy),
        StatusCode::NotFound => Ok(reply),
        status if status.is_success() => Ok(reply),
        status if status.is_client_error() => {
            Err(PlatformError::Rejected(format!("status {status}")))
        }
        status => Err(PlatformError::Unsettled(format!("status {status}"))),
    }
}

fn parse<T: DeserializeOwned>(reply: &Reply) -> Result<T, PlatformError> {
    if reply.status == StatusCode::NotFound {
        return Err(PlatformError::Protocol("status 404".to_owned()));
    }
    serde_json::from_slice(&reply.body).map_err(|error| PlatformError::Protocol(error.to_string()))
}

impl Platform for HttpPlatform {
    fn instances(&self) -> BoxFuture<'_, Result<Vec<ListedInstance>, PlatformError>> {
        Box::pin(async move {
            let req = self.request(Method::Get, "/v1/instances")?;
            let reply = self.read(req, Duration::ZERO).await?;
            let wire: InstancesWire = parse(&reply)?;
            wire.instances
                .into_iter()
                .map(ListedInstance::try_from)
                .collect()
        })
    }

    fn get<'a>(
        &'a self,
        key: &'a ObjectKey,
    ) -> BoxFuture<'a, Result<Option<Object>, PlatformError>> {
        Box::pin(async move {
            let req = self.object_request(Method::Get, key)?;
            let reply = self.read(req, Duration::ZERO).await?;
            if reply.status == StatusCode::NotFound {
                return Ok(None);
            }
            parse::<ObjectWire>(&reply)?.try_into().map(Some)
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Listing, PlatformError>> {
        Box::pin(async move {
            let prefix = utf8_percent_encode(prefix, IN_QUERY);
            let req = self.request(Method::Get, &format!("/v1/objects?prefix={prefix}"))?;
            let reply = self.read(req, Duration::ZERO).await?;
            parse::<ListingWire>(&reply)?.try_into()
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a ObjectKey,
        value: Vec<u8>,
        expected: Expected,
    ) -> BoxFuture<'a, Result<ObjectVersion, PlatformError>> {
        Box::pin(async move {
            let mut req = self.object_request(Method::Put, key)?;
            match expected {
                Expected::Absent => req.insert_header("If-None-Match", "*"),
                Expected::Version(version) => req.insert_header("If-Match", version.to_string()),
            };
            req.set_body(value);
            let reply = self.write(req).await?;
            let written: WrittenWire = parse(&reply)?;
            Ok(ObjectVersion(written.version))
        })
    }

    fn delete<'a>(
        &'a self,
        key: &'a ObjectKey,
        expected: ObjectVersion,
    ) -> BoxFuture<'a, Result<(), PlatformError>> {
        Box::pin(async move {
            let mut req = self.object_request(Method::Delete, key)?;
            req.insert_header("If-Match", expected.to_string());
            self.write(req).await.map(drop)
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        from: Revision,
        wait: Span,
    ) -> BoxFuture<'a, Result<Changes, PlatformError>> {
        Box::pin(async move {
            let wait_ms = wait.as_millis();
            let prefix = utf8_percent_encode(prefix, IN_QUERY);
            let path = format!("/v1/watch?prefix={prefix}&from={from}&wait_ms={wait_ms}");
            let req = self.request(Method::Get, &path)?;
            let reply = self.read(req, wait.as_duration()).await?;
            parse::<ChangesWire>(&reply)?.try_into()
        })
    }
}
