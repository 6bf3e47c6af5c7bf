//! Tests of [`Links`] against a stand-in upstream that injects connection and leg faults.

#[path = "../../tests/standin/links.rs"]
mod standin;

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use rstest::rstest;

use self::standin::net::until;
use self::standin::upstream::{Behaviour, Mode, Upstream};
use super::Links;
use crate::process::Clock;
use crate::process::LegTransport;
use crate::request::{LegFailure, LegReply, LegRequest};
use crate::types::{ConnectionCount, LegId, QueryId, ShardId, SlotCount, SnapshotId, Span};
use crate::version::UpstreamSpec;

const MAX_CONNECTIONS: ConnectionCount = ConnectionCount(2);

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
        repeatable: true,
        extra: None,
        time_left,
        body: Arc::from(&b"{}"[..]),
    }
}

async fn call(links: &Links, upstream: &Upstream) -> Result<LegReply, LegFailure> {
    links
        .call(leg(upstream, Span::from_secs(5)), MAX_CONNECTIONS)
        .await
        .outcome
}

fn in_mode(mode: Mode) -> Behaviour {
    Behaviour {
        mode,
        ..Behaviour::default()
    }
}

struct Case {
    mode: Mode,
    expected: Result<(), LegFailure>,
    runs: usize,
}

#[rstest]
#[case::normal(Case { mode: Mode::Normal, expected: Ok(()), runs: 1 })]
#[case::shed(Case { mode: Mode::Shed, expected: Err(LegFailure::Shed), runs: 0 })]
#[case::draining(Case { mode: Mode::Draining, expected: Err(LegFailure::Draining), runs: 0 })]
#[case::refused_stream(Case { mode: Mode::RefuseStream, expected: Err(LegFailure::Shed), runs: 0 })]
#[case::truncated(Case { mode: Mode::Truncate, expected: Err(LegFailure::Mangled), runs: 1 })]
#[case::reset_reply(Case { mode: Mode::ResetReply, expected: Err(LegFailure::Failed), runs: 1 })]
#[case::crash(Case { mode: Mode::Crash, expected: Err(LegFailure::Lost), runs: 1 })]
#[case::snapshot_gone(Case {
    mode: Mode::SnapshotGone,
    expected: Err(LegFailure::SnapshotGone),
    runs: 0,
})]
#[async_std::test]
async fn each_leg_outcome_maps_to_its_failure(#[case] case: Case) {
    let upstream = Upstream::start(2, in_mode(case.mode)).await;
    let links = Links::new(Clock::new());
    let called = call(&links, &upstream).await;
    assert_eq!(called.map(drop), case.expected);
    assert_eq!(upstream.runs().len(), case.runs);
}

#[async_std::test]
async fn a_reply_keeps_the_ids_from_its_headers_even_of_another_leg() {
    let upstream = Upstream::start(2, in_mode(Mode::PreviousIds)).await;
    let links = Links::new(Clock::new());
    call(&links, &upstream).await.unwrap();
    let mut second = leg(&upstream, Span::from_secs(5));
    second.leg = LegId(4);
    let reply = links.call(second, MAX_CONNECTIONS).await.outcome.unwrap();
    assert_eq!(
        reply.leg,
        LegId(3),
        "the query discards the reply because of its ids"
    );
}

#[async_std::test]
async fn concurrent_legs_share_one_connection_attempt() {
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
    let call_future = Box::pin(call(&links, &upstream));
    let begun = Box::pin(until("the run", || async { upstream.runs().len() == 1 }));
    drop(futures::future::select(call_future, begun).await);
    until("the reset", || async { upstream.resets() == 1 }).await;
    upstream.update_behaviour(|behaviour| behaviour.service = Duration::ZERO);
    call(&links, &upstream).await.unwrap();
    assert_eq!(
        upstream.open() as u64,
        upstream.accepted(),
        "no connection was closed"
    );
}

#[async_std::test]
async fn a_call_that_times_out_does_not_cancel_the_connection_attempt_of_others() {
    let behaviour = Behaviour {
        connect: Duration::from_millis(50),
        ..Behaviour::default()
    };
    let upstream = Upstream::start(2, behaviour).await;
    let links = Links::new(Clock::new());
    let short_leg = leg(&upstream, Span::from_millis(5));
    let (short, other) = futures::join!(
        links.call(short_leg, MAX_CONNECTIONS),
        call(&links, &upstream)
    );
    assert_eq!(
        short.outcome,
        Err(LegFailure::Unreachable),
        "the leg was never sent"
    );
    other.unwrap();
    assert_eq!(upstream.accepted(), 1);
}

#[async_std::test]
async fn a_silent_connection_is_replaced_and_its_legs_fail_as_silent() {
    let upstream = Upstream::start(2, Behaviour::default()).await;
    let links = Links::new(Clock::new());
    call(&links, &upstream).await.unwrap();
    // The leg must not be answered before the connection is silent.
    upstream.update_behaviour(|behaviour| behaviour.service = Duration::from_secs(60));
    let (silent, ()) = futures::join!(call(&links, &upstream), async {
        until("the run", || async { upstream.runs().len() == 2 }).await;
        upstream.silence();
    });
    assert_eq!(silent, Err(LegFailure::Silent));
    upstream.update_behaviour(|behaviour| behaviour.service = Duration::ZERO);
    call(&links, &upstream).await.unwrap();
    assert!(upstream.accepted() >= 2);
}

#[async_std::test]
async fn a_long_leg_on_a_live_connection_is_not_reported_as_silent() {
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
async fn an_idle_connection_that_became_silent_is_not_used() {
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
async fn a_graceful_close_loses_no_leg_in_flight_or_sent_after_it() {
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
async fn connection_attempts_to_a_refusing_upstream_back_off() {
    let upstream = Upstream::start(2, Behaviour::default()).await;
    let holder = Links::new(Clock::new());
    call(&holder, &upstream).await.unwrap();
    upstream.update_behaviour(|behaviour| behaviour.connections = 1);
    let links = Links::new(Clock::new());
    for _ in 0..2_000 {
        let refused = call(&links, &upstream).await;
        assert_eq!(refused, Err(LegFailure::Unreachable));
    }
    // The backoff doubles from at least 5 ms on, so that 30 attempts take at least 10 s.
    assert!(upstream.refused() <= 30, "{}", upstream.refused());
}

#[async_std::test]
async fn an_upstream_is_used_again_after_its_connections_were_cut() {
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
