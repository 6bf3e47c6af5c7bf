//! Any reply of the store is decoded or rejected without a panic, and an object that cannot be
//! decoded does not hide the others.

use proptest::prelude::*;
use serde_json::{Value, json};

use super::{EventsWire, PageWire, add_page, decode_changes, decode_instances};
use crate::process::Listing;
use crate::types::Revision;

fn listing(bytes: &[u8]) -> Option<Listing> {
    let wire: PageWire<'_> = serde_json::from_slice(bytes).ok()?;
    let mut listing = Listing {
        revision: Revision(wire.current_rev),
        objects: Vec::new(),
    };
    add_page(&mut listing, "k", &wire);
    wire.last_name().ok();
    Some(listing)
}

fn decode_all(bytes: &[u8]) {
    if let Some(listing) = listing(bytes) {
        decode_instances(&listing).ok();
    }
    if let Ok(wire) = serde_json::from_slice::<EventsWire<'_>>(bytes) {
        decode_changes("k", &wire);
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
            decode_changes("k", &wire).changes.len(),
            1,
            "{}",
            invalid.name
        );
    }
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
