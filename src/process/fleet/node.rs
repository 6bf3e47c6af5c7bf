//! One instance on a platform that serves requests by routes, and its tables.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::channel::{self, Receiver, Sender};
use indexmap::IndexMap;

use super::addresses;
use super::{
    Fleet, InstanceRecord, ObjectCache, ObjectDecoder, ReplicaRegistry, SilenceTracker, follow,
    liveness, marks, store_reader,
};
use crate::connection::Peers;
use crate::process::cells::MemberState;
use crate::process::instance_count::InstanceCount;
use crate::process::shutdown::{Shutdown, StopTimes};
use crate::process::{CallerLocation, Catalog, Clock, Engine, Platform, Rank, Ranked, RetryLimits};
use crate::types::{ByteCount, InstanceName, PeerKey, RouteName, Span, Timestamp};

/// How long the limits still count an instance that is gone, since it may only be cut off.
const COUNT_GONE_FOR: Span = Span::from_secs(20);
/// The number of live instances is trusted only if the store confirmed the objects within
/// this time.
const CONFIRMED_WITHIN: Span = Span::from_secs(3);

/// How long after a first start of the deployment an instance waits for updates from others
/// before it reads the store itself: the others start within 0.3 s and need a moment to
/// read it.
const FIRST_START_WAIT: Span = Span::from_millis(500);
/// The same after a restart, when callers are already waiting: longer than a probe of the seeds
/// takes.
const RESTART_WAIT: Span = Span::from_millis(400);

/// The settings of an instance at its start.
#[derive(Clone, Debug)]
pub(crate) struct NodeSettings {
    pub(crate) me: InstanceRecord,
    /// The addresses at which to look for other instances at first.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Whether the deployment starts for the first time, so that no caller waits yet.
    pub(crate) first_start: bool,
    pub(crate) peer_key: PeerKey,
    pub(crate) repeats: RetryLimits,
    pub(crate) stop: StopTimes,
    /// The memory for the requests of all callers, as much for the replies of all upstreams, and as
    /// much for the messages of other instances.
    pub(crate) message_memory: ByteCount,
}

/// Everything that lives as long as the process.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) clock: Clock,
    pub(crate) engine: Arc<Engine>,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) object_decoder: Box<dyn ObjectDecoder>,
    pub(crate) peers: Peers,
    pub(crate) shutdown: Ranked<Shutdown>,
    /// The addresses to probe for instances while none is known there.
    seeds: Ranked<Vec<SocketAddr>>,
    pub(super) fleet: Ranked<Fleet>,
    pub(super) instance_count: Ranked<InstanceCount>,
    pub(super) silence: Ranked<SilenceTracker>,
    pub(super) object_cache: Ranked<ObjectCache>,
    pub(super) replica_registry: Ranked<ReplicaRegistry>,
    pub(super) catalog: Ranked<Arc<Catalog>>,
    /// The longest time that callers of each route were seen to allow: their full timeout.
    pub(super) longest_time_left: Ranked<IndexMap<RouteName, Span>>,
    /// The instances that the objects were passed on by, without this one.
    pub(super) via: Ranked<Vec<InstanceName>>,
    waiters: Ranked<Vec<Sender<()>>>,
}

impl Node {
    /// Starts the tasks that follow the platform and other instances.
    pub(crate) fn start(
        settings: NodeSettings,
        clock: Clock,
        engine: Arc<Engine>,
        platform: Arc<dyn Platform>,
        object_decoder: Box<dyn ObjectDecoder>,
    ) -> Arc<Self> {
        let now = clock.now();
        let name = settings.me.member.name.clone();
        let home = settings.me.member.failure_domain.clone();
        let peers = Peers::new(
            name,
            vec![settings.peer_key.clone()],
            settings.message_memory,
        );
        engine.tables.upstreams.lock().set_home(home);
        engine
            .tables
            .budgets
            .lock()
            .services
            .set_limits(settings.repeats);
        let node = Arc::new(Self {
            clock,
            engine,
            platform,
            peers,
            shutdown: Ranked::new(Rank::Shutdown, Shutdown::new(settings.stop)),
            seeds: Ranked::new(Rank::Seeds, settings.seeds.clone()),
            fleet: Ranked::new(Rank::Fleet, Fleet::new(now, settings.me.clone())),
            silence: Ranked::new(Rank::SilenceTracker, SilenceTracker::default()),
            instance_count: Ranked::new(Rank::InstanceCount, InstanceCount::new(COUNT_GONE_FOR)),
            object_cache: Ranked::new(
                Rank::ObjectCache,
                ObjectCache::new(object_decoder.prefixes().len()),
            ),
            object_decoder,
            replica_registry: Ranked::new(Rank::ReplicaRegistry, ReplicaRegistry::default()),
            catalog: Ranked::new(Rank::Catalog, Arc::default()),
            longest_time_left: Ranked::new(Rank::LongestTimeLeft, IndexMap::new()),
            via: Ranked::new(Rank::Via, Vec::new()),
            waiters: Ranked::new(Rank::Waiters, Vec::new()),
            settings,
        });
        let (wake, updates) = channel::bounded(1);
        let mut suspects = node.engine.tables.suspects.lock();
        suspects.wake_on_unshared(wake);
        drop(suspects);
        async_std::task::spawn(marks::share(Arc::clone(&node), updates));
        async_std::task::spawn(liveness::run(Arc::clone(&node)));
        store_reader::start(&node);
        async_std::task::spawn(follow::run(Arc::clone(&node)));
        async_std::task::spawn(follow::probe_missing(Arc::clone(&node)));
        node
    }

    /// Applies the settings that may change in a running process.
    pub(crate) fn reload(&self, settings: &NodeSettings) {
        self.seeds.lock().clone_from(&settings.seeds);
        let mut budgets = self.engine.tables.budgets.lock();
        budgets.services.set_limits(settings.repeats);
    }

    pub(super) fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.lock().clone()
    }

    /// Returns the catalog for requests that begin now. It is immutable; later changes make
    /// a new one.
    pub(crate) fn catalog(&self) -> Arc<Catalog> {
        Arc::clone(&self.catalog.lock())
    }

    /// Whether callers may be sent to this instance.
    pub(crate) fn is_ready(&self) -> bool {
        self.catalog().is_known() && !self.shutdown.lock().closes_connections()
    }

    /// Returns the addresses for a caller.
    pub(crate) fn addresses(&self, caller: &CallerLocation) -> Vec<SocketAddr> {
        addresses::choose(self.fleet.lock().present(), caller)
    }

    /// Whether this instance may read the store before it has updates from another
    /// instance. Seeds, which other instances contact first, may at once. The others wait a
    /// moment for the seeds, so that the store isn't read once for each instance when a
    /// fleet starts.
    pub(super) fn may_bootstrap_from_store(&self, now: Timestamp) -> bool {
        let seeds = self.seeds();
        let is_seed = seeds.contains(&self.settings.me.member.peer_addr);
        let wait = if self.settings.first_start {
            FIRST_START_WAIT
        } else {
            RESTART_WAIT
        };
        is_seed || seeds.is_empty() || now >= Timestamp::default() + wait
    }

    /// Sets the state that this instance publishes.
    pub(crate) fn set_state(&self, state: MemberState) {
        let now = self.clock.now();
        self.fleet.lock().set_state(now, state);
        self.notify_waiters();
    }

    /// Divides the limits among the instances that are present.
    pub(super) fn divide_limits(&self) {
        let now = self.clock.now();
        let (live, serving) = {
            let fleet = self.fleet.lock();
            let present: Vec<&InstanceRecord> = fleet.present().collect();
            let serving = addresses::serving_count(&present, self.settings.me.member.addr);
            (u32::try_from(present.len()).unwrap_or(u32::MAX), serving)
        };
        let age = self.object_cache.lock().age(now);
        let confirmed = age.is_some_and(|age| age < CONFIRMED_WITHIN);
        let counted = self.instance_count.lock().count(now, live, confirmed);
        self.engine.tables.budgets.lock().services.set_live(counted);
        let mut limits = self.engine.tables.limits.lock();
        limits.set_live(now, counted);
        limits.set_rate_sharers(now, serving);
    }

    /// Returns a receiver that completes at the next change of what this instance knows.
    pub(super) fn next_change(&self) -> Receiver<()> {
        let (tx, rx) = channel::bounded(1);
        self.waiters.lock().push(tx);
        rx
    }

    pub(super) fn notify_waiters(&self) {
        // Dropping the senders completes every wait.
        self.waiters.lock().clear();
    }
}
