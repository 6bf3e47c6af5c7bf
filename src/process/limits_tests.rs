//! The share of slots and connections follows membership, and sheds cause a backoff.

use rstest::rstest;

use super::{LegEnd, Limits};
use crate::request::LegFailure;
use crate::types::{ConnectionCount, SlotCount, Span, Timestamp};
use crate::version::UpstreamSpec;

const ONE_WAY: Span = Span::from_millis(3);

pub(super) fn spec(slots: u32, connections: u32) -> UpstreamSpec {
    UpstreamSpec {
        name: "replica".parse().unwrap(),
        addr: "127.0.0.1:1".parse().unwrap(),
        failure_domain: "suva-a".parse().unwrap(),
        slots: SlotCount(slots),
        connections: ConnectionCount(connections),
        connect_cost: Span::from_millis(6),
        leaving: false,
    }
}

/// Returns how many legs can be sent at once.
fn room(limits: &Limits, spec: &UpstreamSpec) -> u32 {
    let now = Timestamp(0);
    let mut limits = limits.clone();
    let mut count = 0;
    while limits.room_at(now, spec) == now {
        limits.take(now, spec);
        count += 1;
    }
    count
}

struct Membership {
    slots: u32,
    live: &'static [u32],
    room: &'static [u32],
}

#[rstest]
#[case::two_slots(Membership { slots: 2, live: &[1, 2, 7], room: &[2, 1, 1] })]
#[case::four_slots(Membership { slots: 4, live: &[1, 2, 7, 2, 1], room: &[4, 2, 1, 2, 4] })]
#[case::none_alive_means_this_one(Membership { slots: 4, live: &[0], room: &[4] })]
fn the_share_follows_membership(#[case] case: Membership) {
    let spec = spec(case.slots, 25);
    let mut limits = Limits::default();
    limits.take(Timestamp(0), &spec);
    limits.release(Timestamp(0), &spec.name, Span::ZERO);
    for (live, expected) in case.live.iter().zip(case.room) {
        limits.set_live(Timestamp(0), *live);
        assert_eq!(room(&limits, &spec), *expected, "{live} live");
    }
}

#[test]
fn sheds_at_the_minimum_window_double_the_pause_up_to_a_limit() {
    let spec = spec(2, 25);
    let mut limits = Limits::default();
    limits.set_live(Timestamp(0), 7);
    let mut now = Timestamp(0);
    let mut pauses = Vec::new();
    for _ in 0..9 {
        limits.take(now, &spec);
        limits.observe(now, &spec.name, LegEnd::Failed(LegFailure::Shed), ONE_WAY);
        limits.release(now, &spec.name, ONE_WAY);
        let room = limits.room_at(now, &spec);
        pauses.push(room.since(now).as_millis());
        now = room;
    }
    assert_eq!(pauses, [2, 4, 8, 16, 32, 64, 100, 100, 100]);
}

struct Connections {
    accepted: u32,
    live: u32,
    /// The connections of each instance, in the first seconds and after that.
    each: [u32; 2],
}

/// All machines lose power and restart within a second. The upstreams still count the
/// connections from before the restart, which were never closed.
#[rstest]
#[case::guild_finder(Connections { accepted: 25, live: 7, each: [2, 2] })]
#[case::guild_desk(Connections { accepted: 100, live: 7, each: [7, 11] })]
#[case::ferreira_records(Connections { accepted: 40, live: 6, each: [3, 5] })]
#[case::ferreira_shards(Connections { accepted: 25, live: 6, each: [2, 3] })]
#[case::alone(Connections { accepted: 25, live: 1, each: [12, 12] })]
#[case::more_instances_than_connections(Connections { accepted: 25, live: 100, each: [1, 1] })]
fn connections_leave_room_for_replacements_and_restarts(#[case] case: Connections) {
    let mut limits = Limits::default();
    limits.set_live(Timestamp(0), case.live);
    let spec = spec(2, case.accepted);
    let at = |secs| Timestamp(0) + Span::from_secs(secs);
    let each = [1, 20].map(|secs| limits.connections(at(secs), &spec).0);
    assert_eq!(each, case.each);
    let [first, later] = each;
    let spares = case.live.div_ceil(4);
    if case.live < case.accepted {
        assert!((case.live + spares) * later <= case.accepted);
        assert!((case.live + spares) * first <= case.accepted);
    }
    // With a single connection, a leg that hangs would block all others.
    assert!(first <= 2 || 2 * case.live * first <= case.accepted);
}

#[test]
fn windows_of_unused_upstreams_are_dropped() {
    let mut limits = Limits::default();
    for hour in 0..10 {
        let now = Timestamp(0) + Span::from_secs(3_601 * hour);
        let spec = UpstreamSpec {
            name: format!("replica-{hour}").parse().unwrap(),
            ..spec(2, 25)
        };
        limits.take(now, &spec);
        limits.release(now, &spec.name, Span::ZERO);
        assert_eq!(limits.len(), 1);
    }
}
