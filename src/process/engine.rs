//! The engine that every front end shares: the tables, the workers that use them, and
//! the path of a query from its first job to its answer.

use std::fmt::Debug;
use std::future::Future;
use std::sync::Arc;

use async_std::channel::{self, Receiver, Sender};
use futures::future::{BoxFuture, Either, select};
use indexmap::IndexMap;
use rand::RngCore;

use super::dispatch::dispatch;
use super::tables::{EntryState, Tables};
use super::timer::Timer;
use super::{Clock, Job, LegResult, LogRate, Metrics, Rank, Ranked, pool};
use crate::error::{ErrorKind, Refusal};
use crate::request::{Answer, LegRequest, Query, time_needed};
use crate::types::{ConnectionCount, QueryId, Span};
use crate::version::{Class, UpstreamSpec};

const JOB_QUEUE_CAPACITY: usize = 65_536;

/// Sends legs to upstreams; an edge of the process.
pub(crate) trait LegTransport: Debug + Send + Sync {
    /// Sends a leg over one of at most `max_connections` connections to its upstream and
    /// waits for the reply. Dropping the future cancels the leg at the upstream.
    fn call(&self, leg: LegRequest, max_connections: ConnectionCount) -> BoxFuture<'_, LegResult>;

    /// Whether the upstream answers a request for this path under its own name. An upstream that
    /// started again has another name, unless the protocol has no names that tell.
    fn check_health<'a>(&'a self, upstream: &'a UpstreamSpec, path: &'a str)
    -> BoxFuture<'a, bool>;

    /// Whether cancelling a leg closes its connection. If so, a leg whose reply is no
    /// longer needed is better left to finish, unless its caller has disconnected.
    fn cancel_costs_connection(&self) -> bool;
}

/// Which threads run the jobs of queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Workers {
    /// This many threads, which take jobs from one queue.
    Pool(usize),
    /// The threads that run the connections' tasks. This saves two thread switches per
    /// leg, which are most of a leg's cost on a machine with one core.
    Connections,
}

#[derive(Debug)]
enum Jobs {
    Queue(Sender<Job>),
    Direct,
}

/// The shared tables and the workers that use them.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) clock: Clock,
    pub(crate) tables: Tables,
    pub(crate) timer: Arc<Timer>,
    pub(crate) metrics: Metrics,
    pub(crate) transport: Box<dyn LegTransport>,
    log: Ranked<LogRate>,
    jobs: Jobs,
}

type Outcome = Result<Answer, Refusal>;

impl Engine {
    /// Starts the workers and the timer.
    ///
    /// # Errors
    /// When a thread cannot be started or a metric cannot be registered.
    pub(crate) fn start(
        clock: Clock,
        transport: Box<dyn LegTransport>,
        workers: Workers,
    ) -> anyhow::Result<Arc<Self>> {
        let (jobs, queue) = match workers {
            Workers::Pool(_) => {
                let (tx, rx) = channel::bounded(JOB_QUEUE_CAPACITY);
                (Jobs::Queue(tx), Some(rx))
            }
            Workers::Connections => (Jobs::Direct, None),
        };
        let engine = Arc::new(Self {
            clock,
            tables: Tables::new(rand::rng().next_u64()),
            timer: Arc::new(Timer::new()),
            metrics: Metrics::new()?,
            transport,
            log: Ranked::new(Rank::Log, LogRate::default()),
            jobs,
        });
        if let (Workers::Pool(count), Some(queue)) = (workers, queue) {
            pool::spawn(&engine, &queue, count)?;
        }
        Timer::spawn(&engine)?;
        Ok(engine)
    }

    /// Queues or runs a job; returns false when the process is stopping.
    pub(crate) async fn submit(self: &Arc<Self>, job: Job) -> bool {
        match &self.jobs {
            Jobs::Queue(jobs) => jobs.send(job).await.is_ok(),
            Jobs::Direct => {
                dispatch(self, job);
                true
            }
        }
    }

    /// Like [`Engine::submit`], but blocks the calling thread.
    pub(super) fn submit_blocking(self: &Arc<Self>, job: Job) -> bool {
        match &self.jobs {
            Jobs::Queue(jobs) => jobs.send_blocking(job).is_ok(),
            Jobs::Direct => {
                dispatch(self, job);
                true
            }
        }
    }

    /// Answers all queries in flight with what is there, as at their deadlines.
    pub(crate) async fn end_queries(self: &Arc<Self>) {
        let ids: Vec<QueryId> = self.tables.queries.lock().keys().copied().collect();
        for id in ids {
            if !self.submit(Job::Expire(id)).await {
                return;
            }
        }
    }

    /// Returns how long a query of the class may take that is allowed to take `allowed`.
    pub(crate) fn time_needed(&self, class: &Class, allowed: Span) -> Span {
        let upstreams = self.tables.upstreams.lock();
        time_needed(class, upstreams.class(&class.name), allowed)
    }

    /// Whether a log line about a single request may be written now; if so, returns how
    /// many were suppressed since the last one.
    pub(crate) fn may_log(&self) -> Option<u64> {
        self.log.lock().take(self.clock.now())
    }

    /// A new id for a query.
    pub(crate) fn query_id() -> QueryId {
        let mut rng = rand::rng();
        QueryId(u128::from(rng.next_u64()) << 64 | u128::from(rng.next_u64()))
    }

    /// Runs a query to its end; `caller_gone` completes when the caller disconnects.
    ///
    /// # Errors
    /// The refusal that ended the query.
    pub(crate) async fn run(
        self: &Arc<Self>,
        query: Query,
        caller_gone: impl Future<Output = ()> + Unpin,
    ) -> Outcome {
        let id = query.id();
        let (reply, answer): (_, Receiver<Outcome>) = channel::bounded(1);
        self.tables.insert(
            id,
            EntryState {
                query,
                legs: IndexMap::new(),
                reply,
                caller_gone: false,
            },
        );
        if !self.submit(Job::Start(id)).await {
            return Err(stopping());
        }
        let answer = Box::pin(answer.recv());
        match select(answer, caller_gone).await {
            Either::Left((outcome, _)) => outcome.map_err(|_| stopping())?,
            Either::Right(((), _)) => {
                if !self.submit(Job::CallerGone(id)).await {
                    return Err(stopping());
                }
                Err(Refusal::new(ErrorKind::Internal, "the caller disconnected"))
            }
        }
    }
}

fn stopping() -> Refusal {
    Refusal::new(
        ErrorKind::Internal,
        "the instance stopped while the request was in flight",
    )
}
