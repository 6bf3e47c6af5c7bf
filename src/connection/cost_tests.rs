//! Measures the cost of membership at the design size. It prints figures and asserts
//! nothing, so it is ignored by default; see `docs/DEVELOPERS.md`.

use std::time::Instant;

use indexmap::IndexMap;

use super::peer_wire::{self, MAX_MESSAGE_BYTES, PeerRequestWire, PeerResponseWire};
use crate::process::{
    CellId, CellVersion, Heartbeat, Member, MemberState, Members, Object, ObjectKey, PeerRequest,
    PeerResponse, Summary, Timing,
};
use crate::types::{CellSeq, ConfigVersion, Epoch, Incarnation, ObjectVersion, Span, Timestamp};

const CELLS: usize = 248;
const CELL_SIZE: usize = 32;
const DOMAINS: usize = 8;
const INDEXES: usize = 35;
const INDEX_BYTES: usize = 270 << 10;
const ROUNDS: usize = 2_000;

fn member(number: usize) -> Member {
    let domain = number / CELL_SIZE % DOMAINS;
    let ip = u32::try_from(0x0a00_0000 + number).unwrap().to_be_bytes();
    Member {
        name: format!("instance-{number}").parse().unwrap(),
        incarnation: Incarnation(1_790_000_000_000),
        addr: (ip, 7_400).into(),
        peer_addr: (ip, 7_401).into(),
        failure_domain: format!("domain-{domain}").parse().unwrap(),
        region: format!("region-{}", domain / 2).parse().unwrap(),
        state: MemberState::Live,
    }
}

fn summary(cell: usize, seq: u64, leaving: usize) -> Summary {
    let mut members = IndexMap::new();
    for number in cell * CELL_SIZE..(cell + 1) * CELL_SIZE {
        let mut member = member(number);
        if number == leaving {
            member.state = MemberState::Leaving;
        }
        members.insert(member.name.clone(), member);
    }
    Summary {
        cell: CellId {
            failure_domain: member(cell * CELL_SIZE).failure_domain,
            number: u32::try_from(cell / DOMAINS).unwrap(),
        },
        version: CellVersion {
            epoch: Epoch(1),
            seq: CellSeq(seq),
        },
        members,
    }
}

fn instance(number: usize) -> Members {
    let timing = Timing {
        heartbeat_interval: Span::from_secs(1),
    };
    let mut members = Members::new(timing, member(number), Vec::new());
    for cell in 0..CELLS {
        members.adopt_summary(&summary(cell, 1, usize::MAX));
    }
    members
}

/// Runs one heartbeat exchange and returns the sizes of both messages in bytes.
fn exchange(from: &mut Members, to: &mut Members, now: Timestamp) -> (usize, usize) {
    let name = to.me().name.clone();
    let heartbeat: Heartbeat = from.heartbeat(now, Some(&name));
    let request = peer_wire::encode(&PeerRequestWire::from(&PeerRequest::Heartbeat(Box::new(
        heartbeat,
    ))))
    .unwrap();
    let decoded: PeerRequestWire = peer_wire::decode::<_, MAX_MESSAGE_BYTES>(&request).unwrap();
    let PeerRequest::Heartbeat(heartbeat) = decoded.try_into().unwrap() else {
        panic!("not a heartbeat");
    };
    let reply = to.on_heartbeat(now, &heartbeat);
    let response = peer_wire::encode(&PeerResponseWire::from(&PeerResponse::Heartbeat(Box::new(
        reply,
    ))))
    .unwrap();
    let decoded: PeerResponseWire = peer_wire::decode::<_, MAX_MESSAGE_BYTES>(&response).unwrap();
    let PeerResponse::Heartbeat(reply) = decoded.try_into().unwrap() else {
        panic!("not a reply");
    };
    from.on_reply(now, now, &reply);
    (request.len(), response.len())
}

fn resident_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1));
    kb.and_then(|kb| kb.parse().ok()).unwrap_or_default()
}

#[test]
#[ignore = "prints figures and asserts nothing"]
fn membership_cost() {
    let before = resident_kb();
    let mut leader = instance(0);
    println!("cells and change log: {} KB", resident_kb() - before);
    let before = resident_kb();
    for number in 0..INDEXES {
        let object = Object {
            key: ObjectKey::new(format!("indexes/{number}")),
            version: ObjectVersion(1),
            value: vec![b'x'; INDEX_BYTES],
        };
        leader.adopt_object(&object, ConfigVersion(1));
    }
    println!("objects cached for peers: {} KB", resident_kb() - before);
    let mut follower = instance(1);
    let mut first = (0, 0);
    for round in 0..16 {
        let (request, response) = exchange(&mut follower, &mut leader, Timestamp(round));
        first = (first.0 + request, first.1 + response);
    }
    println!("first exchanges: {first:?} bytes");

    let started = Instant::now();
    let mut bytes = (0, 0);
    for round in 0..ROUNDS {
        bytes = exchange(&mut follower, &mut leader, Timestamp(100 + round as u64));
    }
    let mean = started.elapsed() / u32::try_from(ROUNDS).unwrap();
    println!("heartbeat without a change: {bytes:?} bytes, {mean:?} for both ends");

    let started = Instant::now();
    for round in 0..ROUNDS {
        let (cell, seq) = (round % CELLS, 2 + (round / CELLS) as u64);
        let leaving = cell * CELL_SIZE + round / CELLS % CELL_SIZE;
        leader.adopt_summary(&summary(cell, seq, leaving));
        bytes = exchange(&mut follower, &mut leader, Timestamp(10_000 + round as u64));
    }
    let mean = started.elapsed() / u32::try_from(ROUNDS).unwrap();
    println!("heartbeat with one change: {bytes:?} bytes, {mean:?} for both ends and the summary");

    let json = summary(0, 1, usize::MAX).to_json().unwrap();
    println!("summary on the platform: {} bytes", json.len());
    let started = Instant::now();
    for round in 0..ROUNDS {
        leader.live(Timestamp(20_000 + round as u64));
    }
    let mean = started.elapsed() / u32::try_from(ROUNDS).unwrap();
    println!("counting {} live instances: {mean:?}", CELLS * CELL_SIZE);
    let started = Instant::now();
    for round in 0..ROUNDS / 10 {
        leader.candidates(Timestamp(30_000 + round as u64));
    }
    let mean = started.elapsed() / u32::try_from(ROUNDS / 10).unwrap();
    println!("candidates for one response with addresses: {mean:?}");
}
