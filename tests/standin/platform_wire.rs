//! Request and response bodies of the platform's object API, from the server's side.

use std::str::FromStr;

use hyssopwalk::{Change, ListedInstance, Object, ObjectKey, PlatformError};
use percent_encoding::percent_decode_str;
use serde_json::value::RawValue;
use serde_json::{Value, json};
use tide::http::{Body, Request, Response, StatusCode};

/// The body of a write request.
#[derive(Debug)]
#[derive(serde::Deserialize)]
pub(super) struct WriteBody {
    pub(super) meta: Meta,
    pub(super) spec: Box<RawValue>,
}

#[derive(Debug)]
#[derive(serde::Deserialize)]
pub(super) struct Meta {
    pub(super) name: String,
    pub(super) revision: Option<u64>,
}

pub(super) fn parse_write_body(body: &[u8]) -> Result<WriteBody, PlatformError> {
    serde_json::from_slice(body).map_err(|error| rejected(&error))
}

/// Maps an error to the status code that the platform replies with.
pub(super) fn status(error: &PlatformError) -> StatusCode {
    match error {
        PlatformError::Conflict => StatusCode::Conflict,
        PlatformError::Compacted | PlatformError::EraChanged => StatusCode::Gone,
        PlatformError::TooLarge => StatusCode::PayloadTooLarge,
        PlatformError::Busy => StatusCode::TooManyRequests,
        PlatformError::Rejected(_) => StatusCode::BadRequest,
        PlatformError::Unreachable(_)
        | PlatformError::Unsettled(_)
        | PlatformError::Protocol(_) => StatusCode::InternalServerError,
    }
}

pub(super) fn response(
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

/// Returns a query parameter of the request.
pub(super) fn parameter(req: &Request, name: &str) -> Option<String> {
    let found = req.url().query_pairs().find(|(key, _)| key == name);
    found.map(|(_, value)| value.into_owned())
}

pub(super) fn percent_decoded(part: &str) -> String {
    percent_decode_str(part).decode_utf8_lossy().into_owned()
}

pub(super) fn key((kind, name): (&str, &str)) -> ObjectKey {
    ObjectKey::new(format!(
        "{}/{}",
        percent_decoded(kind),
        percent_decoded(name)
    ))
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
    let version = change.version.0;
    let deleted_object = || json!({ "meta": meta(name(&change.key), version), "spec": null });
    let object = change
        .object
        .as_ref()
        .map_or_else(deleted_object, object_wire);
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
        name: parse_field(value, "name"),
        addr: parse_field(value, "addr"),
        peer_addr: parse_field(value, "peer_addr"),
        failure_domain: parse_field(value, "failure_domain"),
        region: parse_field(value, "region"),
        leaving: value["leaving"].as_bool().unwrap_or(false),
    }
}

fn parse_field<T: FromStr<Err: std::fmt::Debug>>(value: &Value, name: &str) -> T {
    let text = value[name].as_str().expect("a string field");
    text.parse().expect("a valid field value")
}
