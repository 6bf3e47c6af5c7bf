//! Pauses grow and are spread, calls keep to their rate, and no bytes that the platform
//! replies with make a decoder panic.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::{Value, json};

use super::call_rate::CallBucket;
use super::wire::{ChangesWire, InstancesWire, ListingWire, ObjectWire};
use super::{Backoff, Changes, ListedInstance, Listing, Object, PlatformError};
use crate::types::{PerSecond, Span};

#[test]
fn pauses_double_up_to_the_most_and_begin_again() {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut backoff = Backoff::new(Span(100), Span(1_000));
    for step in [100, 200, 400, 800, 1_000, 1_000] {
        let pause = backoff.pause(&mut rng);
        assert!((step / 2..=step).contains(&pause.0), "{pause} at {step}");
    }
    backoff.reset();
    assert!(backoff.pause(&mut rng) <= Span(100));
}

#[test]
fn pauses_of_instances_that_failed_together_differ() {
    let pause = |seed| {
        Backoff::new(Span(1_000_000), Span(1_000_000)).pause(&mut SmallRng::seed_from_u64(seed))
    };
    let pauses: std::collections::BTreeSet<Span> = (0..100).map(pause).collect();
    assert!(pauses.len() > 90, "{} different pauses", pauses.len());
}

struct Spent {
    after: Duration,
    wanted: usize,
}

#[test]
fn a_bucket_gives_its_rate_and_a_bounded_burst() {
    let begun = Instant::now();
    let bucket = CallBucket::new(PerSecond(10.0));
    let rows = [
        Spent {
            after: Duration::ZERO,
            wanted: 20,
        },
        Spent {
            after: Duration::from_millis(50),
            wanted: 0,
        },
        Spent {
            after: Duration::from_secs(1),
            wanted: 10,
        },
        Spent {
            after: Duration::from_secs(3600),
            wanted: 20,
        },
        Spent {
            after: Duration::from_secs(1),
            wanted: 0,
        },
    ];
    for row in rows {
        let at = begun + row.after;
        let spent = (0..100).filter(|_| bucket.take(at).is_ok()).count();
        assert!(
            spent.abs_diff(row.wanted) <= 1,
            "{spent} after {:?}",
            row.after
        );
    }
}

fn read_all(bytes: &[u8]) {
    let instances = serde_json::from_slice::<InstancesWire>(bytes);
    for instance in instances.into_iter().flat_map(|wire| wire.instances) {
        ListedInstance::try_from(instance).ok();
    }
    let read: [Option<Result<(), PlatformError>>; 3] = [
        serde_json::from_slice::<ObjectWire>(bytes)
            .ok()
            .map(|wire| Object::try_from(wire).map(drop)),
        serde_json::from_slice::<ListingWire>(bytes)
            .ok()
            .map(|wire| Listing::try_from(wire).map(drop)),
        serde_json::from_slice::<ChangesWire>(bytes)
            .ok()
            .map(|wire| Changes::try_from(wire).map(drop)),
    ];
    drop(read);
}

fn replies() -> Vec<Value> {
    let object = json!({ "key": "a", "version": 3, "value": { "n": 1 } });
    vec![
        json!({ "revision": 9, "objects": [object] }),
        json!({ "revision": 9, "changes": [{ "key": "a", "object": object }] }),
        json!({ "instances": [{
            "name": "one", "addr": "127.0.0.1:1", "peer_addr": "[::1]:2",
            "failure_domain": "suva-a", "region": "central", "leaving": true,
        }] }),
        object,
    ]
}

proptest! {
    #[test]
    fn random_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        read_all(&bytes);
    }

    #[test]
    fn damaged_replies_are_read_or_refused(
        which in 0..4_usize, cut in 0..200_usize, at in 0..200_usize, byte in any::<u8>(),
    ) {
        let mut bytes = replies()[which].to_string().into_bytes();
        let at = at % bytes.len();
        bytes[at] = byte;
        bytes.truncate(bytes.len().saturating_sub(cut));
        read_all(&bytes);
    }
}
