//! What instances tell each other of replicas that do not answer.
//!
//! With many instances each sends a replica a leg every few seconds, so none of them learns
//! in time that one has gone dark; together they do within a second. One instance alone may
//! be the one that is cut off, so some have to agree.

use indexmap::IndexMap;

use crate::types::{InstanceName, Span, Timestamp, UpstreamName};

/// So many instances have to find a replica silent.
const MUST_AGREE: usize = 3;
/// Reports count for this long: two levels of followers pass them on within 0.8 s.
const REPORTED_FOR: Span = Span::from_millis(1_500);
/// A replica that was found silent gets legs again after this time, since nobody would see
/// it come back otherwise; replicas were seen to be dark for three to five seconds.
const SILENT_FOR: Span = Span::from_secs(3);
/// Bounds the table and the messages; all replicas of a few services.
const MOST_UPSTREAMS: usize = 1_024;

/// One instance found a replica silent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SilenceReport {
    pub(crate) upstream: UpstreamName,
    pub(crate) by: InstanceName,
    pub(crate) age: Span,
}

/// Enough instances found a replica silent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Silent {
    pub(crate) upstream: UpstreamName,
    pub(crate) age: Span,
}

/// The replicas that instances found silent lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct Silence {
    reports: IndexMap<UpstreamName, IndexMap<InstanceName, Timestamp>>,
    found: IndexMap<UpstreamName, Timestamp>,
}

impl Silence {
    /// Notes that an instance found a replica silent at that time.
    pub(crate) fn report(&mut self, upstream: UpstreamName, by: InstanceName, at: Timestamp) {
        let known = self.reports.contains_key(&upstream) || self.found.contains_key(&upstream);
        if !known && self.reports.len() >= MOST_UPSTREAMS {
            return;
        }
        let reports = self.reports.entry(upstream).or_default();
        let last = reports.entry(by).or_insert(at);
        *last = at.max(*last);
    }

    /// Notes that others agreed on a replica; whether that is new here.
    pub(crate) fn agree(&mut self, upstream: UpstreamName, at: Timestamp) -> bool {
        let known = self.found.get(&upstream).copied();
        let is_new = known.is_none_or(|known| at > known + REPORTED_FOR);
        if is_new && (known.is_some() || self.found.len() < MOST_UPSTREAMS) {
            self.reports.swap_remove(&upstream);
            self.found.insert(upstream, at);
            return true;
        }
        false
    }

    /// The replicas on which enough instances agree by now and did not before.
    pub(crate) fn judge(&mut self, now: Timestamp) -> Vec<Silent> {
        self.forget(now);
        let agreed = |(upstream, reports): (&UpstreamName, &IndexMap<_, Timestamp>)| {
            let last = reports.values().max().copied()?;
            (reports.len() >= MUST_AGREE).then(|| (upstream.clone(), last))
        };
        let agreed: Vec<_> = self.reports.iter().filter_map(agreed).collect();
        let mut silent = Vec::new();
        for (upstream, at) in agreed {
            self.reports.swap_remove(&upstream);
            if self.agree(upstream.clone(), at) {
                let age = now.since(at);
                silent.push(Silent { upstream, age });
            }
        }
        silent
    }

    /// What to tell the instance that this one follows.
    pub(crate) fn reports(&self, now: Timestamp) -> Vec<SilenceReport> {
        let all = self.reports.iter().flat_map(|(upstream, reports)| {
            reports.iter().map(|(by, at)| SilenceReport {
                upstream: upstream.clone(),
                by: by.clone(),
                age: now.since(*at),
            })
        });
        all.filter(|report| report.age < REPORTED_FOR).collect()
    }

    /// What to tell the instances that follow this one.
    pub(crate) fn found(&self, now: Timestamp) -> Vec<Silent> {
        let all = self.found.iter().map(|(upstream, at)| Silent {
            upstream: upstream.clone(),
            age: now.since(*at),
        });
        all.filter(|silent| silent.age < SILENT_FOR).collect()
    }

    fn forget(&mut self, now: Timestamp) {
        for reports in self.reports.values_mut() {
            reports.retain(|_, at| now.since(*at) < REPORTED_FOR);
        }
        self.reports.retain(|_, reports| !reports.is_empty());
        self.found.retain(|_, at| now.since(*at) < SILENT_FOR);
    }
}

impl Silent {
    /// Until when the replica gets legs only where its shard has no other.
    pub(crate) fn until(&self, now: Timestamp) -> Timestamp {
        now + Span(SILENT_FOR.0.saturating_sub(self.age.0))
    }
}

#[cfg(test)]
#[path = "silence_tests.rs"]
mod silence_tests;
