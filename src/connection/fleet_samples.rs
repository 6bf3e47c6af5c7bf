//! Proptest strategies for follow requests and updates.

use std::sync::Arc;

use proptest::collection::vec;
use proptest::prelude::*;

use super::peer_tests::{member, name};
use crate::process::{
    Chunk, Entry, EntryState, EntryVersion, FollowReason, FollowRequest, IncidentReport,
    InstanceRecord, LargeObject, MarkReport, ObjectKey, PeerRequest, PeerResponse, SilenceReport,
    SilentReplica, Updates, WriterOrder,
};
use crate::types::{
    ByteCount, ChunkId, Era, Fingerprint, Incarnation, ObjectVersion, Position, Span,
};

prop_compose! {
    fn instance_record()(member in member(), seq: u64, capacity: u32) -> InstanceRecord {
        InstanceRecord { member, seq, capacity }
    }
}

prop_compose! {
    fn version()(era: u64, version: u64) -> EntryVersion {
        EntryVersion::new(Era(era), ObjectVersion(version))
    }
}

prop_compose! {
    fn order()(started: u64, number: u64) -> WriterOrder {
        WriterOrder { started, number }
    }
}

prop_compose! {
    fn entry()(
        key in name(),
        version in version(),
        state in prop_oneof![
            any::<Vec<u8>>().prop_map(|value| EntryState::Present(Arc::from(value))),
            (any::<Vec<u8>>(), order()).prop_map(|(value, order)| EntryState::Kept(Arc::from(value), order)),
            prop::option::of(order()).prop_map(EntryState::Gone),
            Just(EntryState::Lapsed)
        ],
    ) -> Entry {
        Entry { key: ObjectKey::new(key), version, state }
    }
}

prop_compose! {
    fn large_object()(
        key in name(),
        version in version(),
        kept in prop::option::of(order()),
        size: u64,
        chunks: Vec<u128>,
    ) -> LargeObject {
        LargeObject {
            key: ObjectKey::new(key),
            version,
            kept,
            size: ByteCount(size),
            chunks: chunks.into_iter().map(ChunkId).collect(),
        }
    }
}

prop_compose! {
    fn chunk()(id: u128, compressed: Vec<u8>) -> Chunk {
        Chunk { id: ChunkId(id), compressed: Arc::from(compressed) }
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
    fn incident()(
        id: u64,
        age: u64,
        losses in vec((name(), any::<u64>()), 0..4),
    ) -> IncidentReport {
        let losses = losses.into_iter();
        IncidentReport {
            id,
            age: Span(age),
            losses: losses.map(|(name, age)| (name.parse().unwrap(), Span(age))).collect(),
        }
    }
}

prop_compose! {
    fn mark()(
        request: u64,
        replied in prop::option::of(any::<u64>()),
        incidents in vec(incident(), 0..4),
    ) -> MarkReport {
        MarkReport { request: Fingerprint(request), replied: replied.map(Span), incidents }
    }
}

pub(super) fn marks() -> impl Strategy<Value = PeerRequest> {
    vec(mark(), 0..4).prop_map(PeerRequest::Marks)
}

prop_compose! {
    pub(super) fn follow_request()(
        from in instance_record(),
        reason in prop_oneof![Just(FollowReason::Follows), Just(FollowReason::Joins), Just(FollowReason::Looks)],
        numbers: [u64; 3],
        learned in vec(instance_record(), 0..4),
        poison: Vec<u64>,
        silent in vec(silence_report(), 0..4),
        chunks: Vec<u128>,
        knows_eras: bool,
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
            chunks: chunks.into_iter().map(ChunkId).collect(),
            knows_eras,
        }))
    }
}

prop_compose! {
    pub(super) fn updates()(
        from in instance_record(),
        numbers: [u64; 4],
        age in prop::option::of(any::<u64>()),
        via in vec(name(), 0..4),
        objects in vec(entry(), 0..4),
        large in vec(large_object(), 0..4),
        chunks in vec(chunk(), 0..4),
        is_complete: bool,
        members in vec(instance_record(), 0..4),
        poison: Vec<u64>,
        silent in vec(silent_replica(), 0..4),
    ) -> PeerResponse {
        PeerResponse::News(Box::new(Updates {
            from,
            of: Incarnation(numbers[0]),
            era: Some(Era(numbers[3])),
            age: age.map(Span),
            via: via.iter().map(|name| name.parse().unwrap()).collect(),
            objects,
            large,
            chunks,
            is_complete,
            objects_to: Position(numbers[1]),
            members,
            members_to: Position(numbers[2]),
            poison: poison.into_iter().map(Fingerprint).collect(),
            silent,
        }))
    }
}
