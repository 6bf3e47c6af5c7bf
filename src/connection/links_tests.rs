//! Links to a stand-in of an upstream, with the faults that links are made for.

#[path = "../../tests/standin/links.rs"]
mod standin;

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use rstest::rstest;

use self::standin::net::until;
use self::standin::upstream::{Behaviour, Mode, Upstream};
use super::Links;
use crate::process::Carrier;
use crate::process::Clock;
use crate::request::{LegFailure, LegReply, LegRequest};
use crate::types::{ConnectionCount, LegId, QueryId, ShardId, SlotCount, SnapshotId, Span};
use crate::version::UpstreamSpec;

const SHARE: ConnectionCount = ConnectionCount(2);

fn leg(upstream: &Upstream, time_left: Span) -> LegRequest {
    LegRequest {
        query: QueryId(7),
        leg: LegId(3),
        upstream: Arc::new(UpstreamSpec {
            name: "replica".parse().unwrap(),
            addr: upstream.addr,
            failure_domain: "suva-a".parse().unwrap(),
            slots: SlotCount(2),
            connections: ConnectionCount(25),
            connect_cost: Span::from_millis(6),
            leaving: false,
        }),
        snapshot: SnapshotId(1),
        shard: ShardId(0),
        range: "00000000-ffffffff".parse().unwrap(),
        extra: None,
        time_left,
        body: Arc::from(&b"{}"[..]),
    }
}

async fn call(links: &Links, upstream: &Upstream) -> Result<LegReply, LegFailure> {
    links.call(leg(upstream, Span::from_secs(5)), SHARE).await
}

fn in_mode(mode: Mode) -> Behaviour {
    Behaviour {
        mode,
        ..Behaviour::default()
    }
}

struct Case {
    mode: Mode,
    wanted: Result<(), LegFailure>,
    runs: usize,
}

#[rstest]
#[case::normal(Case { mode: Mode::Normal, wanted: Ok(()), runs: 1 })]
#[case::shed(Case { mode: Mode::Shed, wanted: Err(LegFailure::Shed), runs: 0 })]
#[case::draining(Case { mode: Mode::Draining, wanted: Err(LegFailure::Draining), runs: 0 })]
#[case::refused_stream(Case { mode: Mode::Refuse, wanted: Err(LegFailure::Shed), runs: 0 })]
#[case::truncated(Case { mode: Mode::Truncate, wanted: Err(LegFailure::Mangled), runs: 1 })]
#[case::broken_off(Case { mode: Mode::BreakOff, wanted: Err(LegFailure::Failed), runs: 1 })]
#[case::crash(Case { mode: Mode::Crash, wanted: Err(LegFailure::Lost), runs: 1 })]
#[case::no_snapshot(Case {
    mode: Mode::SnapshotGone,
    wanted: Err(LegFailure::SnapshotGone),
    runs: 0,
})]
#[async_std::test]
async fn every_end_of_a_leg_has_its_failure(#[case] case: Case) {
    let upstream = Upstream::start(2, in_mode(case.mode)).await;
    let links = Links::new(Clock::new());
    let called = call(&links, &upstream).await;
    assert_eq!(called.map(drop), case.wanted);
    assert_eq!(upstream.runs().len(), case.runs);
}

#[async_std::test]
async fn a_reply_of_another_leg_keeps_the_ids_it_states() {
    let upstream = Upstream::start(2, in_mode(Mode::Crossed)).await;
    let links = Links::new(Clock::new());
    call(&links, &upstream).await.unwrap();
    let mut second = leg(&upstream, Span::from_secs(5));
    second.leg = LegId(4);
    let reply = links.call(second, SHARE).await.unwrap();
    assert_eq!(reply.leg, LegId(3), "the query refuses it by its ids");
}

#[async_std::test]
async fn many_legs_at_once_share_one_connect() {
    let upstream = Upstream::start(64, Behaviour::default()).await;
    let links = Links::new(Clock::new());
    let calls = join_all((0..64).map(|_| call(&links, &upstream))).await;
    assert!(calls.iter().all(Result::is_ok), "{calls:?}");
    assert_eq!(upstream.accepted(), 1);
}

#[async_std::test]
async fn a_dropped_call_resets_its_stream_and_keeps_the_connection() {
    let service = Duration::from_secs(60);
    let behaviour = Behaviour {
        service,
        ..Behaviour::default()
    };
    let upstream = Upstream::start(2, behaviour).await;
    let links = Links::new(Clock::new());
    let running = Box::pin(call(&links, &upstream));
    let begun = Box::pin(until("the run", || async { upstream.runs().len() == 1 }));
    drop(futures::future::select(running, begun).await);
    until("the reset", || async { upstream.resets() == 1 }).await;
    upstream.behave(|behaviour| behaviour.service = Duration::ZERO);
    call(&links, &upstream).await.unwrap();
    assert_eq!(
        upstream.open() as u64,
        upstream.accepted(),
        "none was closed"
    );
}

#[async_std::test]
async fn a_call_that_is_dropped_while_connecting_leaves_the_connect_to_others() {
    let behaviour = Behaviour {
        connect: Duration::from_millis(50),
        ..Behaviour::default()
    };
    let upstream = Upstream::start(2, behaviour).await;
    let links = Links::new(Clock::new());
    let hasty = leg(&upstream, Span::from_millis(5));
    let (hasty, patient) = futures::join!(links.call(hasty, SHARE), call(&links, &upstream));
    assert_eq!(hasty, Err(LegFailure::Unreachable), "it was never sent");
    patient.unwrap();
    assert_eq!(upstream.accepted(), 1);
}

#[async_std::test]
async fn a_silent_connection_is_replaced_and_its_legs_fail_as_silent() {
    let behaviour = Behaviour {
        service: Duration::from_millis(300),
        ..Behaviour::default()
    };
    let upstream = Upstream::start(2, behaviour).await;
    let links = Links::new(Clock::new());
    call(&links, &upstream).await.unwrap();
    let (silent, ()) = futures::join!(call(&links, &upstream), async {
        until("the run", || async { upstream.runs().len() == 2 }).await;
        upstream.silence();
    });
    assert_eq!(silent, Err(LegFailure::Silent));
    call(&links, &upstream).await.unwrap();
    assert!(upstream.accepted() >= 2);
}

#[async_std::test]
async fn a_leg_that_runs_long_on_a_live_connection_is_not_silent() {
    let behaviour = Behaviour {
        service: Duration::from_millis(1_500),
        ..Behaviour::default()
    };
    let upstream = Upstream::start(2, behaviour).await;
    let links = Links::new(Clock::new());
    call(&links, &upstream).await.unwrap();
    assert_eq!(upstream.accepted(), 1);
}

#[async_std::test]
async fn an_idle_connection_that_went_silent_takes_no_leg() {
    let upstream = Upstream::start(2, Behaviour::default()).await;
    let links = Links::new(Clock::new());
    call(&links, &upstream).await.unwrap();
    upstream.silence();
    async_std::task::sleep(Duration::from_millis(2_100)).await;
    call(&links, &upstream).await.unwrap();
    assert_eq!(upstream.runs().len(), 2);
    assert!(upstream.accepted() >= 2);
}

#[async_std::test]
async fn a_graceful_close_loses_no_leg_under_way_and_none_after_it() {
    let behaviour = Behaviour {
        service: Duration::from_millis(50),
        ..Behaviour::default()
    };
    let upstream = Upstream::start(64, behaviour).await;
    let links = Links::new(Clock::new());
    let early = join_all((0..8).map(|_| call(&links, &upstream)));
    let late = async {
        until("the runs", || async { upstream.runs().len() >= 8 }).await;
        upstream.drain();
        join_all((0..8).map(|_| call(&links, &upstream))).await
    };
    let (early, late) = futures::join!(early, late);
    assert!(early.iter().chain(&late).all(Result::is_ok), "{late:?}");
    assert_eq!(upstream.runs().len(), 16);
}

#[async_std::test]
async fn a_refused_connection_proves_that_the_leg_did_not_run() {
    let behaviour = Behaviour {
        connections: 1,
        ..Behaviour::default()
    };
    let upstream = Upstream::start(2, behaviour).await;
    let holder = Links::new(Clock::new());
    call(&holder, &upstream).await.unwrap();
    let links = Links::new(Clock::new());
    let refused = call(&links, &upstream).await;
    assert_eq!(refused, Err(LegFailure::Unreachable));
    assert_eq!(upstream.runs().len(), 1);
}

#[async_std::test]
async fn an_upstream_that_refuses_connections_is_not_stormed() {
    let upstream = Upstream::start(2, Behaviour::default()).await;
    let holder = Links::new(Clock::new());
    call(&holder, &upstream).await.unwrap();
    upstream.behave(|behaviour| behaviour.connections = 1);
    let links = Links::new(Clock::new());
    for _ in 0..2_000 {
        let refused = call(&links, &upstream).await;
        assert_eq!(refused, Err(LegFailure::Unreachable));
    }
    // Pauses double from 5 ms on, so that 30 tries take at least 10 s.
    assert!(upstream.refused() <= 30, "{}", upstream.refused());
}

#[async_std::test]
async fn an_upstream_that_comes_back_is_used_again() {
    let upstream = Upstream::start(2, Behaviour::default()).await;
    let links = Links::new(Clock::new());
    call(&links, &upstream).await.unwrap();
    upstream.cut();
    until("a reply", || async {
        call(&links, &upstream).await.is_ok()
    })
    .await;
    assert!(upstream.accepted() >= 2);
}
