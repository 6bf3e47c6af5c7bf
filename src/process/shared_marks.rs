//! The marks of requests as instances share them: as reports between instances, or as numbers of
//! incidents in one object of the platform.

use indexmap::IndexSet;

use super::mark::{Incident, Loss, Mark};
use super::suspects::Suspects;
use crate::types::{Fingerprint, Span, Timestamp, UpstreamName};

/// The mark of one request in the object that all instances share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SharedMark {
    pub(crate) request: Fingerprint,
    pub(crate) incidents: u32,
}

/// The mark of one request as an instance reports it to others. Times are ages, since instances
/// have no common clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct MarkReport {
    pub(crate) request: Fingerprint,
    /// The time since the last reply to the request.
    pub(crate) replied: Option<Span>,
    pub(crate) incidents: Vec<IncidentReport>,
}

/// Which instances a report is meant for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Audience {
    /// All instances have to refuse the request, or to stop refusing it.
    All,
    /// In a large fleet only the one that collects the incidents of the request.
    Collector,
}

/// A report that has not been sent yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AddressedReport {
    pub(crate) report: MarkReport,
    pub(crate) audience: Audience,
}

/// An incident since the last reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct IncidentReport {
    pub(crate) id: u64,
    pub(crate) age: Span,
    /// The upstreams whose connections were lost, and how long ago.
    pub(crate) losses: Vec<(UpstreamName, Span)>,
}

impl MarkReport {
    /// Returns the report of a mark, if this instance has anything of its own to say.
    pub(super) fn new(now: Timestamp, request: Fingerprint, mark: &Mark) -> Option<Self> {
        let explained = mark.incidents().iter();
        let explained = explained.filter(|incident| !incident.losses.is_empty());
        let report = Self {
            request,
            replied: mark.replied_at.map(|at| now.since(at)),
            incidents: explained
                .map(|incident| IncidentReport::new(now, incident))
                .collect(),
        };
        let has_content = report.replied.is_some() || !report.incidents.is_empty();
        has_content.then_some(report)
    }

    /// Returns the names of the upstreams whose connections were lost, for the log.
    pub(crate) fn lost_upstreams(&self) -> String {
        let losses = self.incidents.iter().flat_map(|incident| &incident.losses);
        let names: Vec<&str> = losses.map(|(upstream, _)| upstream.as_str()).collect();
        names.join(" ")
    }

    pub(super) fn replied_at(&self, now: Timestamp) -> Option<Timestamp> {
        self.replied.map(|age| now - age)
    }

    pub(super) fn incidents(self, now: Timestamp) -> Vec<Incident> {
        let incidents = self.incidents.into_iter();
        incidents.map(|report| report.incident(now)).collect()
    }
}

impl IncidentReport {
    fn new(now: Timestamp, incident: &Incident) -> Self {
        let losses = incident.losses.iter();
        Self {
            id: incident.id,
            age: now.since(incident.at),
            losses: losses
                .map(|loss| (loss.upstream.clone(), now.since(loss.at)))
                .collect(),
        }
    }

    fn incident(self, now: Timestamp) -> Incident {
        let losses = self.losses.into_iter();
        Incident {
            id: self.id,
            at: now - self.age,
            losses: losses
                .map(|(upstream, age)| Loss {
                    upstream,
                    at: now - age,
                })
                .collect(),
        }
    }
}

impl Suspects {
    /// Merges the marks of the object that all instances share. A mark that was there before and is
    /// missing now was cleared by a reply.
    pub(crate) fn adopt(&mut self, now: Timestamp, marks: &[SharedMark]) {
        let remote: IndexSet<Fingerprint> = marks.iter().map(|mark| mark.request).collect();
        let cleared: Vec<Fingerprint> = self
            .in_object
            .iter()
            .filter(|request| !remote.contains(*request) && !self.unshared.contains(*request))
            .copied()
            .collect();
        for request in cleared {
            self.marks.swap_remove(&request);
        }
        for mark in marks {
            self.merge_count(now, *mark);
        }
        self.in_object = remote;
    }

    /// Takes the changes that are not in the shared object yet: the current marks, and the requests
    /// that were cleared.
    pub(crate) fn take_unshared(&mut self) -> (Vec<SharedMark>, Vec<Fingerprint>) {
        let mut marked = Vec::new();
        let mut cleared = Vec::new();
        for request in std::mem::take(&mut self.unshared) {
            match self.marks.get(&request) {
                Some(mark) => marked.push(SharedMark {
                    request,
                    incidents: u32::try_from(mark.incidents().len()).unwrap_or(u32::MAX),
                }),
                None if self.in_object.contains(&request) => cleared.push(request),
                None => {}
            }
        }
        (marked, cleared)
    }
}
