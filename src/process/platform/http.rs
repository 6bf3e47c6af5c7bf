//! The platform's object API over HTTP.

use std::net::SocketAddr;

use async_std::future::timeout;
use async_std::net::TcpStream;
use futures::future::BoxFuture;
use serde::de::DeserializeOwned;
use tide::http::{Method, Request, Response, StatusCode, Url};

use super::wire::{ChangesWire, InstancesWire, ListingWire, ObjectWire, WrittenWire};
use super::{
    Changes, Expected, ListedInstance, Listing, Object, ObjectKey, Platform, PlatformError,
};
use crate::types::{ObjectVersion, Revision, Span};

const CALL_TIMEOUT: Span = Span::from_secs(2);

/// A client of the platform that makes one connection for each call.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    addr: SocketAddr,
}

impl HttpPlatform {
    /// A client of the platform at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr }
    }

    fn request(&self, method: Method, path: &str) -> Result<Request, PlatformError> {
        let text = format!("http://{}{path}", self.addr);
        let url = Url::parse(&text).map_err(|error| PlatformError::Protocol(error.to_string()))?;
        Ok(Request::new(method, url))
    }

    async fn call(&self, req: Request, within: Span) -> Result<Response, PlatformError> {
        let stream = timeout(within.as_duration(), TcpStream::connect(self.addr))
            .await
            .map_err(|_| PlatformError::Unreachable("no connection in time".to_owned()))?
            .map_err(|error| PlatformError::Unreachable(error.to_string()))?;
        let res = timeout(within.as_duration(), async_h1::connect(stream, req))
            .await
            .map_err(|_| PlatformError::Unsettled("no reply in time".to_owned()))?
            .map_err(|error| PlatformError::Unsettled(error.to_string()))?;
        match res.status() {
            StatusCode::PreconditionFailed => Err(PlatformError::Conflict),
            StatusCode::Gone => Err(PlatformError::Compacted),
            StatusCode::PayloadTooLarge => Err(PlatformError::TooLarge),
            StatusCode::TooManyRequests => Err(PlatformError::Busy),
            status if status.is_success() || status == StatusCode::NotFound => Ok(res),
            status => Err(PlatformError::Unsettled(format!("status {status}"))),
        }
    }
}

async fn read<T: DeserializeOwned>(mut res: Response) -> Result<T, PlatformError> {
    let body = timeout(CALL_TIMEOUT.as_duration(), res.body_bytes())
        .await
        .map_err(|_| PlatformError::Unsettled("no whole reply in time".to_owned()))?
        .map_err(|error| PlatformError::Unsettled(error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| PlatformError::Protocol(error.to_string()))
}

impl Platform for HttpPlatform {
    fn instances(&self) -> BoxFuture<'_, Result<Vec<ListedInstance>, PlatformError>> {
        Box::pin(async move {
            let req = self.request(Method::Get, "/v1/instances")?;
            let res = self.call(req, CALL_TIMEOUT).await?;
            let wire: InstancesWire = read(res).await?;
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
            let req = self.request(Method::Get, &format!("/v1/objects/{key}"))?;
            let res = self.call(req, CALL_TIMEOUT).await?;
            if res.status() == StatusCode::NotFound {
                return Ok(None);
            }
            read::<ObjectWire>(res).await?.try_into().map(Some)
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Listing, PlatformError>> {
        Box::pin(async move {
            let req = self.request(Method::Get, &format!("/v1/objects?prefix={prefix}"))?;
            let res = self.call(req, CALL_TIMEOUT).await?;
            read::<ListingWire>(res).await?.try_into()
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a ObjectKey,
        value: Vec<u8>,
        expected: Expected,
    ) -> BoxFuture<'a, Result<ObjectVersion, PlatformError>> {
        Box::pin(async move {
            let mut req = self.request(Method::Put, &format!("/v1/objects/{key}"))?;
            match expected {
                Expected::Absent => req.insert_header("If-None-Match", "*"),
                Expected::Version(version) => req.insert_header("If-Match", version.to_string()),
            };
            req.set_body(value);
            let res = self.call(req, CALL_TIMEOUT).await?;
            let written: WrittenWire = read(res).await?;
            Ok(ObjectVersion(written.version))
        })
    }

    fn delete<'a>(
        &'a self,
        key: &'a ObjectKey,
        expected: ObjectVersion,
    ) -> BoxFuture<'a, Result<(), PlatformError>> {
        Box::pin(async move {
            let mut req = self.request(Method::Delete, &format!("/v1/objects/{key}"))?;
            req.insert_header("If-Match", expected.to_string());
            self.call(req, CALL_TIMEOUT).await.map(drop)
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
            let path = format!("/v1/watch?prefix={prefix}&from={from}&wait_ms={wait_ms}");
            let req = self.request(Method::Get, &path)?;
            let within = Span(wait.0 + CALL_TIMEOUT.0);
            let res = self.call(req, within).await?;
            read::<ChangesWire>(res).await?.try_into()
        })
    }
}
