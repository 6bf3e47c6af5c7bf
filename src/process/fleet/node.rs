//! One instance on a platform that serves requests by routes: its tables, and what
//! happens when it learns something.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::channel::{self, Receiver, Sender};
use indexmap::IndexMap;

use super::addresses;
use super::{
    Book, Entry, EntryState, Fleet, Meaning, Presence, ReplicaEntry, Roster, Silence, Stated, feed,
    follow,
};
use crate::connection::Peers;
use crate::process::cells::MemberState;
use crate::process::share::Share;
use crate::process::shutdown::{Shutdown, StopTimes};
use crate::process::{Catalog, Clock, Engine, Near, Platform, Rank, Ranked, RepeatTerms};
use crate::types::{InstanceName, PeerKey, RouteName, Span, Timestamp, UpstreamName};
use crate::version::RouteTable;

/// How long the limits still count an instance that is gone: it may only be cut off.
const GONE_COUNTS_FOR: Span = Span::from_secs(20);
/// The store was heard of so lately that its word on who is alive stands.
const VOUCHED_WITHIN: Span = Span::from_secs(3);

/// An instance that nobody tells anything reads the store itself after this time: others
/// start within 0.3 s and need a moment to read it.
const ALONE_AFTER: Span = Span::from_millis(500);
/// The same, when callers are waiting: two round trips to an instance of another region.
const ALONE_AFTER_RESTART: Span = Span::from_millis(100);

/// What an instance is told when it starts.
#[derive(Clone, Debug)]
pub(crate) struct NodeSettings {
    pub(crate) me: Presence,
    /// Where other instances may be asked for the first time.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Whether the whole deployment starts for the first time, so that nobody waits yet.
    pub(crate) first_start: bool,
    pub(crate) peer_key: PeerKey,
    pub(crate) repeats: RepeatTerms,
    pub(crate) stop: StopTimes,
}

/// Everything that lives as long as the process.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) clock: Clock,
    pub(crate) engine: Arc<Engine>,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) meaning: Box<dyn Meaning>,
    pub(crate) peers: Peers,
    pub(crate) shutdown: Ranked<Shutdown>,
    /// Where other instances may be asked that nobody is known at.
    seeds: Ranked<Vec<SocketAddr>>,
    pub(super) fleet: Ranked<Fleet>,
    pub(super) share: Ranked<Share>,
    pub(super) silence: Ranked<Silence>,
    pub(super) book: Ranked<Book>,
    pub(super) roster: Ranked<Roster>,
    catalog: Ranked<Arc<Catalog>>,
    /// The longest time that callers of a route were seen to give it.
    pub(super) longest: Ranked<IndexMap<RouteName, Span>>,
    /// The instances that the objects come through, without this one.
    pub(super) via: Ranked<Vec<InstanceName>>,
    waiting: Ranked<Vec<Sender<()>>>,
}

impl Node {
    /// Starts the following of the platform and of other instances.
    pub(crate) fn start(
        settings: NodeSettings,
        clock: Clock,
        engine: Arc<Engine>,
        platform: Arc<dyn Platform>,
        meaning: Box<dyn Meaning>,
    ) -> Arc<Self> {
        let now = clock.now();
        let name = settings.me.member.name.clone();
        let home = settings.me.member.failure_domain.clone();
        let peers = Peers::new(name, vec![settings.peer_key.clone()]);
        engine.tables.upstreams.lock().set_home(home);
        engine
            .tables
            .budgets
            .lock()
            .services
            .set_terms(settings.repeats);
        let node = Arc::new(Self {
            clock,
            engine,
            platform,
            peers,
            shutdown: Ranked::new(Rank::Shutdown, Shutdown::new(settings.stop)),
            seeds: Ranked::new(Rank::Seeds, settings.seeds.clone()),
            fleet: Ranked::new(Rank::Fleet, Fleet::new(now, settings.me.clone())),
            silence: Ranked::new(Rank::Silence, Silence::default()),
            share: Ranked::new(Rank::Share, Share::new(GONE_COUNTS_FOR)),
            book: Ranked::new(Rank::Book, Book::new(meaning.prefixes().len())),
            meaning,
            roster: Ranked::new(Rank::Roster, Roster::default()),
            catalog: Ranked::new(Rank::Catalog, Arc::default()),
            longest: Ranked::new(Rank::Longest, IndexMap::new()),
            via: Ranked::new(Rank::Via, Vec::new()),
            waiting: Ranked::new(Rank::Waiting, Vec::new()),
            settings,
        });
        feed::start(&node);
        async_std::task::spawn(follow::run(Arc::clone(&node)));
        async_std::task::spawn(follow::look_around(Arc::clone(&node)));
        node
    }

    /// Takes over what of changed settings can change in a running process.
    pub(crate) fn reload(&self, settings: &NodeSettings) {
        self.seeds.lock().clone_from(&settings.seeds);
        let mut budgets = self.engine.tables.budgets.lock();
        budgets.services.set_terms(settings.repeats);
    }

    pub(super) fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.lock().clone()
    }

    /// What requests are answered from now; later changes do not touch what is returned.
    pub(crate) fn catalog(&self) -> Arc<Catalog> {
        Arc::clone(&self.catalog.lock())
    }

    /// Whether callers may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        self.catalog().is_known() && !self.shutdown.lock().closes_connections()
    }

    /// The addresses for a caller.
    pub(crate) fn addresses(&self, caller: &Near) -> Vec<SocketAddr> {
        addresses::choose(self.fleet.lock().present(), caller)
    }

    /// Takes what was learned of objects, from whoever states it.
    pub(super) fn adopt(&self, entries: Vec<Entry>) {
        let changed: Vec<Entry> = {
            let mut book = self.book.lock();
            let mut entries = entries;
            entries.retain(|entry| book.learn(entry.clone()));
            entries
        };
        if changed.is_empty() {
            return;
        }
        let mut table = None;
        let mut withdrawn = Vec::new();
        for entry in &changed {
            match self.stated(entry) {
                Some(Stated::Routes(routes)) => table = Some(routes),
                Some(Stated::Replica(replica)) => {
                    withdrawn.extend(self.list(entry, Some(replica)));
                }
                None => withdrawn.extend(self.list(entry, None)),
            }
        }
        self.replace_catalog(table, &withdrawn);
        self.wake_waiting();
    }

    fn stated(&self, entry: &Entry) -> Option<Stated> {
        let EntryState::Held(value) = &entry.state else {
            return None;
        };
        let stated = self.meaning.read(&entry.key, value);
        if let Err(error) = &stated {
            tracing::warn!(key = %entry.key, version = %entry.version, %error, "an object states nothing of use");
        }
        stated.ok()
    }

    fn list(&self, entry: &Entry, replica: Option<ReplicaEntry>) -> Option<UpstreamName> {
        let now = self.clock.now();
        let mut roster = self.roster.lock();
        roster.follow(now, &entry.key, &entry.state, replica)
    }

    /// Drops replicas that lapsed with an outage and were not heard of again.
    pub(super) fn drop_lapsed(&self) {
        let now = self.clock.now();
        let withdrawn = {
            let mut roster = self.roster.lock();
            if roster.next_drop().is_none_or(|at| at > now) {
                return;
            }
            roster.drop_lapsed(now)
        };
        self.replace_catalog(None, &withdrawn);
    }

    /// Joins the configuration with the replicas anew. A configuration never goes back.
    fn replace_catalog(&self, table: Option<RouteTable>, withdrawn: &[UpstreamName]) {
        let roster = self.roster.lock();
        let mut catalog = self.catalog.lock();
        let newer = table.filter(|table| table.version > catalog.table.version);
        if let Some(table) = &newer {
            tracing::info!(version = %table.version, "a configuration is in force");
        }
        let table = newer.map_or_else(|| Arc::clone(&catalog.table), Arc::new);
        let replicas = roster.replicas(&table);
        *catalog = Arc::new(Catalog::new(table, &replicas));
        drop(catalog);
        drop(roster);
        for name in withdrawn {
            tracing::info!(upstream = %name, "no new legs go to a replica");
        }
        let mut upstreams = self.engine.tables.upstreams.lock();
        upstreams.withdraw(withdrawn, &replicas);
    }

    /// Notes that the store itself stated all that is under a prefix.
    pub(super) fn heard_of(&self, prefix: &'static str) {
        let now = self.clock.now();
        if self.book.lock().confirm_prefix(now, prefix) {
            self.begin();
        }
    }

    /// Notes that the store stated all that is known here so long ago.
    pub(super) fn confirm(&self, age: Span) {
        let now = self.clock.now();
        self.book.lock().confirm(now, age);
        self.begin();
    }

    /// Serves from the first configuration on.
    fn begin(&self) {
        let joining = self.fleet.lock().me().member.state == MemberState::Joining;
        if joining && self.catalog().is_known() {
            tracing::info!("ready for callers");
            self.set_state(MemberState::Live);
        }
    }

    /// Whether this instance may read the store before it heard of any other. Those that
    /// others ask first do; the others wait a moment for them, so that a fleet that starts
    /// does not read the store once for each instance.
    pub(super) fn may_begin_alone(&self, now: Timestamp) -> bool {
        let seeds = self.seeds();
        let is_seed = seeds.contains(&self.settings.me.member.peer_addr);
        let wait = if self.settings.first_start {
            ALONE_AFTER
        } else {
            ALONE_AFTER_RESTART
        };
        is_seed || seeds.is_empty() || now >= Timestamp::default() + wait
    }

    /// Says what this instance is ready for.
    pub(crate) fn set_state(&self, state: MemberState) {
        let now = self.clock.now();
        self.fleet.lock().set_state(now, state);
        self.wake_waiting();
    }

    /// Divides the limits among the instances that are there.
    pub(super) fn count_instances(&self) {
        let now = self.clock.now();
        let live = {
            let fleet = self.fleet.lock();
            u32::try_from(fleet.present().count()).unwrap_or(u32::MAX)
        };
        let age = self.book.lock().age(now);
        let vouched = age.is_some_and(|age| age < VOUCHED_WITHIN);
        let counted = self.share.lock().count(now, live, vouched);
        self.engine.tables.budgets.lock().services.set_live(counted);
        self.engine.tables.limits.lock().set_live(now, counted);
    }

    /// Completes when something was learned here.
    pub(super) fn learned(&self) -> Receiver<()> {
        let (tx, rx) = channel::bounded(1);
        self.waiting.lock().push(tx);
        rx
    }

    pub(super) fn wake_waiting(&self) {
        // Dropping the senders completes every wait.
        self.waiting.lock().clear();
    }
}
