//! Answers requests by routes.

use std::future::Future;
use std::sync::Arc;

use rand::Rng;

use super::Node;
use crate::connection::PeerRequestHandler;
use crate::error::{ErrorKind, Refusal};
use crate::process::{MemoryBudget, PeerRequest, PeerResponse, RoutePlan};
use crate::request::{Answer, Part, Query, QueryOptions, merge_top_records};
use crate::types::{Fingerprint, PeerKey, QueryId, Span, Timestamp};
use crate::version::Snapshot;
use futures::future::BoxFuture;
use http::StatusCode;

/// The network time between a caller's first byte and the end of its answer: two one-way
/// trips for the connection and two for the request, at the callers' usual distance.
const CALLER_NETWORK_TIME: Span = Span::from_millis(16);
/// The time that an answer takes to reach a caller, which stops waiting at its timeout.
const ANSWER_TRAVEL_TIME: Span = Span::from_millis(12);
/// How many legs that did not run a shard may be sent, in addition to those that may have
/// run.
const MAX_NOT_RUN_LEGS: u32 = 3;

/// A request for a route.
#[derive(Clone, Debug)]
pub(crate) struct RouteRequest {
    /// The id of its legs in the log.
    pub(crate) query: QueryId,
    pub(crate) host: String,
    pub(crate) path: String,
    /// Identifies the request across attempts and callers.
    pub(crate) fingerprint: Fingerprint,
    /// The request in the form in which its legs carry it.
    pub(crate) body: Arc<[u8]>,
    /// How long the caller still waits.
    pub(crate) time_left: Option<Span>,
}

/// The answer to a request for a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RouteResponse {
    /// The merged records of many shards.
    Gathered {
        records: Vec<u8>,
        /// The proofs of the upstreams whose records are included.
        proofs: Vec<String>,
        /// How many shards are missing.
        missing: usize,
    },
    /// The answer of a single upstream, unchanged.
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
    ) -> Result<RouteResponse, Refusal> {
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
        let owns_turn = |turn| self.owns_trial(req.fingerprint, turn);
        let is_trial = self
            .engine
            .check_quarantine(now, req.fingerprint, owns_turn)?;
        let draw = rand::rng().random();
        let snapshot = plan
            .destination(draw)
            .ok_or_else(|| Refusal::new(ErrorKind::NoUpstream, "the route has no destination"))?;
        let query = self.query(&plan, snapshot, req, now, is_trial)?;
        let outcome = match self.engine.run(query, gone).await {
            Ok(answer) => build_response(&plan, snapshot, answer),
            Err(refusal) => Err(refusal),
        };
        self.record_outcome(&plan, now, &outcome);
        outcome
    }

    fn record_outcome(
        &self,
        plan: &RoutePlan,
        began: Timestamp,
        outcome: &Result<RouteResponse, Refusal>,
    ) {
        let took = self.clock.now().since(began);
        let metrics = &self.engine.metrics;
        match outcome {
            Ok(RouteResponse::Gathered { missing, .. }) => {
                metrics.answered(&plan.class.name, *missing == 0, took);
            }
            Ok(RouteResponse::Passed(_)) => metrics.answered(&plan.class.name, true, took),
            Err(refusal) => metrics.refused(refusal.kind),
        }
    }

    fn query(
        &self,
        plan: &RoutePlan,
        snapshot: &Arc<Snapshot>,
        req: RouteRequest,
        now: Timestamp,
        is_trial: bool,
    ) -> Result<Query, Refusal> {
        let time_left = req.time_left.unwrap_or(plan.route.timeout);
        let consumed = self.time_consumed(plan, time_left);
        let allowed = time_left.min(plan.route.timeout);
        let needed = self.engine.time_needed(&plan.class, allowed);
        let stops_at = self.shutdown.lock().admit(now, needed)?;
        let deadline = now + allowed - ANSWER_TRAVEL_TIME;
        let deadline = stops_at.map_or(deadline, |stops_at| deadline.min(stops_at));
        if deadline <= now {
            return Err(Refusal::new(
                ErrorKind::CannotFinish,
                "the caller's timeout is too short to answer in time",
            ));
        }
        let soft_deadline = now + plan.route.target_latency - consumed - CALLER_NETWORK_TIME;
        let options = QueryOptions {
            fingerprint: Some(req.fingerprint),
            max_runs: plan.route.max_attempts,
            max_legs: plan.route.max_attempts + MAX_NOT_RUN_LEGS,
            soft_deadline: plan.gather().map(|_| soft_deadline),
            returns_upstream_errors: plan.gather().is_none(),
            is_trial,
        };
        let query = Query::new(
            req.query,
            Arc::clone(&plan.class),
            Arc::clone(snapshot),
            req.body,
            now,
            deadline,
        );
        Ok(query.with_options(options))
    }

    /// Returns how much of the caller's time earlier attempts consumed: all callers of a
    /// route begin with the same timeout, and a request carries what is left of it.
    fn time_consumed(&self, plan: &RoutePlan, time_left: Span) -> Span {
        let mut longest_time_left = self.longest_time_left.lock();
        let known = longest_time_left
            .entry(plan.route.name.clone())
            .or_default();
        *known = time_left.max(*known);
        Span(known.0 - time_left.0)
    }
}

fn build_response(
    plan: &RoutePlan,
    snapshot: &Snapshot,
    answer: Answer,
) -> Result<RouteResponse, Refusal> {
    let Some(gather) = plan.gather() else {
        let part = answer.parts.into_iter().next();
        return part
            .map(|part| RouteResponse::Passed(Box::new(part)))
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
    let bodies = answer.parts.iter().map(|part| &*part.body);
    let proof = |part: &Part| part.head.as_ref().and_then(|head| head.proof.clone());
    Ok(RouteResponse::Gathered {
        records: merge_top_records(bodies, gather.max_records),
        proofs: answer.parts.iter().filter_map(proof).collect(),
        missing: snapshot.shards.len() - answer.parts.len(),
    })
}

impl PeerRequestHandler for Node {
    fn peer_keys(&self) -> &[PeerKey] {
        std::slice::from_ref(&self.settings.peer_key)
    }

    fn memory(&self) -> &Arc<MemoryBudget> {
        self.peers.memory()
    }

    fn refused(&self, status: StatusCode) {
        self.engine.metrics.members.refused_peer(status);
    }

    fn answer(&self, request: PeerRequest) -> BoxFuture<'_, PeerResponse> {
        Box::pin(async move {
            match request {
                PeerRequest::Follow(follow) => {
                    PeerResponse::News(Box::new(self.answer_follow(*follow).await))
                }
                PeerRequest::Marks(reports) => {
                    let now = self.clock.now();
                    let mut suspects = self.engine.tables.suspects.lock();
                    suspects.merge_reports(now, reports);
                    PeerResponse::Objects(Vec::new())
                }
                // Instances on this platform have no cells.
                PeerRequest::Heartbeat(_) | PeerRequest::Fetch(_) => {
                    PeerResponse::Objects(Vec::new())
                }
            }
        })
    }
}
