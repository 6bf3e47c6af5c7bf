//! Runs one job: locks the tables in order, lets the query decide, and carries out the
//! resulting actions after the locks are released.

use std::sync::Arc;

use futures::future::{AbortHandle, Abortable};

use super::tables::{EntryState, LegTask};
use super::{Engine, LegResult, UpstreamSignals};
use crate::request::{Action, Context, Event, LegFailure, LegReply, LegRequest};
use crate::types::{LegId, QueryId, Span, Timestamp, UpstreamName};
use crate::version::{Directory, UpstreamSpec};

/// How long a leg that is no longer needed may continue, so that its connection can be
/// kept. Replicas pause for up to 300 ms.
const UNNEEDED_LEG_GRACE: Span = Span::from_millis(400);

/// A unit of work for a worker.
#[derive(Debug)]
pub(crate) enum Job {
    /// Starts an admitted query, which sends its first legs.
    Start(QueryId),
    /// A leg ended.
    Leg(QueryId, LegId, Result<LegReply, LegFailure>),
    /// A timer of a query has expired.
    Wake(QueryId),
    /// The caller of a query disconnected.
    CallerGone(QueryId),
    /// A query has to end now, because the process exits.
    Expire(QueryId),
}

/// Runs one job.
pub(crate) fn dispatch(engine: &Arc<Engine>, job: Job) {
    let (id, event) = match job {
        Job::Start(id) => (id, None),
        Job::Leg(id, leg, Ok(reply)) => (id, Some(Event::Reply(leg, reply))),
        Job::Leg(id, leg, Err(failure)) => (id, Some(Event::Failure(leg, failure))),
        Job::Wake(id) => (id, Some(Event::Wake)),
        Job::CallerGone(id) => (id, Some(Event::CallerGone)),
        Job::Expire(id) => (id, Some(Event::Expire)),
    };
    let Some(entry) = engine.tables.entry(id) else {
        return;
    };
    let directory = engine.tables.directory();
    let mut state = entry.state.lock();
    state.caller_gone |= matches!(event, Some(Event::CallerGone));
    let actions = decide(engine, &directory, &mut state, event);
    let finished = state.query.is_finished();
    for action in actions {
        perform(engine, id, &mut state, action);
    }
    drop(state);
    if finished {
        engine.tables.remove(id);
    }
}

fn decide(
    engine: &Engine,
    directory: &Directory,
    state: &mut EntryState,
    event: Option<Event>,
) -> Vec<Action> {
    let mut budgets = engine.tables.budgets.lock();
    let mut suspects = engine.tables.suspects.lock();
    let mut limits = engine.tables.limits.lock();
    let mut upstreams = engine.tables.upstreams.lock();
    let mut rng = engine.tables.rng.lock();
    let mut cx = Context {
        now: engine.clock.now(),
        snapshots: directory.snapshots(state.query.index()),
        suspects: &mut suspects,
        limits: &mut limits,
        upstreams: &mut upstreams,
        budgets: &mut budgets,
        rng: &mut rng,
    };
    match event {
        Some(event) => state.query.on_event(&mut cx, event),
        None => state.query.start(&mut cx),
    }
}

fn perform(engine: &Arc<Engine>, id: QueryId, state: &mut EntryState, action: Action) {
    match action {
        Action::Send(leg) => {
            log_extra(engine, &leg);
            let (abort, registration) = AbortHandle::new_pair();
            let upstream = leg.upstream.name.clone();
            state.legs.insert(leg.leg, LegTask { upstream, abort });
            let task = Abortable::new(run_leg(Arc::clone(engine), leg), registration);
            async_std::task::spawn(task);
        }
        Action::Cancel(leg) => {
            let task = state.legs.swap_remove(&leg);
            let may_finish = engine.transport.cancel_costs_connection() && !state.caller_gone;
            match task {
                Some(task) if may_finish => abort_after_grace(engine, task),
                Some(task) => task.abort.abort(),
                None => {}
            }
        }
        Action::WakeAt(at) => engine.timer.wake_at(at, id),
        Action::Finish(outcome) => {
            if state.reply.try_send(outcome).is_err() {
                engine.metrics.undelivered_answers.add(1, &[]);
            }
        }
    }
}

fn log_extra(engine: &Engine, leg: &LegRequest) {
    if let Some(extra) = leg.extra
        && let Some(suppressed) = engine.may_log()
    {
        let (query, shard, upstream) = (leg.query, leg.shard, &leg.upstream.name);
        let time_left = leg.time_left;
        tracing::info!(%query, %shard, %upstream, ?extra, %time_left, left_out = suppressed, "sends another leg");
    }
}

fn log_failure(
    engine: &Engine,
    query: QueryId,
    upstream: &UpstreamName,
    failure: LegFailure,
    took: Span,
) {
    // Waiting for a connection is not a failure and shows in the query's latency.
    if failure != LegFailure::NoShare
        && let Some(suppressed) = engine.may_log()
    {
        tracing::info!(%query, %upstream, %failure, %took, left_out = suppressed, "a leg failed");
    }
}

/// Aborts a leg that is no longer needed unless it ends within the grace period.
fn abort_after_grace(engine: &Arc<Engine>, task: LegTask) {
    let engine = Arc::clone(engine);
    async_std::task::spawn(async move {
        let cancelled_at = engine.clock.now();
        async_std::task::sleep(UNNEEDED_LEG_GRACE.as_duration()).await;
        task.abort.abort();
        let mut upstreams = engine.tables.upstreams.lock();
        upstreams.note_no_reply(cancelled_at, &task.upstream);
    });
}

async fn run_leg(engine: Arc<Engine>, leg: LegRequest) {
    let (query, id) = (leg.query, leg.leg);
    let upstream = Arc::clone(&leg.upstream);
    engine.metrics.leg_sent(&upstream.name);
    let sent_at = engine.clock.now();
    let max_connections = engine
        .tables
        .limits
        .lock()
        .connections(sent_at, &leg.upstream);
    let LegResult {
        signals,
        outcome: result,
    } = engine.transport.call(leg, max_connections).await;
    if let Some(signals) = signals {
        let mut suspects = engine.tables.suspects.lock();
        suspects.survived(sent_at, &upstream.name);
        drop(suspects);
        note_signals(&engine, &upstream, sent_at, signals);
    }
    if result.is_ok() {
        let now = engine.clock.now();
        engine
            .tables
            .upstreams
            .lock()
            .note_reply(now, &upstream.name);
    }
    if let Err(failure) = &result {
        engine.metrics.leg_failed(&upstream.name, *failure);
        let took = engine.clock.now().since(sent_at);
        if *failure == LegFailure::Unreachable {
            let mut upstreams = engine.tables.upstreams.lock();
            upstreams.note_no_reply(sent_at, &upstream.name);
        }
        log_failure(&engine, query, &upstream.name, *failure, took);
    }
    let submitted = engine.submit(Job::Leg(query, id, result)).await;
    if !submitted {
        tracing::debug!(%query, "a leg ended after the workers stopped");
    }
}

/// Records what an upstream said of itself in its reply to a leg.
fn note_signals(
    engine: &Engine,
    upstream: &UpstreamSpec,
    sent_at: Timestamp,
    signals: UpstreamSignals,
) {
    engine.metrics.signalled(signals);
    let now = engine.clock.now();
    let mut limits = engine.tables.limits.lock();
    let rate_changed = limits.note_rate(now, &upstream.name, sent_at, signals.rate_limit);
    drop(limits);
    let mut upstreams = engine.tables.upstreams.lock();
    let new = upstreams.note_signals(now, upstream, signals);
    drop(upstreams);
    let upstream = &upstream.name;
    if rate_changed && let Some(suppressed) = engine.may_log() {
        match signals.rate_limit {
            Some(rate_limit) => {
                tracing::info!(%upstream, %rate_limit, left_out = suppressed, "an upstream states a rate limit");
            }
            None => {
                tracing::info!(%upstream, left_out = suppressed, "an upstream no longer states a rate limit");
            }
        }
    }
    if new.leaves
        && let Some(suppressed) = engine.may_log()
    {
        tracing::info!(%upstream, left_out = suppressed, "an upstream says that it leaves");
    }
    if new.pauses
        && let Some(suppressed) = engine.may_log()
    {
        let pause = signals.pause.unwrap_or_default();
        tracing::info!(%upstream, %pause, left_out = suppressed, "an upstream asks for a pause");
    }
}
