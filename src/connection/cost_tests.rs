//! What membership costs at the size that it aims for. It prints figures and checks
//! none, so it runs only when asked for; see `docs/DEVELOPERS.md`.

use std::time::Instant;

use indexmap::IndexMap;

use super::peer_wire::{self, AskWire, MOST_MESSAGE_BYTES, ToldWire};
use crate::process::{
    Ask, CellId, CellVersion, Heartbeat, Member, MemberState, Members, Object, ObjectKey, Summary,
    Timing, Told,
};
use crate::types::{CellSeq, ConfigVersion, Epoch, Incarnation, ObjectVersion, Span, Timestamp};

const CELLS: usize = 248;
const CELL: usize = 32;
const DOMAINS: usize = 8;
const INDEXES: usize = 35;
const INDEX_BYTES: usize = 270 << 10;
const ROUNDS: usize = 2_000;

fn member(number: usize) -> Member {
    let domain = number / CELL % DOMAINS;
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
    for number in cell * CELL..(cell + 1) * CELL {
        let mut one = member(number);
        if number == leaving {
            one.state = MemberState::Leaving;
        }
        members.insert(one.name.clone(), one);
    }
    Summary {
        cell: CellId {
            failure_domain: member(cell * CELL).failure_domain,
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
        beat: Span::from_secs(1),
    };
    let mut members = Members::new(timing, member(number), Vec::new());
    for cell in 0..CELLS {
        members.adopt_summary(&summary(cell, 1, usize::MAX));
    }
    members
}

/// The bytes of both bodies of one exchange.
fn exchange(from: &mut Members, to: &mut Members, now: Timestamp) -> (usize, usize) {
    let name = to.me().name.clone();
    let beat: Heartbeat = from.heartbeat(now, Some(&name));
    let ask = peer_wire::encode(&AskWire::from(&Ask::Heartbeat(Box::new(beat)))).unwrap();
    let read: AskWire = peer_wire::decode::<_, MOST_MESSAGE_BYTES>(&ask).unwrap();
    let Ask::Heartbeat(beat) = read.try_into().unwrap() else {
        panic!("not a heartbeat");
    };
    let reply = to.on_heartbeat(now, &beat);
    let told = peer_wire::encode(&ToldWire::from(&Told::Heartbeat(Box::new(reply)))).unwrap();
    let read: ToldWire = peer_wire::decode::<_, MOST_MESSAGE_BYTES>(&told).unwrap();
    let Told::Heartbeat(reply) = read.try_into().unwrap() else {
        panic!("not a reply");
    };
    from.on_reply(now, now, &reply);
    (ask.len(), told.len())
}

fn resident_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1));
    kb.and_then(|kb| kb.parse().ok()).unwrap_or_default()
}

#[test]
#[ignore = "it prints figures and checks none"]
fn membership_cost() {
    let before = resident_kb();
    let mut leader = instance(0);
    println!("cells and journal: {} KB", resident_kb() - before);
    let before = resident_kb();
    for number in 0..INDEXES {
        let object = Object {
            key: ObjectKey::new(format!("indexes/{number}")),
            version: ObjectVersion(1),
            value: vec![b'x'; INDEX_BYTES],
        };
        leader.adopt_object(&object, ConfigVersion(1));
    }
    println!("objects kept for peers: {} KB", resident_kb() - before);
    let mut follower = instance(1);
    let mut first = (0, 0);
    for round in 0..16 {
        let (ask, told) = exchange(&mut follower, &mut leader, Timestamp(round));
        first = (first.0 + ask, first.1 + told);
    }
    println!("first exchanges: {first:?} bytes");

    let begun = Instant::now();
    let mut bytes = (0, 0);
    for round in 0..ROUNDS {
        bytes = exchange(&mut follower, &mut leader, Timestamp(100 + round as u64));
    }
    let each = begun.elapsed() / u32::try_from(ROUNDS).unwrap();
    println!("heartbeat without a change: {bytes:?} bytes, both ends {each:?}");

    let begun = Instant::now();
    for round in 0..ROUNDS {
        let (cell, seq) = (round % CELLS, 2 + (round / CELLS) as u64);
        let leaving = cell * CELL + round / CELLS % CELL;
        leader.adopt_summary(&summary(cell, seq, leaving));
        bytes = exchange(&mut follower, &mut leader, Timestamp(10_000 + round as u64));
    }
    let each = begun.elapsed() / u32::try_from(ROUNDS).unwrap();
    println!("heartbeat with one change: {bytes:?} bytes, both ends and the summary {each:?}");

    let json = summary(0, 1, usize::MAX).to_json().unwrap();
    println!("summary on the platform: {} bytes", json.len());
    let begun = Instant::now();
    for round in 0..ROUNDS {
        leader.live(Timestamp(20_000 + round as u64));
    }
    let each = begun.elapsed() / u32::try_from(ROUNDS).unwrap();
    println!("count of {} instances: {each:?}", CELLS * CELL);
    let begun = Instant::now();
    for round in 0..ROUNDS / 10 {
        leader.candidates(Timestamp(30_000 + round as u64));
    }
    let each = begun.elapsed() / u32::try_from(ROUNDS / 10).unwrap();
    println!("candidates for one answer of addresses: {each:?}");
}
