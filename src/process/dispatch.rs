//! One job: the tables are locked in order, the query decides, and what it wants is
//! carried out after the locks are given back.

use std::sync::Arc;

use futures::future::{AbortHandle, Abortable};

use super::Instance;
use super::tables::EntryState;
use crate::request::{Action, Context, Event, LegFailure, LegReply, LegRequest};
use crate::types::{LegId, QueryId};
use crate::version::Directory;

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
pub(crate) fn dispatch(instance: &Arc<Instance>, job: Job) {
    let (id, event) = match job {
        Job::Start(id) => (id, None),
        Job::Leg(id, leg, Ok(reply)) => (id, Some(Event::Reply(leg, reply))),
        Job::Leg(id, leg, Err(failure)) => (id, Some(Event::Failure(leg, failure))),
        Job::Wake(id) => (id, Some(Event::Wake)),
        Job::CallerGone(id) => (id, Some(Event::CallerGone)),
    };
    let Some(entry) = instance.tables.entry(id) else {
        return;
    };
    let directory = instance.tables.directory();
    let mut state = entry.state.lock();
    let actions = decide(instance, &directory, &mut state, event);
    let finished = state.query.is_finished();
    for action in actions {
        perform(instance, id, &mut state, action);
    }
    drop(state);
    if finished {
        instance.tables.remove(id);
    }
}

fn decide(
    instance: &Instance,
    directory: &Directory,
    state: &mut EntryState,
    event: Option<Event>,
) -> Vec<Action> {
    let mut budgets = instance.tables.budgets.lock();
    let mut suspects = instance.tables.suspects.lock();
    let mut limits = instance.tables.limits.lock();
    let mut upstreams = instance.tables.upstreams.lock();
    let mut rng = instance.tables.rng.lock();
    let mut cx = Context {
        now: instance.clock.now(),
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

fn perform(instance: &Arc<Instance>, id: QueryId, state: &mut EntryState, action: Action) {
    match action {
        Action::Send(leg) => {
            let (abort, registration) = AbortHandle::new_pair();
            state.legs.insert(leg.leg, abort);
            let sent = Abortable::new(run_leg(Arc::clone(instance), leg), registration);
            async_std::task::spawn(sent);
        }
        Action::Cancel(leg) => {
            if let Some(abort) = state.legs.swap_remove(&leg) {
                abort.abort();
            }
        }
        Action::WakeAt(at) => instance.timer.wake_at(at, id),
        Action::Finish(outcome) => {
            if state.reply.try_send(outcome).is_err() {
                instance.metrics.unheard_answers.add(1, &[]);
            }
        }
    }
}

async fn run_leg(instance: Arc<Instance>, leg: LegRequest) {
    let (query, id) = (leg.query, leg.leg);
    let upstream = Arc::clone(&leg.upstream);
    instance.metrics.leg_sent(&upstream.name);
    let most = instance.tables.limits.lock().connections(&leg.upstream);
    let result = instance.links.call(leg, most).await;
    if let Err(failure) = &result {
        instance.metrics.leg_failed(&upstream.name, *failure);
    }
    let sent = instance.jobs.send(Job::Leg(query, id, result)).await;
    if sent.is_err() {
        tracing::debug!(%query, "a leg ended after the workers did");
    }
}
