//! The upstreams as this instance observes them, and the choice among replicas.
//!
//! Health and load endpoints lag or mislead, so only what this instance's own legs
//! showed counts; see `docs/DESIGN.md`, "Choice of replica".

use rand::rngs::SmallRng;

use super::domain::DomainLatency;
use super::held::Held;
use super::latency::ClassLatency;
use super::observed::{Observed, micros};
use super::usable::{MOST_REPLICAS, Usable};
use super::{Choice, LegEnd, Limits, Replicas, Seeking, Table};
use crate::request::LegFailure;
use crate::types::{ClassName, FailureDomain, SnapshotId, Span, Timestamp, UpstreamName};
use crate::version::{Snapshot, UpstreamSpec};

const FIRST_LATENCY: Span = Span::from_millis(20);
/// The same, in another failure domain: the ways there and back are some tens of
/// milliseconds on the users' deployments.
const FIRST_LATENCY_FAR: Span = Span::from_millis(40);
const START_GRACE: Span = Span::from_secs(5);
const FORGOTTEN_AFTER: Span = Span::from_secs(600);
const FIRST_PRUNE: usize = 1_024;
const FAR_COST: f64 = 1.2;
/// After this time without a reply from a failure domain, its distance is looked at anew.
const FLOOR_KEPT: Span = Span::from_secs(5);

/// Bounds what waits to be told to other instances.
const MOST_SILENT: usize = 256;

/// What an instance observes of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct UpstreamLoad {
    /// Legs under way from this instance.
    pub(crate) in_flight: u32,
    /// What a leg is expected to take.
    pub(crate) expected: Span,
}

/// Every upstream that was used lately, by name.
#[derive(Clone, Debug, Default)]
pub struct Upstreams {
    by_name: Table<UpstreamName, Observed>,
    by_class: Table<ClassName, ClassLatency>,
    by_domain: Table<FailureDomain, DomainLatency>,
    held: Held,
    /// Those that left legs without a reply, and since when nothing came from them, for
    /// other instances to know.
    silent: Table<UpstreamName, Timestamp>,
    home: Option<FailureDomain>,
    first_use: Option<Timestamp>,
    prune_at: usize,
}

impl Upstreams {
    /// Says which failure domain this instance stands in; links that leave it cost more.
    pub fn set_home(&mut self, home: FailureDomain) {
        self.home = Some(home);
    }

    /// The replica for the next leg: of two drawn at random the one with the smaller
    /// expected latency times legs under way, among those with room.
    pub fn choose(
        &mut self,
        now: Timestamp,
        limits: &Limits,
        seeking: Seeking<'_>,
        rng: &mut SmallRng,
    ) -> Choice {
        let mut usable = Usable::default();
        let mut gone = false;
        for (at, spec) in seeking.replicas.iter().take(MOST_REPLICAS).enumerate() {
            let floor = self.floor(now, spec);
            let seen = self.observed(now, spec);
            gone |= seen.lost(now, seeking.snapshot);
            let tried = seeking.tried & (1 << at) != 0;
            if tried || spec.leaving || seen.is_closed(now, seeking.snapshot) {
                continue;
            }
            let room_at = limits.room_at(now, spec).max(seen.busy_until());
            let readiness = seen.readiness(now, rng);
            let cost = seen.cost_micros(now, seen.expected_micros(now).max(floor));
            usable.add(now, at, readiness, room_at, cost * self.far_cost(spec));
        }
        usable.pick(rng).unwrap_or(Choice::Nobody { gone })
    }

    /// Sends no more legs to replicas that were taken back, also not for queries that
    /// began before; those that are listed and stay are used again.
    pub(crate) fn withdraw(&mut self, withdrawn: &[UpstreamName], listed: &Replicas) {
        for name in withdrawn {
            if let Some(seen) = self.by_name.get_mut(name) {
                seen.withdrawn = true;
            }
        }
        for spec in listed.values().flatten().filter(|spec| !spec.leaving) {
            if let Some(seen) = self.by_name.get_mut(&spec.name) {
                seen.withdrawn = false;
            }
        }
    }

    /// Notes that a leg was sent.
    pub fn begin(&mut self, now: Timestamp, spec: &UpstreamSpec) {
        self.observed(now, spec).begin(now);
    }

    /// Notes that a leg of a class ended after it was under way for `took`.
    pub fn end(
        &mut self,
        now: Timestamp,
        spec: &UpstreamSpec,
        class: &ClassName,
        took: Span,
        end: LegEnd,
    ) {
        self.observed(now, spec).end(now, took, end);
        let excess = Span(took.0.saturating_sub(self.least_to(now, spec).0));
        match end {
            LegEnd::Replied => {
                let of = self.class_mut(class);
                of.legs.learn(took);
                of.excess.learn(excess);
                self.learn_domain(now, &spec.failure_domain, took);
            }
            LegEnd::Cancelled | LegEnd::Failed(LegFailure::OutOfTime) => {
                let of = self.class_mut(class);
                of.legs.learn_at_least(took);
                of.excess.learn_at_least(excess);
            }
            LegEnd::Failed(_) => {}
        }
    }

    /// Notes that an upstream replied, whether or not the reply was still waited for.
    pub fn heard(&mut self, now: Timestamp, name: &UpstreamName) {
        if let Some(seen) = self.by_name.get_mut(name) {
            seen.heard(now);
        }
    }

    /// Notes that a leg, which was sent before `since`, is given up without a reply.
    pub(crate) fn unanswered(&mut self, since: Timestamp, name: &UpstreamName) {
        let seen = self.by_name.get(name);
        let is_silent = seen.is_some_and(|seen| seen.is_silent_since(since));
        if is_silent && self.silent.len() < MOST_SILENT {
            self.silent.insert(name.clone(), since);
        }
    }

    /// The upstreams that left legs without a reply since this was last asked.
    pub(crate) fn take_silent(&mut self) -> Table<UpstreamName, Timestamp> {
        std::mem::take(&mut self.silent)
    }

    /// Avoids an upstream that other instances found silent, unless it was heard since.
    pub(crate) fn avoid_silent(&mut self, name: &UpstreamName, since: Timestamp, until: Timestamp) {
        if let Some(seen) = self.by_name.get_mut(name) {
            seen.avoid_silent(since, until);
        }
    }

    /// Notes that an upstream no longer holds a snapshot.
    pub fn lose(&mut self, now: Timestamp, spec: &UpstreamSpec, snapshot: SnapshotId) {
        self.observed(now, spec).lose(now, snapshot);
    }

    /// The least that a leg to the upstream's failure domain takes; zero while unknown.
    pub(crate) fn least_to(&self, now: Timestamp, spec: &UpstreamSpec) -> Span {
        Span::from_micros_f64(self.floor(now, spec))
    }

    /// The latencies of a class, if any leg of it was sent.
    pub(crate) fn class(&self, class: &ClassName) -> Option<&ClassLatency> {
        self.by_class.get(class)
    }

    /// The latencies of a class, to add to.
    pub(crate) fn class_mut(&mut self, class: &ClassName) -> &mut ClassLatency {
        if !self.by_class.contains_key(class) {
            self.by_class.insert(class.clone(), ClassLatency::default());
        }
        &mut self.by_class[class]
    }

    /// Whether a query may set out on a snapshot, going by what others found.
    pub(crate) fn expects_held(&mut self, now: Timestamp, snapshot: &Snapshot) -> bool {
        self.held.expects(now, snapshot)
    }

    /// Notes that no replica of some shard holds the snapshot.
    pub(crate) fn note_not_held(&mut self, now: Timestamp, snapshot: &Snapshot) {
        self.held.note_missing(now, snapshot);
    }

    /// Notes that every shard replied from the snapshot.
    pub(crate) fn note_held(&mut self, snapshot: &Snapshot) {
        self.held.note_held(snapshot);
    }

    /// What was observed of each upstream, for operators.
    pub(crate) fn loads(&self, now: Timestamp) -> Table<UpstreamName, UpstreamLoad> {
        let load = |seen: &Observed| UpstreamLoad {
            in_flight: seen.in_flight,
            expected: Span::from_micros_f64(seen.expected_micros(now)),
        };
        let seen = self.by_name.iter();
        seen.map(|(name, seen)| (name.clone(), load(seen)))
            .collect()
    }

    /// The legs under way at all upstreams.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.by_name.values().map(|seen| seen.in_flight).sum()
    }

    fn observed(&mut self, now: Timestamp, spec: &UpstreamSpec) -> &mut Observed {
        if let Some(at) = self.by_name.get_index_of(&spec.name) {
            return &mut self.by_name[at];
        }
        self.prune(now);
        let first_use = *self.first_use.get_or_insert(now);
        let cold = now.since(first_use) > START_GRACE;
        let guess = self.by_domain.get(&spec.failure_domain).map(|of| of.mean);
        let unknown = if self.is_far(spec) {
            FIRST_LATENCY_FAR
        } else {
            FIRST_LATENCY
        };
        let seen = Observed::new(now, guess.unwrap_or(micros(unknown)), cold);
        self.by_name.entry(spec.name.clone()).or_insert(seen)
    }

    fn prune(&mut self, now: Timestamp) {
        if self.by_name.len() < self.prune_at.max(FIRST_PRUNE) {
            return;
        }
        self.by_name
            .retain(|_, seen| seen.in_flight > 0 || now.since(seen.last_used) < FORGOTTEN_AFTER);
        self.prune_at = self.by_name.len() * 2;
    }

    fn learn_domain(&mut self, now: Timestamp, domain: &FailureDomain, took: Span) {
        let took = micros(took);
        if let Some(of) = self.by_domain.get_mut(domain) {
            of.learn(now, took);
        } else {
            let first = DomainLatency::new(now, took);
            self.by_domain.insert(domain.clone(), first);
        }
    }

    /// What a leg to the failure domain takes at least, if that was seen lately.
    fn floor(&self, now: Timestamp, spec: &UpstreamSpec) -> f64 {
        let of = self.by_domain.get(&spec.failure_domain);
        of.filter(|of| now.since(of.learnt) < FLOOR_KEPT)
            .map_or(0.0, |of| of.least)
    }

    fn far_cost(&self, spec: &UpstreamSpec) -> f64 {
        if self.is_far(spec) { FAR_COST } else { 1.0 }
    }

    fn is_far(&self, spec: &UpstreamSpec) -> bool {
        let home = self.home.as_ref();
        home.is_some_and(|home| *home != spec.failure_domain)
    }
}

#[cfg(test)]
#[path = "upstreams_tests.rs"]
mod upstreams_tests;
