//! What an instance makes of heartbeats, summaries and their absence.

use std::net::SocketAddr;

use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use super::cells::{self, CELL_INSTANCES, CellId, CellVersion, Member, MemberState, Summary};
use super::exchange::HeartbeatReply;
use super::members::{Members, Readiness, Role, Timing};
use super::share::Share;
use super::{Object, ObjectKey};
use crate::types::{
    CellSeq, ConfigVersion, Epoch, Incarnation, InstanceName, ObjectVersion, Position, Span,
    Timestamp,
};

const TIMING: Timing = Timing {
    beat: Span::from_secs(1),
};

fn at(secs: u64) -> Timestamp {
    Timestamp(0) + Span::from_secs(secs)
}

fn addr(port: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(port).unwrap()))
}

fn member(number: usize) -> Member {
    Member {
        name: format!("i{number}").parse().unwrap(),
        incarnation: Incarnation(1),
        addr: addr(1_000 + number),
        peer_addr: addr(20_000 + number),
        failure_domain: "fd".parse().unwrap(),
        region: "region".parse().unwrap(),
        state: MemberState::Live,
    }
}

fn cell(number: u32) -> CellId {
    CellId {
        failure_domain: "fd".parse().unwrap(),
        number,
    }
}

fn summary(cell: CellId, epoch: u64, seq: u64, members: &[usize]) -> Summary {
    let members = members.iter().map(|number| member(*number));
    Summary {
        cell,
        version: CellVersion {
            epoch: Epoch(epoch),
            seq: CellSeq(seq),
        },
        members: members
            .map(|member| (member.name.clone(), member))
            .collect(),
    }
}

fn members(number: usize) -> Members {
    let mut members = Members::new(TIMING, member(number), Vec::new());
    members.adopt_summary(&summary(cell(0), 1, 1, &[0, 1, 2]));
    members.join(&mut SmallRng::seed_from_u64(1));
    members
}

fn leading(number: usize, epoch: u64) -> Members {
    let mut members = members(number);
    members
        .lease
        .wrote(at(0), Epoch(epoch), ObjectVersion(1), 0);
    members.begin_leading(at(0));
    members
}

/// Sends one heartbeat and takes its reply.
fn exchange(from: &mut Members, to: &mut Members, now: Timestamp) -> HeartbeatReply {
    let name = to.me().name.clone();
    let beat = from.heartbeat(now, Some(&name));
    let reply = to.on_heartbeat(now, &beat);
    from.on_reply(now, now, &reply);
    reply
}

#[test]
fn a_follower_is_an_orphan_when_its_leader_is_silent() {
    let mut leader = leading(0, 5);
    let mut follower = members(1);
    exchange(&mut follower, &mut leader, at(1));
    assert_eq!(follower.role(at(3)), Role::Following(Epoch(5)));
    assert_eq!(follower.role(at(4)), Role::Orphan);
    assert!(follower.reads_platform(at(4)));
}

#[test]
fn a_leader_of_an_earlier_epoch_is_not_followed() {
    let (mut old, mut new) = (leading(0, 5), leading(2, 6));
    let mut follower = members(1);
    exchange(&mut follower, &mut new, at(1));
    exchange(&mut follower, &mut old, at(2));
    assert_eq!(follower.role(at(2)), Role::Following(Epoch(6)));
    assert_eq!(follower.leader_addr(at(2)), Some(new.me().peer_addr));
}

#[test]
fn a_leader_whose_lease_lapsed_says_so_and_publishes_nothing() {
    let mut leader = leading(0, 5);
    let mut follower = members(1);
    assert!(
        exchange(&mut follower, &mut leader, at(1))
            .leading
            .is_some()
    );
    assert!(
        exchange(&mut follower, &mut leader, at(9))
            .leading
            .is_none()
    );
    assert_eq!(follower.role(at(9)), Role::Orphan);
    assert_eq!(leader.to_publish(at(9)), None);
}

/// What a leader has heard, and whom it publishes at a time.
struct Published {
    beats: &'static [(u64, usize)],
    now: u64,
    names: &'static [&'static str],
}

#[rstest]
#[case::a_new_leader_keeps_those_it_has_not_heard_yet(Published {
    beats: &[],
    now: 5,
    names: &["i0", "i1", "i2"],
})]
#[case::and_drops_them_when_they_stay_silent(Published {
    beats: &[(3, 1)],
    now: 6,
    names: &["i0", "i1"],
})]
#[case::one_that_joined(Published {
    beats: &[(4, 1), (4, 2), (4, 3)],
    now: 6,
    names: &["i0", "i1", "i2", "i3"],
})]
#[case::one_that_went_silent_later(Published {
    beats: &[(1, 1), (4, 2)],
    now: 7,
    names: &["i0", "i2"],
})]
fn a_leader_publishes_whom_it_hears(#[case] case: Published) {
    let mut leader = leading(0, 5);
    for (secs, number) in case.beats {
        let from = members(*number);
        let beat = from.heartbeat(at(*secs), None);
        leader.on_heartbeat(at(*secs), &beat);
    }
    let published = leader.to_publish(at(case.now)).unwrap();
    let mut names: Vec<&str> = published.members.keys().map(InstanceName::as_str).collect();
    names.sort_unstable();
    assert_eq!(names, case.names);
    assert_eq!(published.version.epoch, Epoch(5));
}

#[test]
fn an_unchanged_cell_is_not_published_again() {
    let mut leader = leading(0, 5);
    let first = leader.to_publish(at(1)).unwrap();
    leader.adopt_summary(&first);
    assert_eq!(leader.to_publish(at(2)), None);
}

#[test]
fn a_summary_of_an_earlier_epoch_is_refused() {
    let mut members = members(1);
    assert!(members.adopt_summary(&summary(cell(0), 3, 1, &[0, 1])));
    assert!(!members.adopt_summary(&summary(cell(0), 2, 9, &[0, 1, 2, 3])));
    assert_eq!(members.summary(&cell(0)).unwrap().members.len(), 2);
}

#[test]
fn a_follower_is_told_only_what_changed() {
    let mut leader = leading(0, 5);
    let mut follower = members(1);
    exchange(&mut follower, &mut leader, at(1));
    leader.adopt_summary(&summary(cell(7), 1, 1, &[70, 71]));
    let whole = exchange(&mut follower, &mut leader, at(2));
    assert_eq!(whole.cells.len(), 1);
    assert!(whole.cells[0].whole, "a cell that is new comes whole");
    leader.adopt_summary(&summary(cell(7), 1, 2, &[70, 72]));
    let part = exchange(&mut follower, &mut leader, at(3));
    assert!(!part.cells[0].whole);
    assert_eq!(part.cells[0].changed, [member(72)]);
    assert_eq!(part.cells[0].removed, [member(71).name]);
    assert_eq!(follower.summary(&cell(7)), leader.summary(&cell(7)));
    let none = exchange(&mut follower, &mut leader, at(4));
    assert!(none.cells.is_empty() && none.objects.is_empty());
}

#[test]
fn whatever_order_changes_come_in_a_follower_ends_with_the_leaders_state() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut leader = leading(0, 5);
        let mut follower = members(1);
        let mut seq = IndexMap::new();
        for step in 0..40 {
            let number = rand::Rng::random_range(&mut rng, 10..14);
            let next = seq.entry(number).or_insert(0);
            *next += 1;
            let all: Vec<usize> = (0..8).filter(|_| rand::Rng::random(&mut rng)).collect();
            let changed = summary(cell(number), 1, *next, &all);
            leader.adopt_summary(&changed);
            if rand::Rng::random_ratio(&mut rng, 1, 4) {
                follower.adopt_summary(&changed);
            }
            if rand::Rng::random_ratio(&mut rng, 1, 3) {
                exchange(&mut follower, &mut leader, at(step));
            }
        }
        exchange(&mut follower, &mut leader, at(40));
        for number in seq.keys() {
            let (told, known) = (
                follower.summary(&cell(*number)).unwrap(),
                leader.summary(&cell(*number)).unwrap(),
            );
            assert_eq!(told.version, known.version, "seed {seed}");
            assert_eq!(told.members, known.members, "seed {seed}");
        }
    }
}

fn object(version: u64) -> Object {
    Object {
        key: ObjectKey::new("config/classes"),
        version: ObjectVersion(version),
        value: Vec::new(),
    }
}

/// What peers said to an instance that started in an outage, and what it then is.
struct Learning {
    /// For each peer that replied: whether it is in step, what it has, and what it has
    /// heard that anybody had.
    peers: &'static [(bool, u64, u64)],
    adopts: Option<u64>,
    readiness: Readiness,
}

#[rstest]
#[case::nobody_replied(Learning { peers: &[], adopts: None, readiness: Readiness::Learning })]
#[case::one_of_three(Learning {
    peers: &[(true, 7, 7)],
    adopts: Some(7),
    readiness: Readiness::Learning,
})]
#[case::three(Learning {
    peers: &[(true, 7, 7), (true, 7, 7), (true, 6, 6)],
    adopts: Some(7),
    readiness: Readiness::Ready,
})]
#[case::three_but_not_fetched(Learning {
    peers: &[(true, 7, 7), (true, 7, 7), (true, 6, 6)],
    adopts: None,
    readiness: Readiness::Learning,
})]
#[case::one_has_heard_of_a_newer_one(Learning {
    peers: &[(true, 7, 8), (true, 7, 7), (true, 6, 6)],
    adopts: Some(7),
    readiness: Readiness::Learning,
})]
#[case::two_are_out_of_step(Learning {
    peers: &[(true, 7, 7), (false, 7, 7), (false, 6, 6)],
    adopts: Some(7),
    readiness: Readiness::Learning,
})]
fn an_empty_instance_serves_nothing_older_than_was_said(#[case] case: Learning) {
    let mut new = Members::new(TIMING, member(9), Vec::new());
    new.adopt_summary(&summary(cell(0), 1, 1, &[0, 1, 2, 9]));
    for (number, (fresh, has, said)) in case.peers.iter().enumerate() {
        let reply = HeartbeatReply {
            from: member(number),
            leading: None,
            fresh: *fresh,
            said_config: ConfigVersion(*said),
            up_to: Position(1),
            more: false,
            objects: vec![(ObjectKey::new("config/classes"), ObjectVersion(*has))],
            cells: Vec::new(),
            met: Vec::new(),
            poison: Vec::new(),
        };
        new.on_reply(at(1), at(1), &reply);
    }
    if let Some(version) = case.adopts {
        new.adopt_object(&object(version), ConfigVersion(version));
    }
    new.learn();
    assert_eq!(new.readiness(at(1)), case.readiness);
}

#[test]
fn an_instance_that_reaches_nobody_says_that_it_is_stale() {
    let mut members = members(1);
    members.on_platform(at(0), Some("config/"));
    assert!(!members.learn());
    members.on_platform(at(0), Some("indexes/"));
    assert!(members.learn());
    assert_eq!(members.readiness(at(10)), Readiness::Ready);
    assert_eq!(members.readiness(at(11)), Readiness::Stale);
    let own = members.me().name.clone();
    let offered = members.candidates(at(11));
    assert!(offered.iter().all(|member| member.name != own));
    members.on_platform(at(12), None);
    assert_eq!(members.readiness(at(12)), Readiness::Ready);
}

/// What is counted at each second, whether somebody vouches for it, and what results.
struct Counted {
    counts: &'static [(u64, u32, bool)],
    shared_by: u32,
}

#[rstest]
#[case::a_new_instance_counts_at_once(Counted { counts: &[(0, 6, true), (1, 7, false)], shared_by: 7 })]
#[case::one_that_is_gone_counts_for_a_while(Counted {
    counts: &[(0, 6, true), (1, 5, true), (30, 5, true)],
    shared_by: 6,
})]
#[case::and_then_no_more(Counted {
    counts: &[(0, 6, true), (1, 5, true), (31, 5, true)],
    shared_by: 5,
})]
#[case::the_most_seen_meanwhile_counts(Counted {
    counts: &[(0, 6, true), (1, 3, true), (20, 5, true), (31, 4, true)],
    shared_by: 5,
})]
#[case::nothing_falls_while_nobody_vouches(Counted {
    counts: &[(0, 6, true), (1, 1, false), (3_600, 1, false)],
    shared_by: 6,
})]
#[case::the_hold_begins_when_somebody_vouches_again(Counted {
    counts: &[(0, 6, true), (1, 1, false), (3_600, 1, true), (3_601, 1, true)],
    shared_by: 6,
})]
fn shares_never_grow_on_an_uncertain_word(#[case] case: Counted) {
    let mut share = Share::new(Span::from_secs(30));
    let mut shared_by = 0;
    for (secs, known, vouched) in case.counts {
        shared_by = share.count(at(*secs), *known, *vouched);
    }
    assert_eq!(shared_by, case.shared_by);
}

/// The cells of a failure domain by their sizes, and which one a new instance joins.
struct Joining {
    sizes: &'static [(u32, usize)],
    joins: &'static [u32],
}

#[rstest]
#[case::the_first(Joining { sizes: &[], joins: &[0] })]
#[case::one_with_room(Joining { sizes: &[(0, CELL_INSTANCES), (1, 3)], joins: &[1] })]
#[case::any_with_room(Joining { sizes: &[(0, 1), (1, 2)], joins: &[0, 1] })]
#[case::all_full(Joining { sizes: &[(0, CELL_INSTANCES), (2, CELL_INSTANCES)], joins: &[1] })]
fn an_instance_joins_a_cell_with_room(#[case] case: Joining) {
    let mut first = 100;
    let mut summaries = Vec::new();
    for (number, size) in case.sizes {
        let numbers: Vec<usize> = (first..first + size).collect();
        first += size;
        summaries.push(summary(cell(*number), 1, 1, &numbers));
    }
    let summaries: Vec<&Summary> = summaries.iter().collect();
    let mut joined = Vec::new();
    for seed in 0..64 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let one = member(0);
        let cell = cells::choose(&one.failure_domain, &one.name, &summaries, &mut rng);
        if !joined.contains(&cell.number) {
            joined.push(cell.number);
        }
    }
    joined.sort_unstable();
    assert_eq!(joined, case.joins);
}

#[test]
fn every_cell_is_the_ward_of_one_other() {
    let mut cells = Vec::new();
    for domain in 0..8 {
        for number in 0..31 {
            let failure_domain = format!("fd-{domain}").parse().unwrap();
            cells.push(CellId {
                failure_domain,
                number,
            });
        }
    }
    let mut wards: Vec<CellId> = cells
        .iter()
        .map(|cell| cells::ward(cell, cells.iter()).unwrap())
        .collect();
    let same = wards.iter().zip(&cells);
    let same = same.filter(|(ward, of)| ward.failure_domain == of.failure_domain);
    assert!(same.count() < cells.len() / 4);
    wards.sort();
    cells.sort();
    assert_eq!(wards, cells);
    assert_eq!(cells::ward(&cells[0], cells[..1].iter()), None);
}
