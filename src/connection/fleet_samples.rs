//! Proptest strategies for follow requests and updates.

use std::sync::Arc;

use proptest::collection::vec;
use proptest::prelude::*;

use super::peer_tests::{member, name};
use crate::process::{
    Entry, EntryState, FollowReason, FollowRequest, InstanceRecord, LargeObject, ObjectKey,
    ObjectPart, PartRequest, PeerRequest, PeerResponse, SilenceReport, SilentReplica, Updates,
};
use crate::types::{ByteCount, Fingerprint, Incarnation, ObjectVersion, Position, Span};

prop_compose! {
    fn instance_record()(member in member(), seq: u64, capacity: u32) -> InstanceRecord {
        InstanceRecord { member, seq, capacity }
    }
}

prop_compose! {
    fn entry()(
        key in name(),
        version: u64,
        state in prop_oneof![
            any::<Vec<u8>>().prop_map(|value| EntryState::Present(Arc::from(value))),
            Just(EntryState::Gone),
            Just(EntryState::Lapsed)
        ],
    ) -> Entry {
        Entry { key: ObjectKey::new(key), version: ObjectVersion(version), state }
    }
}

prop_compose! {
    fn large_object()(key in name(), version: u64, size: u64) -> LargeObject {
        LargeObject {
            key: ObjectKey::new(key),
            version: ObjectVersion(version),
            size: ByteCount(size),
        }
    }
}

prop_compose! {
    fn part_request()(object in large_object(), received: u64) -> PartRequest {
        PartRequest { object, received: ByteCount(received) }
    }
}

prop_compose! {
    fn object_part()(object in large_object(), offset: u64, bytes: Vec<u8>) -> ObjectPart {
        ObjectPart { object, offset: ByteCount(offset), bytes }
    }
}

prop_compose! {
    fn silence_report()(upstream in name(), by in name(), age: u64) -> SilenceReport {
        SilenceReport {
            upstream: upstream.parse().unwrap(),
            by: by.parse().unwrap(),
            age: Span(age),
        }
    }
}

prop_compose! {
    fn silent_replica()(upstream in name(), age: u64) -> SilentReplica {
        SilentReplica { upstream: upstream.parse().unwrap(), age: Span(age) }
    }
}

prop_compose! {
    pub(super) fn follow_request()(
        from in instance_record(),
        reason in prop_oneof![Just(FollowReason::Follows), Just(FollowReason::Joins), Just(FollowReason::Looks)],
        numbers: [u64; 3],
        learned in vec(instance_record(), 0..4),
        poison: Vec<u64>,
        silent in vec(silence_report(), 0..4),
        part in prop::option::of(part_request()),
    ) -> PeerRequest {
        PeerRequest::Follow(Box::new(FollowRequest {
            from,
            reason,
            of: Incarnation(numbers[0]),
            objects: Position(numbers[1]),
            members: Position(numbers[2]),
            learned,
            poison: poison.into_iter().map(Fingerprint).collect(),
            silent,
            part,
        }))
    }
}

prop_compose! {
    pub(super) fn updates()(
        from in instance_record(),
        numbers: [u64; 3],
        age in prop::option::of(any::<u64>()),
        via in vec(name(), 0..4),
        objects in vec(entry(), 0..4),
        large in vec(large_object(), 0..4),
        part in prop::option::of(object_part()),
        is_complete: bool,
        members in vec(instance_record(), 0..4),
        poison: Vec<u64>,
        silent in vec(silent_replica(), 0..4),
    ) -> PeerResponse {
        PeerResponse::News(Box::new(Updates {
            from,
            of: Incarnation(numbers[0]),
            age: age.map(Span),
            via: via.iter().map(|name| name.parse().unwrap()).collect(),
            objects,
            large,
            part,
            is_complete,
            objects_to: Position(numbers[1]),
            members,
            members_to: Position(numbers[2]),
            poison: poison.into_iter().map(Fingerprint).collect(),
            silent,
        }))
    }
}
