//! Tests of the messages between instances: every message survives a round trip, and invalid
//! bytes cause an error and never a panic. Also tests the authentication by shared keys.

use std::net::SocketAddr;

use proptest::collection::vec;
use proptest::prelude::*;
use rstest::rstest;

use super::fleet_samples::{follow_request, marks, updates};
use super::peer_auth::{self, Side, Transcript};
use super::peer_wire::{
    self, ChallengeWire, HelloWire, MAX_HELLO_BYTES, MAX_MESSAGE_BYTES, PROTOCOL, PeerRequestWire,
    PeerResponseWire, PeerWireError, ProofWire,
};
use crate::process::{
    CellDelta, CellId, CellVersion, Heartbeat, HeartbeatReply, Member, MemberState, Object,
    ObjectKey, PeerRequest, PeerResponse, SeenInstance,
};
use crate::types::{
    CellSeq, ConfigVersion, Epoch, Fingerprint, Incarnation, ObjectVersion, PeerKey, Position, Span,
};

pub(super) fn name() -> impl Strategy<Value = String> {
    "[a-z0-9._:-]{1,20}"
}

prop_compose! {
    pub(super) fn member()(
        names in [name(), name(), name()],
        incarnation: u64,
        ips: (u32, u32),
        ports: (u16, u16),
        state in prop_oneof![
            Just(MemberState::Joining),
            Just(MemberState::Live),
            Just(MemberState::Leaving),
            Just(MemberState::Gone)
        ],
    ) -> Member {
        Member {
            name: names[0].parse().unwrap(),
            incarnation: Incarnation(incarnation),
            addr: SocketAddr::from((ips.0.to_be_bytes(), ports.0)),
            peer_addr: SocketAddr::from((ips.1.to_be_bytes(), ports.1)),
            failure_domain: names[1].parse().unwrap(),
            region: names[2].parse().unwrap(),
            state,
        }
    }
}

prop_compose! {
    fn cell()(name in name(), number: u32) -> CellId {
        CellId { failure_domain: name.parse().unwrap(), number }
    }
}

prop_compose! {
    fn seen_instance()(member in member(), config: u64, age: u64) -> SeenInstance {
        SeenInstance { member, config: ConfigVersion(config), age: Span(age) }
    }
}

prop_compose! {
    fn heartbeat()(
        from in member(),
        cell in prop::option::of(cell()),
        numbers: [u64; 4],
        met in vec(seen_instance(), 0..4),
        poison: Vec<u64>,
    ) -> PeerRequest {
        PeerRequest::Heartbeat(Box::new(Heartbeat {
            from,
            cell,
            config: ConfigVersion(numbers[0]),
            seen: Position(numbers[1]),
            seen_of: Incarnation(numbers[2]),
            digest: numbers[3],
            met,
            poison: poison.into_iter().map(Fingerprint).collect(),
        }))
    }
}

prop_compose! {
    fn delta()(
        cell in cell(),
        version: (u64, u64),
        whole: bool,
        changed in vec(member(), 0..4),
        removed in vec(name(), 0..4),
    ) -> CellDelta {
        CellDelta {
            cell,
            version: CellVersion { epoch: Epoch(version.0), seq: CellSeq(version.1) },
            whole,
            changed,
            removed: removed.iter().map(|name| name.parse().unwrap()).collect(),
        }
    }
}

prop_compose! {
    fn reply()(
        from in member(),
        leading in prop::option::of((cell(), any::<u64>())),
        flags: (bool, bool),
        numbers: (u64, u64),
        objects in vec((name(), any::<u64>()), 0..4),
        cells in vec(delta(), 0..4),
        met in vec(seen_instance(), 0..4),
        poison: Vec<u64>,
    ) -> PeerResponse {
        let objects = objects.into_iter();
        PeerResponse::Heartbeat(Box::new(HeartbeatReply {
            from,
            leading: leading.map(|(cell, epoch)| (cell, Epoch(epoch))),
            fresh: flags.0,
            said_config: ConfigVersion(numbers.0),
            up_to: Position(numbers.1),
            more: flags.1,
            objects: objects
                .map(|(key, version)| (ObjectKey::new(key), ObjectVersion(version)))
                .collect(),
            cells,
            met,
            poison: poison.into_iter().map(Fingerprint).collect(),
        }))
    }
}

fn object() -> impl Strategy<Value = Object> {
    (name(), any::<u64>(), any::<Vec<u8>>()).prop_map(|(key, version, value)| Object {
        key: ObjectKey::new(key),
        version: ObjectVersion(version),
        value,
    })
}

fn request() -> impl Strategy<Value = PeerRequest> {
    let fetch = vec(name(), 0..8);
    let fetch =
        fetch.prop_map(|keys| PeerRequest::Fetch(keys.into_iter().map(ObjectKey::new).collect()));
    prop_oneof![heartbeat(), fetch, follow_request(), marks()]
}

fn response() -> impl Strategy<Value = PeerResponse> {
    let objects = vec(object(), 0..4);
    let objects = objects
        .prop_map(|objects| PeerResponse::Objects(objects.into_iter().map(Into::into).collect()));
    prop_oneof![reply(), objects, updates()]
}

fn decode_request(bytes: &[u8]) -> Result<PeerRequest, PeerWireError> {
    peer_wire::decode::<PeerRequestWire, MAX_MESSAGE_BYTES>(bytes)?.try_into()
}

fn decode_response(bytes: &[u8]) -> Result<PeerResponse, PeerWireError> {
    peer_wire::decode::<PeerResponseWire, MAX_MESSAGE_BYTES>(bytes)?.try_into()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn messages_survive_a_round_trip(request in request(), response in response()) {
        let bytes = peer_wire::encode(&PeerRequestWire::from(&request)).unwrap();
        prop_assert_eq!(decode_request(&bytes).unwrap(), request);
        let bytes = peer_wire::encode(&PeerResponseWire::from(&response)).unwrap();
        prop_assert_eq!(decode_response(&bytes).unwrap(), response);
    }

    #[test]
    fn truncated_messages_and_trailing_bytes_are_refused(
        request in request(),
        response in response(),
        cut: prop::sample::Index,
    ) {
        let mut bytes = peer_wire::encode(&PeerRequestWire::from(&request)).unwrap();
        prop_assert!(decode_request(&bytes[..cut.index(bytes.len())]).is_err());
        bytes.push(0);
        prop_assert!(matches!(decode_request(&bytes), Err(PeerWireError::Trailing(1))));
        let bytes = peer_wire::encode(&PeerResponseWire::from(&response)).unwrap();
        prop_assert!(decode_response(&bytes[..cut.index(bytes.len())]).is_err());
    }

    #[test]
    fn a_corrupted_message_never_panics(response in response(), at: prop::sample::Index, to: u8) {
        let mut bytes = peer_wire::encode(&PeerResponseWire::from(&response)).unwrap();
        let at = at.index(bytes.len());
        bytes[at] = to;
        decode_response(&bytes).ok();
    }

    #[test]
    fn random_bytes_never_panic(bytes: Vec<u8>) {
        decode_request(&bytes).ok();
        decode_response(&bytes).ok();
        peer_wire::version(&bytes).ok();
        peer_wire::decode::<HelloWire, MAX_HELLO_BYTES>(&bytes).ok();
        peer_wire::decode::<ChallengeWire, MAX_HELLO_BYTES>(&bytes).ok();
        peer_wire::decode::<ProofWire, MAX_HELLO_BYTES>(&bytes).ok();
    }

    #[test]
    fn a_hello_of_another_version_is_refused(version: u16, nonce: [u8; 32], name in name()) {
        prop_assume!(version != PROTOCOL);
        let bytes = peer_wire::encode(&HelloWire { version, name, nonce }).unwrap();
        let checked = peer_wire::version(&bytes);
        prop_assert!(matches!(checked, Err(PeerWireError::Version(found)) if found == version));
    }

    #[test]
    fn a_length_above_the_limit_is_refused_before_allocation(len in (1u64 << 22)..) {
        let mut bytes = vec![1, 0, 0, 0];
        bytes.extend(len.to_le_bytes());
        prop_assert!(decode_request(&bytes).is_err());
        prop_assert!(decode_response(&bytes).is_err());
    }
}

/// The keys of both sides, and whether they authenticate each other.
struct Keys {
    client: &'static [&'static str],
    server: &'static [&'static str],
    authenticated: bool,
}

const OLD: &str = "an-old-key-of-some-length";
const NEW: &str = "a-new-key-of-some-length";

#[rstest]
#[case::same(Keys { client: &[OLD], server: &[OLD], authenticated: true })]
#[case::different(Keys { client: &[OLD], server: &[NEW], authenticated: false })]
#[case::server_has_both(Keys { client: &[OLD], server: &[NEW, OLD], authenticated: true })]
#[case::client_has_both(Keys { client: &[OLD, NEW], server: &[NEW], authenticated: true })]
#[case::client_has_none(Keys { client: &[], server: &[NEW], authenticated: false })]
#[case::server_has_none(Keys { client: &[NEW], server: &[], authenticated: false })]
fn instances_authenticate_when_they_share_a_key(#[case] case: Keys) {
    let keys = |texts: &[&str]| -> Vec<PeerKey> {
        texts.iter().map(|text| text.parse().unwrap()).collect()
    };
    let (client, server) = (keys(case.client), keys(case.server));
    let transcript = Transcript {
        name: "one".to_owned(),
        client: peer_auth::nonce(),
        server: peer_auth::nonce(),
    };
    let prove = |key| peer_auth::prove(key, Side::Server, &transcript);
    let shared = server.iter().find_map(|key| {
        let proof = prove(key);
        peer_auth::find_key(&client, Side::Server, &transcript, &proof)
    });
    assert_eq!(shared.is_some(), case.authenticated);
    let Some(shared) = shared else {
        return;
    };
    let proof = peer_auth::prove(shared, Side::Client, &transcript);
    let accepts = |side, transcript: &Transcript| {
        peer_auth::find_key(&server, side, transcript, &proof).is_some()
    };
    assert!(accepts(Side::Client, &transcript));
    assert!(
        !accepts(Side::Server, &transcript),
        "a proof reflected to its sender"
    );
    let later_transcript = Transcript {
        server: peer_auth::nonce(),
        ..transcript.clone()
    };
    assert!(!accepts(Side::Client, &later_transcript), "replayed");
}
