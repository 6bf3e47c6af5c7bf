//! Tests of membership: heartbeats, summaries, readiness, and the choice of cells.

use std::net::SocketAddr;

use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use super::cells::{self, CellId, CellVersion, MAX_CELL_INSTANCES, Member, MemberState, Summary};
use super::instance_count::InstanceCount;
use super::members::{Members, Readiness, Role, Timing};
use super::peer_messages::HeartbeatReply;
use super::{Object, ObjectKey};
use crate::types::{
    CellSeq, ConfigVersion, Epoch, Incarnation, InstanceName, ObjectVersion, Position, Span,
    Timestamp,
};

const TIMING: Timing = Timing {
    heartbeat_interval: Span::from_secs(1),
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
        .record_write(at(0), Epoch(epoch), ObjectVersion(1), 0);
    members.begin_leading(at(0));
    members
}

/// Sends one heartbeat and applies its reply.
fn exchange(from: &mut Members, to: &mut Members, now: Timestamp) -> HeartbeatReply {
    let name = to.me().name.clone();
    let heartbeat = from.heartbeat(now, Some(&name));
    let reply = to.on_heartbeat(now, &heartbeat);
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
fn a_leader_whose_lease_expired_says_so_and_publishes_nothing() {
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
    assert_eq!(leader.summary_to_publish(at(9)), None);
}

/// The heartbeats that a leader received, as (second, instance), and the names that it
/// publishes at second `now`.
struct Published {
    heartbeats: &'static [(u64, usize)],
    now: u64,
    names: &'static [&'static str],
}

#[rstest]
#[case::a_new_leader_keeps_instances_without_a_heartbeat_yet(Published {
    heartbeats: &[],
    now: 5,
    names: &["i0", "i1", "i2"],
})]
#[case::a_new_leader_drops_instances_that_stay_silent(Published {
    heartbeats: &[(3, 1)],
    now: 6,
    names: &["i0", "i1"],
})]
#[case::an_instance_that_joined(Published {
    heartbeats: &[(4, 1), (4, 2), (4, 3)],
    now: 6,
    names: &["i0", "i1", "i2", "i3"],
})]
#[case::an_instance_that_became_silent(Published {
    heartbeats: &[(1, 1), (4, 2)],
    now: 7,
    names: &["i0", "i2"],
})]
fn a_leader_publishes_the_instances_that_send_heartbeats(#[case] case: Published) {
    let mut leader = leading(0, 5);
    for (secs, number) in case.heartbeats {
        let from = members(*number);
        let heartbeat = from.heartbeat(at(*secs), None);
        leader.on_heartbeat(at(*secs), &heartbeat);
    }
    let published = leader.summary_to_publish(at(case.now)).unwrap();
    let mut names: Vec<&str> = published.members.keys().map(InstanceName::as_str).collect();
    names.sort_unstable();
    assert_eq!(names, case.names);
    assert_eq!(published.version.epoch, Epoch(5));
}

#[test]
fn an_unchanged_cell_is_not_published_again() {
    let mut leader = leading(0, 5);
    let first = leader.summary_to_publish(at(1)).unwrap();
    leader.adopt_summary(&first);
    assert_eq!(leader.summary_to_publish(at(2)), None);
}

#[test]
fn a_summary_of_an_earlier_epoch_is_refused() {
    let mut members = members(1);
    assert!(members.adopt_summary(&summary(cell(0), 3, 1, &[0, 1])));
    assert!(!members.adopt_summary(&summary(cell(0), 2, 9, &[0, 1, 2, 3])));
    assert_eq!(members.summary(&cell(0)).unwrap().members.len(), 2);
}

#[test]
fn a_follower_receives_only_what_changed() {
    let mut leader = leading(0, 5);
    let mut follower = members(1);
    exchange(&mut follower, &mut leader, at(1));
    leader.adopt_summary(&summary(cell(7), 1, 1, &[70, 71]));
    let whole = exchange(&mut follower, &mut leader, at(2));
    assert_eq!(whole.cells.len(), 1);
    assert!(whole.cells[0].whole, "a new cell is sent whole");
    leader.adopt_summary(&summary(cell(7), 1, 2, &[70, 72]));
    let delta = exchange(&mut follower, &mut leader, at(3));
    assert!(!delta.cells[0].whole);
    assert_eq!(delta.cells[0].changed, [member(72)]);
    assert_eq!(delta.cells[0].removed, [member(71).name]);
    assert_eq!(follower.summary(&cell(7)), leader.summary(&cell(7)));
    let none = exchange(&mut follower, &mut leader, at(4));
    assert!(none.cells.is_empty() && none.objects.is_empty());
}

#[test]
fn a_follower_converges_to_the_leaders_state_in_any_order_of_changes() {
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
            let (received, expected) = (
                follower.summary(&cell(*number)).unwrap(),
                leader.summary(&cell(*number)).unwrap(),
            );
            assert_eq!(received.version, expected.version, "seed {seed}");
            assert_eq!(received.members, expected.members, "seed {seed}");
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

/// The replies to an instance that started during an outage of the platform, and its
/// readiness after them.
struct Learning {
    /// For each peer that replied: whether it is fresh, its configuration, and the latest
    /// configuration that it knows of at any instance.
    peers: &'static [(bool, u64, u64)],
    /// The configuration that the instance fetched.
    fetched: Option<u64>,
    readiness: Readiness,
}

#[rstest]
#[case::no_peer_replied(Learning { peers: &[], fetched: None, readiness: Readiness::Learning })]
#[case::one_of_three_peers_replied(Learning {
    peers: &[(true, 7, 7)],
    fetched: Some(7),
    readiness: Readiness::Learning,
})]
#[case::three_peers_replied(Learning {
    peers: &[(true, 7, 7), (true, 7, 7), (true, 6, 6)],
    fetched: Some(7),
    readiness: Readiness::Ready,
})]
#[case::three_peers_replied_but_nothing_was_fetched(Learning {
    peers: &[(true, 7, 7), (true, 7, 7), (true, 6, 6)],
    fetched: None,
    readiness: Readiness::Learning,
})]
#[case::a_peer_knows_of_a_newer_configuration(Learning {
    peers: &[(true, 7, 8), (true, 7, 7), (true, 6, 6)],
    fetched: Some(7),
    readiness: Readiness::Learning,
})]
#[case::two_peers_are_not_fresh(Learning {
    peers: &[(true, 7, 7), (false, 7, 7), (false, 6, 6)],
    fetched: Some(7),
    readiness: Readiness::Learning,
})]
fn a_new_instance_is_ready_only_with_the_latest_configuration_reported(#[case] case: Learning) {
    let mut new = Members::new(TIMING, member(9), Vec::new());
    new.adopt_summary(&summary(cell(0), 1, 1, &[0, 1, 2, 9]));
    for (number, (fresh, config, latest)) in case.peers.iter().enumerate() {
        let reply = HeartbeatReply {
            from: member(number),
            leading: None,
            fresh: *fresh,
            said_config: ConfigVersion(*latest),
            up_to: Position(1),
            more: false,
            objects: vec![(ObjectKey::new("config/classes"), ObjectVersion(*config))],
            cells: Vec::new(),
            met: Vec::new(),
            poison: Vec::new(),
        };
        new.on_reply(at(1), at(1), &reply);
    }
    if let Some(version) = case.fetched {
        new.adopt_object(&object(version), ConfigVersion(version));
    }
    new.learn();
    assert_eq!(new.readiness(at(1)), case.readiness);
}

#[test]
fn an_instance_without_contact_is_stale() {
    let mut members = members(1);
    members.on_platform_reply(at(0), Some("config/"));
    assert!(!members.learn());
    members.on_platform_reply(at(0), Some("indexes/"));
    assert!(members.learn());
    assert_eq!(members.readiness(at(10)), Readiness::Ready);
    assert_eq!(members.readiness(at(11)), Readiness::Stale);
    let own = members.me().name.clone();
    let offered = members.candidates(at(11));
    assert!(offered.iter().all(|member| member.name != own));
    members.on_platform_reply(at(12), None);
    assert_eq!(members.readiness(at(12)), Readiness::Ready);
}

/// The counts of instances, as (second, count, whether it is confirmed), and the number
/// that the limits are divided by after the last one.
struct Counted {
    counts: &'static [(u64, u32, bool)],
    shared_by: u32,
}

#[rstest]
#[case::a_new_instance_counts_at_once(Counted { counts: &[(0, 6, true), (1, 7, false)], shared_by: 7 })]
#[case::a_departed_instance_counts_during_the_hold(Counted {
    counts: &[(0, 6, true), (1, 5, true), (30, 5, true)],
    shared_by: 6,
})]
#[case::a_departed_instance_is_dropped_after_the_hold(Counted {
    counts: &[(0, 6, true), (1, 5, true), (31, 5, true)],
    shared_by: 5,
})]
#[case::the_highest_count_during_the_hold_applies(Counted {
    counts: &[(0, 6, true), (1, 3, true), (20, 5, true), (31, 4, true)],
    shared_by: 5,
})]
#[case::unconfirmed_counts_do_not_lower_the_number(Counted {
    counts: &[(0, 6, true), (1, 1, false), (3_600, 1, false)],
    shared_by: 6,
})]
#[case::the_hold_starts_at_the_first_confirmed_count(Counted {
    counts: &[(0, 6, true), (1, 1, false), (3_600, 1, true), (3_601, 1, true)],
    shared_by: 6,
})]
fn shares_grow_only_after_lower_counts_are_confirmed(#[case] case: Counted) {
    let mut instance_count = InstanceCount::new(Span::from_secs(30));
    let mut shared_by = 0;
    for (secs, known, confirmed) in case.counts {
        shared_by = instance_count.count(at(*secs), *known, *confirmed);
    }
    assert_eq!(shared_by, case.shared_by);
}

/// The sizes of the cells of a failure domain, as (cell, size), and the cells that a new
/// instance may join.
struct Joining {
    sizes: &'static [(u32, usize)],
    joins: &'static [u32],
}

#[rstest]
#[case::no_cell_yet(Joining { sizes: &[], joins: &[0] })]
#[case::one_with_room(Joining { sizes: &[(0, MAX_CELL_INSTANCES), (1, 3)], joins: &[1] })]
#[case::any_with_room(Joining { sizes: &[(0, 1), (1, 2)], joins: &[0, 1] })]
#[case::all_full(Joining { sizes: &[(0, MAX_CELL_INSTANCES), (2, MAX_CELL_INSTANCES)], joins: &[1] })]
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
        let cell = cells::choose_cell(&one.failure_domain, &one.name, &summaries, &mut rng);
        if !joined.contains(&cell.number) {
            joined.push(cell.number);
        }
    }
    joined.sort_unstable();
    assert_eq!(joined, case.joins);
}

#[test]
fn every_cell_is_monitored_by_one_other() {
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
    let mut monitored_cells: Vec<CellId> = cells
        .iter()
        .map(|cell| cells::monitored_cell(cell, cells.iter()).unwrap())
        .collect();
    let same = monitored_cells.iter().zip(&cells);
    let same = same.filter(|(monitored, of)| monitored.failure_domain == of.failure_domain);
    assert!(same.count() < cells.len() / 4);
    monitored_cells.sort();
    cells.sort();
    assert_eq!(monitored_cells, cells);
    assert_eq!(cells::monitored_cell(&cells[0], cells[..1].iter()), None);
}
