//! One job: the tables are locked in order, the query decides, and what it wants is
//! carried out after the locks are given back.

use std::sync::Arc;

use futures::future::{AbortHandle, Abortable};

use super::Engine;
use super::tables::{EntryState, LegTask};
use crate::request::{Action, Context, Event, LegFailure, LegReply, LegRequest};
use crate::types::{LegId, QueryId, Span, UpstreamName};
use crate::version::Directory;

/// A leg that is not needed any more keeps its connection if it ends within this time;
/// replicas pause for up to 300 ms.
const FINISHES_WITHIN: Span = Span::from_millis(400);

/// Something for a worker to do.
#[derive(Debug)]
pub(crate) enum Job {
    /// A query was admitted and sends its first legs.
    Start(QueryId),
    /// A leg ended.
    Leg(QueryId, LegId, Result<LegReply, LegFailure>),
    /// A time that a query asked for has come.
    Wake(QueryId),
    /// The caller of a query hung up.
    CallerGone(QueryId),
}

/// Does one job.
pub(crate) fn dispatch(engine: &Arc<Engine>, job: Job) {
    let (id, event) = match job {
        Job::Start(id) => (id, None),
        Job::Leg(id, leg, Ok(reply)) => (id, Some(Event::Reply(leg, reply))),
        Job::Leg(id, leg, Err(failure)) => (id, Some(Event::Failure(leg, failure))),
        Job::Wake(id) => (id, Some(Event::Wake)),
        Job::CallerGone(id) => (id, Some(Event::CallerGone)),
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
            let sent = Abortable::new(run_leg(Arc::clone(engine), leg), registration);
            async_std::task::spawn(sent);
        }
        Action::Cancel(leg) => {
            let task = state.legs.swap_remove(&leg);
            let finishes = engine.carrier.cancel_costs_connection() && !state.caller_gone;
            match task {
                Some(task) if finishes => give_up_later(engine, task),
                Some(task) => task.abort.abort(),
                None => {}
            }
        }
        Action::WakeAt(at) => engine.timer.wake_at(at, id),
        Action::Finish(outcome) => {
            if state.reply.try_send(outcome).is_err() {
                engine.metrics.unheard_answers.add(1, &[]);
            }
        }
    }
}

fn log_extra(engine: &Engine, leg: &LegRequest) {
    if let Some(extra) = leg.extra
        && let Some(left_out) = engine.may_log()
    {
        let (query, shard, upstream) = (leg.query, leg.shard, &leg.upstream.name);
        let time_left = leg.time_left;
        tracing::info!(%query, %shard, %upstream, ?extra, %time_left, left_out, "sends another leg");
    }
}

fn log_failure(
    engine: &Engine,
    query: QueryId,
    upstream: &UpstreamName,
    failure: LegFailure,
    took: Span,
) {
    // A wait for a connection is no failure, and is seen in what the query takes.
    if failure != LegFailure::NoShare
        && let Some(left_out) = engine.may_log()
    {
        tracing::info!(%query, %upstream, %failure, %took, left_out, "a leg failed");
    }
}

/// Lets a leg that nobody waits for finish, but not for as long as it may take.
fn give_up_later(engine: &Arc<Engine>, task: LegTask) {
    let engine = Arc::clone(engine);
    async_std::task::spawn(async move {
        let since = engine.clock.now();
        async_std::task::sleep(FINISHES_WITHIN.as_duration()).await;
        task.abort.abort();
        let mut upstreams = engine.tables.upstreams.lock();
        upstreams.unanswered(since, &task.upstream);
    });
}

async fn run_leg(engine: Arc<Engine>, leg: LegRequest) {
    let (query, id) = (leg.query, leg.leg);
    let upstream = Arc::clone(&leg.upstream);
    engine.metrics.leg_sent(&upstream.name);
    let began = engine.clock.now();
    let most = engine
        .tables
        .limits
        .lock()
        .connections(began, &leg.upstream);
    let result = engine.carrier.call(leg, most).await;
    if result.is_ok() {
        let now = engine.clock.now();
        engine.tables.upstreams.lock().heard(now, &upstream.name);
    }
    if let Err(failure) = &result {
        engine.metrics.leg_failed(&upstream.name, *failure);
        let took = engine.clock.now().since(began);
        if *failure == LegFailure::Unreachable {
            let mut upstreams = engine.tables.upstreams.lock();
            upstreams.unanswered(began, &upstream.name);
        }
        log_failure(&engine, query, &upstream.name, *failure, took);
    }
    let sent = engine.submit(Job::Leg(query, id, result)).await;
    if !sent {
        tracing::debug!(%query, "a leg ended after the workers did");
    }
}
