//! Reports between instances of replicas that do not answer.
//!
//! In a large fleet each instance sends a replica a leg only every few seconds, too rarely
//! to notice in time that it no longer answers; together the instances notice within a
//! second. A single instance may itself be the one that is cut off, so several have to
//! agree.

use indexmap::IndexMap;

use crate::types::{InstanceName, Span, Timestamp, UpstreamName};

/// How many instances have to report a replica as silent.
const MIN_REPORTERS: usize = 3;
/// How long a report counts: two levels of followers pass it on within 0.8 s.
const REPORT_TTL: Span = Span::from_millis(1_500);
/// How long a silent replica is avoided. It then gets legs again, since otherwise no
/// instance would notice its return; replicas were seen to be silent for three to five
/// seconds.
const AVOID_FOR: Span = Span::from_secs(3);
/// Bounds the table and the messages; enough for all replicas of a few services.
const MAX_UPSTREAMS: usize = 1_024;

/// One instance's report that a replica is silent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SilenceReport {
    pub(crate) upstream: UpstreamName,
    pub(crate) by: InstanceName,
    pub(crate) age: Span,
}

/// A replica that enough instances reported as silent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SilentReplica {
    pub(crate) upstream: UpstreamName,
    pub(crate) age: Span,
}

/// The replicas that were recently reported or agreed to be silent.
#[derive(Clone, Debug, Default)]
pub(crate) struct SilenceTracker {
    reports: IndexMap<UpstreamName, IndexMap<InstanceName, Timestamp>>,
    agreed: IndexMap<UpstreamName, Timestamp>,
}

impl SilenceTracker {
    /// Records that an instance found a replica silent at that time.
    pub(crate) fn report(&mut self, upstream: UpstreamName, by: InstanceName, at: Timestamp) {
        let known = self.reports.contains_key(&upstream) || self.agreed.contains_key(&upstream);
        if !known && self.reports.len() >= MAX_UPSTREAMS {
            return;
        }
        let reports = self.reports.entry(upstream).or_default();
        let last = reports.entry(by).or_insert(at);
        *last = at.max(*last);
    }

    /// Records that enough instances agree on a replica. Returns whether that is new here.
    pub(crate) fn accept_agreement(&mut self, upstream: UpstreamName, at: Timestamp) -> bool {
        let known = self.agreed.get(&upstream).copied();
        let is_new = known.is_none_or(|known| at > known + REPORT_TTL);
        if is_new && (known.is_some() || self.agreed.len() < MAX_UPSTREAMS) {
            self.reports.swap_remove(&upstream);
            self.agreed.insert(upstream, at);
            return true;
        }
        false
    }

    /// Returns the replicas on which enough instances have newly come to agree.
    pub(crate) fn take_newly_agreed(&mut self, now: Timestamp) -> Vec<SilentReplica> {
        self.remove_expired(now);
        let agreed = |(upstream, reports): (&UpstreamName, &IndexMap<_, Timestamp>)| {
            let last = reports.values().max().copied()?;
            (reports.len() >= MIN_REPORTERS).then(|| (upstream.clone(), last))
        };
        let agreed: Vec<_> = self.reports.iter().filter_map(agreed).collect();
        let mut silent = Vec::new();
        for (upstream, at) in agreed {
            self.reports.swap_remove(&upstream);
            if self.accept_agreement(upstream.clone(), at) {
                let age = now.since(at);
                silent.push(SilentReplica { upstream, age });
            }
        }
        silent
    }

    /// Returns the reports to send to the parent.
    pub(crate) fn reports(&self, now: Timestamp) -> Vec<SilenceReport> {
        let all = self.reports.iter().flat_map(|(upstream, reports)| {
            reports.iter().map(|(by, at)| SilenceReport {
                upstream: upstream.clone(),
                by: by.clone(),
                age: now.since(*at),
            })
        });
        all.filter(|report| report.age < REPORT_TTL).collect()
    }

    /// Returns the agreed replicas to send to the followers.
    pub(crate) fn agreed(&self, now: Timestamp) -> Vec<SilentReplica> {
        let all = self.agreed.iter().map(|(upstream, at)| SilentReplica {
            upstream: upstream.clone(),
            age: now.since(*at),
        });
        all.filter(|silent| silent.age < AVOID_FOR).collect()
    }

    fn remove_expired(&mut self, now: Timestamp) {
        for reports in self.reports.values_mut() {
            reports.retain(|_, at| now.since(*at) < REPORT_TTL);
        }
        self.reports.retain(|_, reports| !reports.is_empty());
        self.agreed.retain(|_, at| now.since(*at) < AVOID_FOR);
    }
}

impl SilentReplica {
    /// Returns until when the replica gets legs only where its shard has no other.
    pub(crate) fn until(&self, now: Timestamp) -> Timestamp {
        now + Span(AVOID_FOR.0.saturating_sub(self.age.0))
    }
}

#[cfg(test)]
#[path = "silence_tests.rs"]
mod silence_tests;
