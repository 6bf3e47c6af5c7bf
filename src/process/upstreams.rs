//! Statistics of all upstreams, and replica selection based on them.
//!
//! Health and load endpoints lag behind or mislead, so only the results of this instance's
//! own legs count; see `docs/DESIGN.md`, "Choice of replica".

use rand::rngs::SmallRng;

use super::candidates::{Candidates, MAX_REPLICAS};
use super::domain_latency::DomainLatency;
use super::latency::ClassLatency;
use super::snapshot_availability::SnapshotAvailability;
use super::upstream_stats::{UpstreamStats, micros};
use super::{Choice, LegEnd, Limits, Replicas, SelectionRequest, Table};
use crate::request::LegFailure;
use crate::types::{ClassName, FailureDomain, Span, Timestamp, UpstreamName};
use crate::version::{Snapshot, UpstreamSpec};

const INITIAL_LATENCY: Span = Span::from_millis(20);
/// The initial estimate for another failure domain: in the users' deployments, a round trip
/// to one takes some tens of milliseconds.
const INITIAL_REMOTE_LATENCY: Span = Span::from_millis(40);
/// Upstreams first used within this time after the very first one skip slow start.
const START_GRACE: Span = Span::from_secs(5);
const PRUNE_UNUSED_AFTER: Span = Span::from_secs(600);
const MIN_PRUNE_LEN: usize = 1_024;
const REMOTE_COST_FACTOR: f64 = 1.2;
/// After this time without a reply from a failure domain, its minimum latency is ignored and
/// its distance is measured anew.
const MIN_LATENCY_TTL: Span = Span::from_secs(5);

/// The load and the latency of one upstream, as this instance observes them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct UpstreamLoad {
    /// Legs of this instance in flight.
    pub(crate) in_flight: u32,
    /// The expected latency of a leg.
    pub(crate) expected: Span,
}

/// Every recently used upstream, by name.
#[derive(Clone, Debug, Default)]
pub struct Upstreams {
    pub(super) by_name: Table<UpstreamName, UpstreamStats>,
    by_class: Table<ClassName, ClassLatency>,
    by_domain: Table<FailureDomain, DomainLatency>,
    availability: SnapshotAvailability,
    /// Upstreams that left legs unanswered, with the time since when they are silent, to
    /// be reported to other instances.
    pub(super) silent: Table<UpstreamName, Timestamp>,
    /// The latest time at which what an upstream said of itself ends.
    pub(super) stated_until: Timestamp,
    home: Option<FailureDomain>,
    first_use: Option<Timestamp>,
    prune_at: usize,
}

impl Upstreams {
    /// Sets the failure domain of this instance; replicas in other ones cost more.
    pub fn set_home(&mut self, home: FailureDomain) {
        self.home = Some(home);
    }

    /// Chooses the replica for the next leg: among those with capacity and of the best
    /// readiness, the one with the lowest cost by latency, legs in flight, sheds and distance.
    /// Of many replicas, only two drawn at random are compared.
    pub fn choose(
        &mut self,
        now: Timestamp,
        limits: &Limits,
        request: SelectionRequest<'_>,
        rng: &mut SmallRng,
    ) -> Choice {
        let mut candidates = Candidates::default();
        let mut gone = false;
        for (at, spec) in request.replicas.iter().take(MAX_REPLICAS).enumerate() {
            let min_latency = self.min_latency_micros(now, spec);
            let stats = self.stats_mut(now, spec);
            gone |= stats.lacks_snapshot(now, request.snapshot);
            let tried = request.tried & (1 << at) != 0;
            if tried || spec.leaving || stats.is_excluded(now, request.snapshot) {
                continue;
            }
            let room_at = limits.room_at(now, spec).max(stats.backoff_until(now));
            let readiness = stats.readiness(now, rng);
            let cost = stats.cost_micros(now, stats.expected_micros(now).max(min_latency));
            candidates.add(
                now,
                at,
                readiness,
                room_at,
                cost * self.remote_cost_factor(spec),
            );
        }
        candidates.pick(rng).unwrap_or(Choice::NoReplica { gone })
    }

    /// Excludes withdrawn replicas, also for queries that started earlier. Replicas that
    /// are listed and not leaving are used again.
    pub(crate) fn withdraw(&mut self, withdrawn: &[UpstreamName], listed: &Replicas) {
        for name in withdrawn {
            if let Some(stats) = self.by_name.get_mut(name) {
                stats.withdrawn = true;
            }
        }
        for spec in listed.values().flatten().filter(|spec| !spec.leaving) {
            if let Some(stats) = self.by_name.get_mut(&spec.name) {
                stats.withdrawn = false;
            }
        }
    }

    /// Records that a leg was sent.
    pub fn begin(&mut self, now: Timestamp, spec: &UpstreamSpec) {
        self.stats_mut(now, spec).begin(now);
    }

    /// Records that a leg of a class ended after `took`.
    pub fn end(
        &mut self,
        now: Timestamp,
        spec: &UpstreamSpec,
        class: &ClassName,
        took: Span,
        end: LegEnd,
    ) {
        self.stats_mut(now, spec).end(now, took, end);
        let excess = Span(took.0.saturating_sub(self.min_latency_to(now, spec).0));
        match end {
            LegEnd::Replied => {
                let latency = self.class_mut(class);
                latency.legs.learn(took);
                latency.excess.learn(excess);
                self.learn_domain(now, &spec.failure_domain, took);
            }
            LegEnd::Cancelled | LegEnd::Failed(LegFailure::OutOfTime) => {
                let latency = self.class_mut(class);
                latency.legs.learn_at_least(took);
                latency.excess.learn_at_least(excess);
            }
            LegEnd::Failed(_) => {}
        }
    }

    /// Returns the minimum latency to the upstream's failure domain; zero while unknown.
    pub(crate) fn min_latency_to(&self, now: Timestamp, spec: &UpstreamSpec) -> Span {
        Span::from_micros_f64(self.min_latency_micros(now, spec))
    }

    /// Returns the latencies of a class, if any were recorded.
    pub(crate) fn class(&self, class: &ClassName) -> Option<&ClassLatency> {
        self.by_class.get(class)
    }

    /// Returns the latencies of a class for update.
    pub(crate) fn class_mut(&mut self, class: &ClassName) -> &mut ClassLatency {
        if !self.by_class.contains_key(class) {
            self.by_class.insert(class.clone(), ClassLatency::default());
        }
        &mut self.by_class[class]
    }

    /// Whether a query may start on a snapshot, according to the results of earlier ones.
    pub(crate) fn may_use_snapshot(&mut self, now: Timestamp, snapshot: &Snapshot) -> bool {
        self.availability.may_use(now, snapshot)
    }

    /// Records that some shard has no replica that holds the snapshot.
    pub(crate) fn note_snapshot_missing(&mut self, now: Timestamp, snapshot: &Snapshot) {
        self.availability.note_missing(now, snapshot);
    }

    /// Records that every shard replied from the snapshot.
    pub(crate) fn note_snapshot_available(&mut self, snapshot: &Snapshot) {
        self.availability.note_snapshot_available(snapshot);
    }

    /// Returns the load and latency of each upstream, for operators.
    pub(crate) fn loads(&self, now: Timestamp) -> Table<UpstreamName, UpstreamLoad> {
        let load = |stats: &UpstreamStats| UpstreamLoad {
            in_flight: stats.in_flight,
            expected: Span::from_micros_f64(stats.expected_micros(now)),
        };
        let stats = self.by_name.iter();
        stats
            .map(|(name, stats)| (name.clone(), load(stats)))
            .collect()
    }

    /// Returns the number of legs in flight at all upstreams.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.by_name.values().map(|stats| stats.in_flight).sum()
    }

    pub(super) fn stats_mut(&mut self, now: Timestamp, spec: &UpstreamSpec) -> &mut UpstreamStats {
        if let Some(at) = self.by_name.get_index_of(&spec.name) {
            return &mut self.by_name[at];
        }
        self.prune(now);
        let first_use = *self.first_use.get_or_insert(now);
        let cold = now.since(first_use) > START_GRACE;
        let guess = self
            .by_domain
            .get(&spec.failure_domain)
            .map(|latency| latency.mean);
        let initial = if self.is_remote(spec) {
            INITIAL_REMOTE_LATENCY
        } else {
            INITIAL_LATENCY
        };
        let stats = UpstreamStats::new(now, guess.unwrap_or(micros(initial)), cold);
        self.by_name.entry(spec.name.clone()).or_insert(stats)
    }

    fn prune(&mut self, now: Timestamp) {
        if self.by_name.len() < self.prune_at.max(MIN_PRUNE_LEN) {
            return;
        }
        self.by_name.retain(|_, stats| {
            stats.in_flight > 0 || now.since(stats.last_used) < PRUNE_UNUSED_AFTER
        });
        self.prune_at = self.by_name.len() * 2;
    }

    fn learn_domain(&mut self, now: Timestamp, domain: &FailureDomain, took: Span) {
        let took = micros(took);
        if let Some(latency) = self.by_domain.get_mut(domain) {
            latency.learn(now, took);
        } else {
            let first = DomainLatency::new(now, took);
            self.by_domain.insert(domain.clone(), first);
        }
    }

    /// Like [`Upstreams::min_latency_to`], in microseconds; zero without a recent reply.
    fn min_latency_micros(&self, now: Timestamp, spec: &UpstreamSpec) -> f64 {
        let latency = self.by_domain.get(&spec.failure_domain);
        latency
            .filter(|latency| now.since(latency.updated_at) < MIN_LATENCY_TTL)
            .map_or(0.0, |latency| latency.min)
    }

    fn remote_cost_factor(&self, spec: &UpstreamSpec) -> f64 {
        if self.is_remote(spec) {
            REMOTE_COST_FACTOR
        } else {
            1.0
        }
    }

    fn is_remote(&self, spec: &UpstreamSpec) -> bool {
        let home = self.home.as_ref();
        home.is_some_and(|home| *home != spec.failure_domain)
    }
}

#[cfg(test)]
#[path = "upstreams_tests.rs"]
mod upstreams_tests;
