//! A configuration is decoded completely or rejected, and an entry of another shape is not taken
//! for a replica.

use rstest::rstest;
use serde_json::json;

use super::PlatformObjectDecoder;
use crate::process::{DecodedObject, ObjectDecoder, ObjectKey};

struct Case {
    key: &'static str,
    value: serde_json::Value,
    wanted: Option<&'static str>,
}

fn server(change: impl Fn(&mut serde_json::Value)) -> serde_json::Value {
    let mut value = json!({
        "service": "shard", "address": "10.128.0.9:8080", "zone": "suva-a", "version": "v1",
        "slots": 2, "state": "ready", "cold_remaining_ms": 0, "sequence": 4, "born": 17,
    });
    change(&mut value);
    value
}

fn config(change: impl Fn(&mut serde_json::Value)) -> serde_json::Value {
    let mut value = json!({
        "version": 7,
        "routes": [{
            "name": "r", "host": "a.example", "path_prefix": "/a/", "route_type": "safe",
            "timeout_ms": 800, "target_latency_ms": 100, "priority": 2, "gather": ["s", "t"],
            "max_attempts": 2, "top_k": 5, "min_version": 0.75,
        }],
        "services": [{"name": "s", "health_path": "/h", "max_connections": 26, "protocol": "h1"}],
        "limits": {
            "max_header_bytes": 1, "max_body_bytes": 2, "header_timeout_ms": 3, "idle_timeout_ms": 4,
        },
    });
    change(&mut value);
    value
}

const REPLICA_KEY: &str = "servers/i-1";
const ROUTES_KEY: &str = "config/main";

#[rstest]
#[case::ready(Case { key: REPLICA_KEY, value: server(|_| {}), wanted: Some("i-1:17 stays") })]
#[case::draining(Case { key: REPLICA_KEY, value: server(|it| it["state"] = json!("draining")), wanted: Some("i-1:17 leaves") })]
#[case::without_start_time(Case { key: REPLICA_KEY, value: server(|it| { it.as_object_mut().unwrap().remove("born"); }), wanted: Some("i-1:0 stays") })]
#[case::new_field(Case { key: REPLICA_KEY, value: server(|it| it["more"] = json!([1])), wanted: Some("i-1:17 stays") })]
#[case::unknown_state(Case { key: REPLICA_KEY, value: server(|it| it["state"] = json!("gone")), wanted: None })]
#[case::no_service(Case { key: REPLICA_KEY, value: server(|it| { it.as_object_mut().unwrap().remove("service"); }), wanted: None })]
#[case::slots_of_wrong_type(Case { key: REPLICA_KEY, value: server(|it| it["slots"] = json!("two")), wanted: None })]
#[case::no_address(Case { key: REPLICA_KEY, value: server(|it| it["address"] = json!("nowhere")), wanted: None })]
#[case::not_an_object(Case { key: REPLICA_KEY, value: json!(null), wanted: None })]
#[case::unknown_kind_of_object(Case { key: "other/a", value: json!({}), wanted: None })]
#[case::configuration(Case { key: ROUTES_KEY, value: config(|_| {}), wanted: Some("version 7") })]
#[case::route_with_two_destinations(Case { key: ROUTES_KEY, value: config(|it| it["routes"][0]["service"] = json!("s")), wanted: None })]
#[case::route_of_unknown_kind(Case { key: ROUTES_KEY, value: config(|it| it["routes"][0]["route_type"] = json!("maybe")), wanted: None })]
#[case::no_version(Case { key: ROUTES_KEY, value: config(|it| { it.as_object_mut().unwrap().remove("version"); }), wanted: None })]
fn objects_are_decoded_or_rejected(#[case] case: Case) {
    let value = serde_json::to_vec(&case.value).unwrap();
    let decoded = PlatformObjectDecoder
        .read(&ObjectKey::new(case.key), &value)
        .ok();
    let description = decoded.map(|object| match object {
        DecodedObject::Routes(table) => format!("version {}", table.version),
        DecodedObject::Replica(replica) => {
            let state = if replica.spec.leaving {
                "leaves"
            } else {
                "stays"
            };
            format!("{} {state}", replica.spec.name)
        }
    });
    assert_eq!(description.as_deref(), case.wanted);
}
