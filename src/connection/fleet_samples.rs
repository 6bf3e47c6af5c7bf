//! Proptest strategies for follow requests and updates.

use std::sync::Arc;

use proptest::collection::vec;
use proptest::prelude::*;

use super::peer_tests::{member, name};
use crate::process::{
    Ask, Entry, EntryState, Follow, News, ObjectKey, Presence, Reason, SilenceReport, Silent, Told,
};
use crate::types::{Fingerprint, Incarnation, ObjectVersion, Position, Span};

prop_compose! {
    fn presence()(member in member(), seq: u64, capacity: u32) -> Presence {
        Presence { member, seq, capacity }
    }
}

prop_compose! {
    fn entry()(
        key in name(),
        version: u64,
        state in prop_oneof![
            any::<Vec<u8>>().prop_map(|value| EntryState::Held(Arc::from(value))),
            Just(EntryState::Gone),
            Just(EntryState::Lapsed)
        ],
    ) -> Entry {
        Entry { key: ObjectKey::new(key), version: ObjectVersion(version), state }
    }
}

prop_compose! {
    fn report()(upstream in name(), by in name(), age: u64) -> SilenceReport {
        SilenceReport {
            upstream: upstream.parse().unwrap(),
            by: by.parse().unwrap(),
            age: Span(age),
        }
    }
}

prop_compose! {
    fn silent()(upstream in name(), age: u64) -> Silent {
        Silent { upstream: upstream.parse().unwrap(), age: Span(age) }
    }
}

prop_compose! {
    pub(super) fn follow()(
        from in presence(),
        reason in prop_oneof![Just(Reason::Follows), Just(Reason::Joins), Just(Reason::Looks)],
        numbers: [u64; 3],
        learned in vec(presence(), 0..4),
        poison: Vec<u64>,
        silent in vec(report(), 0..4),
    ) -> Ask {
        Ask::Follow(Box::new(Follow {
            from,
            reason,
            of: Incarnation(numbers[0]),
            objects: Position(numbers[1]),
            members: Position(numbers[2]),
            learned,
            poison: poison.into_iter().map(Fingerprint).collect(),
            silent,
        }))
    }
}

prop_compose! {
    pub(super) fn news()(
        from in presence(),
        numbers: [u64; 3],
        age in prop::option::of(any::<u64>()),
        via in vec(name(), 0..4),
        objects in vec(entry(), 0..4),
        members in vec(presence(), 0..4),
        poison: Vec<u64>,
        silent in vec(silent(), 0..4),
    ) -> Told {
        Told::News(Box::new(News {
            from,
            of: Incarnation(numbers[0]),
            age: age.map(Span),
            via: via.iter().map(|name| name.parse().unwrap()).collect(),
            objects,
            objects_to: Position(numbers[1]),
            members,
            members_to: Position(numbers[2]),
            poison: poison.into_iter().map(Fingerprint).collect(),
            silent,
        }))
    }
}
