//! The answering of requests by routes.

use std::future::Future;
use std::sync::Arc;

use rand::Rng;

use super::Node;
use crate::connection::Host;
use crate::error::{ErrorKind, Refusal};
use crate::process::{Ask, Plan, Told};
use crate::request::{Answer, Part, Query, Terms, greatest};
use crate::types::{Fingerprint, PeerKey, QueryId, Span, Timestamp};
use crate::version::Snapshot;
use futures::future::BoxFuture;
use http::StatusCode;

/// What lies between a caller's first byte sent and this instance, and back again: two
/// ways for a connection and two for the request, at the callers' usual distance.
const TO_CALLER_AND_BACK: Span = Span::from_millis(16);
/// An answer takes so long to reach a caller who stops waiting at its timeout.
const TO_CALLER: Span = Span::from_millis(12);
/// A shard may be sent so many legs that did not run, beyond those that may have run.
const MOST_NOT_RUN: u32 = 3;

/// A request for a route.
#[derive(Clone, Debug)]
pub(crate) struct RouteRequest {
    /// What its legs are known by in the log.
    pub(crate) query: QueryId,
    pub(crate) host: String,
    pub(crate) path: String,
    /// What the request is, whoever sends it again.
    pub(crate) fingerprint: Fingerprint,
    /// The request as the carrier is to send it.
    pub(crate) body: Arc<[u8]>,
    /// How long its caller waits.
    pub(crate) time_left: Option<Span>,
}

/// The answer to a request for a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Answered {
    /// The joined records of many shards.
    Gathered {
        records: Vec<u8>,
        /// The proofs of the upstreams whose records are in.
        proofs: Vec<String>,
        /// How many shards are not in.
        missing: usize,
    },
    /// One upstream's own answer.
    Passed(Box<Part>),
}

impl Node {
    /// Answers one request; `gone` completes when the caller has hung up.
    ///
    /// # Errors
    /// A [`Refusal`] whose kind says whether the request may have run.
    pub(crate) async fn answer(
        &self,
        req: RouteRequest,
        gone: impl Future<Output = ()> + Unpin,
    ) -> Result<Answered, Refusal> {
        let catalog = self.catalog();
        if !catalog.is_known() {
            return Err(Refusal::new(
                ErrorKind::NoSnapshot,
                "no configuration is known yet",
            ));
        }
        let plan = catalog.plan(&req.host, &req.path).ok_or_else(|| {
            Refusal::new(ErrorKind::NotFound, "no route is for this host and path")
        })?;
        let now = self.clock.now();
        if self
            .engine
            .tables
            .suspects
            .lock()
            .is_poison(now, req.fingerprint)
        {
            return Err(Refusal::new(
                ErrorKind::Poison,
                "the same request crashed upstreams and never had a reply",
            ));
        }
        let draw = rand::rng().random();
        let snapshot = plan
            .way(draw)
            .ok_or_else(|| Refusal::new(ErrorKind::NoUpstream, "the route goes nowhere"))?;
        let query = self.query(&plan, snapshot, req, now)?;
        let answered = match self.engine.run(query, gone).await {
            Ok(answer) => finish(&plan, snapshot, answer),
            Err(refusal) => Err(refusal),
        };
        self.count(&plan, now, &answered);
        answered
    }

    fn count(&self, plan: &Plan, began: Timestamp, answered: &Result<Answered, Refusal>) {
        let took = self.clock.now().since(began);
        let metrics = &self.engine.metrics;
        match answered {
            Ok(Answered::Gathered { missing, .. }) => {
                metrics.answered(&plan.class.name, *missing == 0, took);
            }
            Ok(Answered::Passed(_)) => metrics.answered(&plan.class.name, true, took),
            Err(refusal) => metrics.refused(refusal.kind),
        }
    }

    fn query(
        &self,
        plan: &Plan,
        snapshot: &Arc<Snapshot>,
        req: RouteRequest,
        now: Timestamp,
    ) -> Result<Query, Refusal> {
        let time_left = req.time_left.unwrap_or(plan.route.timeout);
        let spent = self.spent_before(plan, time_left);
        let waits = time_left.min(plan.route.timeout);
        let deadline = now + waits - TO_CALLER;
        if deadline <= now {
            return Err(Refusal::new(
                ErrorKind::CannotFinish,
                "the caller's time is over",
            ));
        }
        let aim = now + plan.route.latency - spent - TO_CALLER_AND_BACK;
        let terms = Terms {
            fingerprint: Some(req.fingerprint),
            most_runs: plan.route.attempts,
            most_legs: plan.route.attempts + MOST_NOT_RUN,
            aim: plan.gather().map(|_| aim),
            passes_failures: plan.gather().is_none(),
        };
        let query = Query::new(
            req.query,
            Arc::clone(&plan.class),
            Arc::clone(snapshot),
            req.body,
            now,
            deadline,
        );
        Ok(query.with_terms(terms))
    }

    /// How much of its caller's time went into earlier attempts: callers of a route give
    /// it the same time, and say what is left of it.
    fn spent_before(&self, plan: &Plan, time_left: Span) -> Span {
        let mut longest = self.longest.lock();
        let known = longest.entry(plan.route.name.clone()).or_default();
        *known = time_left.max(*known);
        Span(known.0 - time_left.0)
    }
}

fn finish(plan: &Plan, snapshot: &Snapshot, answer: Answer) -> Result<Answered, Refusal> {
    let Some(gather) = plan.gather() else {
        let part = answer.parts.into_iter().next();
        return part
            .map(|part| Answered::Passed(Box::new(part)))
            .ok_or_else(|| Refusal::new(ErrorKind::UpstreamFailed, "no upstream replied"));
    };
    if !answer.meets_target {
        let detail = format!(
            "{} of {} shards replied in {}",
            answer.parts.len(),
            snapshot.shards.len(),
            answer.took
        );
        return Err(Refusal::new(ErrorKind::OutOfTime, detail));
    }
    let bodies = answer.parts.iter().map(|part| part.body.as_slice());
    let proof = |part: &Part| part.head.as_ref().and_then(|head| head.proof.clone());
    Ok(Answered::Gathered {
        records: greatest(bodies, gather.records),
        proofs: answer.parts.iter().filter_map(proof).collect(),
        missing: snapshot.shards.len() - answer.parts.len(),
    })
}

impl Host for Node {
    fn peer_keys(&self) -> &[PeerKey] {
        std::slice::from_ref(&self.settings.peer_key)
    }

    fn refused(&self, status: StatusCode) {
        self.engine.metrics.members.refused_peer(status);
    }

    fn answer(&self, ask: Ask) -> BoxFuture<'_, Told> {
        Box::pin(async move {
            match ask {
                Ask::Follow(follow) => Told::News(Box::new(self.tell(*follow).await)),
                // Instances on this platform have no cells.
                Ask::Heartbeat(_) | Ask::Fetch(_) => Told::Objects(Vec::new()),
            }
        })
    }
}
