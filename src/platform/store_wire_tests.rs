//! Any reply of the store is decoded or rejected without a panic, and an object that cannot be
//! decoded does not hide the others.

use proptest::prelude::*;
use serde_json::{Value, json};

use super::super::objects::PlatformObjectDecoder;
use super::{EventsWire, PageWire, add_page, decode_changes, decode_instances, text};
use crate::process::{Listing, ObjectDecoder, ObjectKey};
use crate::types::{Era, Revision};

fn listing(bytes: &[u8]) -> Option<Listing> {
    let text = text(bytes);
    let wire: PageWire<'_> = serde_json::from_str(&text).ok()?;
    let mut listing = Listing {
        era: Era(1),
        revision: Revision(wire.current_rev),
        objects: Vec::new(),
    };
    add_page(&mut listing, "k", &wire);
    wire.last_name();
    Some(listing)
}

fn decode_all(bytes: &[u8]) {
    if let Some(listing) = listing(bytes) {
        decode_instances(&listing).ok();
    }
    if let Ok(wire) = serde_json::from_str::<EventsWire<'_>>(&text(bytes)) {
        decode_changes("k", Era(1), &wire);
    }
}

fn object(name: &str) -> Value {
    json!({
        "meta": { "name": name, "revision": 3, "created_revision": 1, "finalizers": [] },
        "spec": {
            "addr": "127.0.0.1:1", "peer_addr": "[::1]:2",
            "failure_domain": "suva-a", "region": "central",
        },
        "status": null,
    })
}

fn replies() -> [Value; 2] {
    [
        json!({ "items": [object("one")], "more": false, "current_rev": 9 }),
        json!({ "events": [{ "object": object("one"), "deleted": true }], "current_rev": 9 }),
    ]
}

struct InvalidObject {
    name: &'static str,
    object: Value,
}

#[test]
fn an_invalid_object_does_not_hide_the_others() {
    let invalid = [
        ("no object", json!(7)),
        ("no meta", json!({ "spec": {} })),
        ("no name", json!({ "meta": { "revision": 3 }, "spec": {} })),
        ("a name of the wrong type", json!({ "meta": { "name": 3 } })),
        (
            "a negative revision",
            json!({ "meta": { "name": "x", "revision": -1 } }),
        ),
    ];
    for invalid in invalid.map(|(name, object)| InvalidObject { name, object }) {
        let items = [invalid.object.clone(), object("one")];
        let page = json!({ "items": items, "more": false, "current_rev": 9 });
        let listing = listing(page.to_string().as_bytes()).expect(invalid.name);
        assert_eq!(listing.objects.len(), 1, "{}", invalid.name);
        assert_eq!(listing.objects[0].key.as_str(), "k/one", "{}", invalid.name);

        let events = items.map(|object| json!({ "object": object }));
        let events = json!({ "events": events, "current_rev": 9 }).to_string();
        let wire: EventsWire<'_> = serde_json::from_str(&events).expect(invalid.name);
        assert_eq!(
            decode_changes("k", Era(1), &wire).changes.len(),
            1,
            "{}",
            invalid.name
        );
    }
}

struct OddEntry {
    name: &'static str,
    /// The bytes of the entry's spec in the store's reply.
    spec: Vec<u8>,
}

fn odd_entries() -> Vec<OddEntry> {
    let entry = |name, spec: &str| OddEntry {
        name,
        spec: spec.as_bytes().to_vec(),
    };
    let server = |field: &str| {
        let known = r#""zone": "suva-a", "version": "v1", "state": "ready", "sequence": 4"#;
        format!(r#"{{"service": "s", "born": 1, {known}, {field}}}"#)
    };
    let slots = |text: &str| {
        server(&format!(
            r#""address": "10.0.0.1:80", "cold_remaining_ms": 0, "slots": {text}"#
        ))
    };
    let address = |text: &str| {
        server(&format!(
            r#""slots": 2, "cold_remaining_ms": 0, "address": "{text}""#
        ))
    };
    let nested = format!("{}{}", "[".repeat(200_000), "]".repeat(200_000));
    let objects = format!("{}1{}", r#"{"a":"#.repeat(200_000), "}".repeat(200_000));
    vec![
        entry("deeply nested lists", &nested),
        entry("deeply nested objects", &objects),
        entry("a deeply nested field", &slots(&nested)),
        entry("an integer too large", &slots("99999999999999999999999999")),
        entry("a number too large", &slots("1e999")),
        entry("a negative number", &slots("-1")),
        entry("a port out of range", &address("10.0.0.1:65536")),
        entry("port zero", &address("10.0.0.1:0")),
        entry("a lone surrogate", &address(r"\ud800")),
        entry("control characters", "\"\u{1}\u{2}\u{7f}\u{1b}\""),
        entry("a line break in a string", "{\"service\": \"a\nb\"}"),
        entry("a zero byte between tokens", "{\"service\":\0 \"a\"}"),
        OddEntry {
            name: "bytes that are not UTF-8",
            spec: b"{\"service\": \"\xff\xfe\"}".to_vec(),
        },
    ]
}

fn page(odd: &OddEntry) -> Vec<u8> {
    let before = br#"{"items": [{"meta": {"name": "odd", "revision": 2}, "spec": "#;
    let good = object("one").to_string();
    let after = format!("}}, {good}], \"more\": false, \"current_rev\": 9}}");
    [before, odd.spec.as_slice(), after.as_bytes()].concat()
}

/// Guards against one entry of another writer that ends the process, or that hides the replicas
/// from everybody who reads the list.
#[test]
fn an_odd_entry_names_no_replica_and_hides_no_other() {
    for odd in odd_entries() {
        let page = page(&odd);
        let listing = listing(&page).expect(odd.name);
        let keys: Vec<&str> = listing
            .objects
            .iter()
            .map(|object| object.key.as_str())
            .collect();
        assert!(keys.contains(&"k/one"), "{}", odd.name);
        for object in listing
            .objects
            .iter()
            .filter(|object| object.key.as_str() == "k/odd")
        {
            let key = ObjectKey::new("servers/odd");
            let decoded = PlatformObjectDecoder.read(&key, &object.value);
            assert!(decoded.is_err(), "{}", odd.name);
        }
    }
}

/// A page whose last object has no readable name is followed by the next page.
#[test]
fn paging_goes_on_after_the_last_readable_name() {
    let nameless = json!({ "meta": { "name": 3 } });
    let page = json!({ "items": [object("one"), nameless], "more": true, "current_rev": 9 });
    let text = page.to_string();
    let wire: PageWire<'_> = serde_json::from_str(&text).unwrap();
    assert_eq!(wire.last_name(), Some("one".to_owned()));
}

proptest! {
    #[test]
    fn random_bytes_are_decoded_or_rejected(
        bytes in proptest::collection::vec(any::<u8>(), 0..512),
    ) {
        decode_all(&bytes);
    }

    #[test]
    fn damaged_replies_are_decoded_or_rejected(
        which in 0..2_usize, cut in 0..200_usize, at in 0..400_usize, byte in any::<u8>(),
    ) {
        let mut bytes = replies()[which].to_string().into_bytes();
        let at = at % bytes.len();
        bytes[at] = byte;
        bytes.truncate(bytes.len().saturating_sub(cut));
        decode_all(&bytes);
    }
}
