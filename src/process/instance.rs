//! One instance: its tables, its workers, and the path of a request through them.

use std::future::Future;
use std::sync::Arc;

use async_std::channel;

use super::heartbeat::HeartbeatHandle;
use super::members::Members;
use super::orders::{Claim, OrderKey, Orders};
use super::shutdown::Shutdown;
use super::{
    Clock, Config, Engine, Platform, Rank, Ranked, Settings, Workers, follow, heartbeat, poison,
};
use crate::connection::{Links, Peers};
use crate::error::{ErrorKind, Refusal};
use crate::request::{Answer, Query, QueryOptions, QueryRequest};
use crate::types::{ByteCount, Fingerprint, Span, Timestamp};
use crate::version::Class;

/// Claiming an order may take the order's timeout divided by this.
const CLAIM_TIME_DIVISOR: u64 = 2;
/// The memory for the messages of all other instances.
const PEER_MEMORY: ByteCount = ByteCount(64 << 20);
/// The part of the timeout that is reserved for sending the answer.
const ANSWER_MARGIN: Span = Span::from_millis(2);

/// The state that lives as long as the process.
#[derive(Debug)]
pub(crate) struct Instance {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) engine: Arc<Engine>,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) orders: Arc<Orders>,
    pub(crate) config: Config,
    pub(crate) members: Ranked<Members>,
    pub(crate) peers: Peers,
    pub(crate) heartbeats: HeartbeatHandle,
    pub(crate) shutdown: Ranked<Shutdown>,
}

impl Instance {
    /// Starts the workers, the timer, the watches of the platform and the heartbeats.
    ///
    /// # Errors
    /// When a thread cannot be started or a metric cannot be registered.
    pub(crate) fn start(
        settings: Settings,
        platform: Arc<dyn Platform>,
    ) -> anyhow::Result<Arc<Self>> {
        let clock = Clock::new();
        let transport = Box::new(Links::new(clock));
        let engine = Engine::start(clock, transport, Workers::Pool(settings.workers))?;
        let members = Members::of(&settings);
        let (heartbeats, end) = heartbeat::heartbeats();
        let shutdown = Ranked::new(Rank::Shutdown, Shutdown::new(settings.stop_times()));
        let peers = Peers::new(
            settings.name.clone(),
            settings.peer_keys.clone(),
            PEER_MEMORY,
        );
        let instance = Arc::new(Self {
            settings,
            clock,
            engine,
            orders: Orders::new(Arc::clone(&platform), clock),
            config: Config::new(Arc::clone(&platform), clock),
            platform,
            members: Ranked::new(Rank::Members, members),
            peers,
            heartbeats,
            shutdown,
        });
        let home = instance.settings.failure_domain.clone();
        instance.engine.tables.upstreams.lock().set_home(home);
        instance.orders.start();
        let (wake, updates) = channel::bounded(1);
        instance
            .engine
            .tables
            .suspects
            .lock()
            .wake_on_unshared(wake);
        async_std::task::spawn(poison::publish_marks(Arc::clone(&instance), updates));
        async_std::task::spawn(Arc::clone(&instance.config.audit).flush_forever());
        follow::spawn(&instance);
        async_std::task::spawn(heartbeat::run(Arc::clone(&instance), end));
        Ok(instance)
    }

    /// Answers one request; `caller_gone` completes when the caller disconnects.
    ///
    /// # Errors
    /// A [`Refusal`] whose kind states whether the request may have run.
    pub(crate) async fn ask(
        &self,
        query_request: QueryRequest,
        caller_gone: impl Future<Output = ()> + Unpin,
    ) -> Result<Answer, Refusal> {
        let class = query_request.class.clone();
        let outcome = self.admit_and_wait(query_request, caller_gone).await;
        match &outcome {
            Ok(answer) => self
                .engine
                .metrics
                .answered(&class, answer.meets_target, answer.took),
            Err(refusal) => self.engine.metrics.refused(refusal.kind),
        }
        outcome
    }

    async fn admit_and_wait(
        &self,
        query_request: QueryRequest,
        caller_gone: impl Future<Output = ()> + Unpin,
    ) -> Result<Answer, Refusal> {
        self.check_learned()?;
        let started = self.clock.now();
        let request = Fingerprint::of(&query_request.class, &query_request.body);
        let owns_turn = |turn| self.owns_trial(request, turn);
        let is_trial = self.engine.check_quarantine(started, request, owns_turn)?;
        let stops_at = self.check_stopping(&query_request, started)?;
        let admitted = self.admit(&query_request)?;
        let mut claim = self.claim(&query_request, started).await?;
        let query = self.begin(query_request, started, stops_at)?;
        let query = query.with_options(QueryOptions {
            is_trial,
            ..QueryOptions::default()
        });
        if let Some(claim) = &mut claim {
            claim.begin();
        }
        let outcome = self.engine.run(query, caller_gone).await;
        if let Some(claim) = claim {
            claim.close(&outcome);
        }
        admitted.close(&outcome);
        outcome
    }

    /// Whether this instance may try the request in that turn. On average one instance may: no
    /// instance knows the names of all others.
    fn owns_trial(&self, request: Fingerprint, turn: u64) -> bool {
        let live = u64::from(self.orders.live()).max(1);
        let draw = request.rendezvous_weight(turn, &self.settings.name);
        draw.0.is_multiple_of(live)
    }

    /// Refuses a request that might not end before this instance stops, and returns when one that
    /// begins has to end.
    fn check_stopping(
        &self,
        query_request: &QueryRequest,
        now: Timestamp,
    ) -> Result<Option<Timestamp>, Refusal> {
        let class = self.engine.tables.directory().class(&query_request.class)?;
        let allowed = timeout(query_request, &class);
        let needed = self.engine.time_needed(&class, allowed);
        self.shutdown.lock().admit(now, needed)
    }

    /// Claims an order for this attempt; a repeatable request needs no claim.
    async fn claim(
        &self,
        query_request: &QueryRequest,
        started: Timestamp,
    ) -> Result<Option<Claim>, Refusal> {
        let class = self.engine.tables.directory().class(&query_request.class)?;
        if class.targets.repeatable {
            return Ok(None);
        }
        let key = OrderKey::of(query_request)?;
        let body = Fingerprint::of(&class.name, &query_request.body);
        let until = started + Span(timeout(query_request, &class).0 / CLAIM_TIME_DIVISOR);
        self.orders.claim(key, body, until).await.map(Some)
    }

    fn begin(
        &self,
        query_request: QueryRequest,
        started: Timestamp,
        stops_at: Option<Timestamp>,
    ) -> Result<Query, Refusal> {
        let directory = self.engine.tables.directory();
        let class = directory.class(&query_request.class)?;
        let snapshot = directory.newest_snapshot(&class.index)?;
        let deadline = started + timeout(&query_request, &class) - ANSWER_MARGIN;
        let deadline = stops_at.map_or(deadline, |stops_at| deadline.min(stops_at));
        if self.clock.now() >= deadline {
            return Err(Refusal::new(
                ErrorKind::CannotFinish,
                "the deadline passed before the request was started",
            ));
        }
        let id = Engine::query_id();
        Ok(Query::new(
            id,
            class,
            snapshot,
            query_request.body,
            started,
            deadline,
        ))
    }
}

/// The caller's timeout or the latency target of the class, whichever is shorter.
fn timeout(query_request: &QueryRequest, class: &Class) -> Span {
    let target = class.targets.latency;
    query_request.timeout.unwrap_or(target).min(target)
}
