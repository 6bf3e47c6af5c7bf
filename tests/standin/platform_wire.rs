//! The bodies of the platform's object API, as the stand-in reads and writes them.

use std::str::FromStr;

use hyssopwalk::{Change, ListedInstance, Object, ObjectKey, PlatformError};
use percent_encoding::percent_decode_str;
use serde_json::value::RawValue;
use serde_json::{Value, json};
use tide::http::{Body, Request, Response, StatusCode};

/// The body of a write.
#[derive(Debug)]
#[derive(serde::Deserialize)]
pub(super) struct Written {
    pub(super) meta: Meta,
    pub(super) spec: Box<RawValue>,
}

#[derive(Debug)]
#[derive(serde::Deserialize)]
pub(super) struct Meta {
    pub(super) name: String,
    pub(super) revision: Option<u64>,
}

pub(super) fn read(body: &[u8]) -> Result<Written, PlatformError> {
    serde_json::from_slice(body).map_err(|error| rejected(&error))
}

pub(super) fn status(error: &PlatformError) -> StatusCode {
    match error {
        PlatformError::Conflict => StatusCode::Conflict,
        PlatformError::Compacted => StatusCode::Gone,
        PlatformError::TooLarge => StatusCode::PayloadTooLarge,
        PlatformError::Busy => StatusCode::TooManyRequests,
        PlatformError::Rejected(_) => StatusCode::BadRequest,
        PlatformError::Unreachable(_)
        | PlatformError::Unsettled(_)
        | PlatformError::Protocol(_) => StatusCode::InternalServerError,
    }
}

pub(super) fn reply(
    status: impl TryInto<StatusCode, Error: std::fmt::Debug>,
    body: Body,
) -> Response {
    let mut res = Response::new(status);
    res.set_body(body);
    res
}

pub(super) fn rejected(error: &impl std::fmt::Display) -> PlatformError {
    PlatformError::Rejected(error.to_string())
}

pub(super) fn parameter(req: &Request, name: &str) -> Option<String> {
    let found = req.url().query_pairs().find(|(key, _)| key == name);
    found.map(|(_, value)| value.into_owned())
}

pub(super) fn decoded(part: &str) -> String {
    percent_decode_str(part).decode_utf8_lossy().into_owned()
}

pub(super) fn key((kind, name): (&str, &str)) -> ObjectKey {
    ObjectKey::new(format!("{}/{}", decoded(kind), decoded(name)))
}

pub(super) fn name(key: &ObjectKey) -> &str {
    let (_, name) = key.as_str().split_once('/').expect("a kind and a name");
    name
}

pub(super) fn object_wire(object: &Object) -> Value {
    let spec: Value = serde_json::from_slice(&object.value).expect("a JSON value");
    json!({ "meta": meta(name(&object.key), object.version.0), "spec": spec, "status": null })
}

pub(super) fn instance_wire(instance: &ListedInstance) -> Value {
    let spec = json!({
        "addr": instance.addr.to_string(),
        "peer_addr": instance.peer_addr.to_string(),
        "failure_domain": instance.failure_domain.as_str(),
        "region": instance.region.as_str(),
        "leaving": instance.leaving,
    });
    json!({ "meta": meta(instance.name.as_str(), 0), "spec": spec, "status": null })
}

pub(super) fn event(change: &Change) -> Value {
    let gone = || json!({ "meta": meta(name(&change.key), 0), "spec": null });
    let object = change.object.as_ref().map_or_else(gone, object_wire);
    json!({ "object": object, "deleted": change.object.is_none() })
}

fn meta(name: &str, revision: u64) -> Value {
    json!({
        "name": name, "revision": revision, "created_revision": revision,
        "finalizers": [], "marked_for_deletion": false,
    })
}

pub(super) fn listed_instance(value: &Value) -> ListedInstance {
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
