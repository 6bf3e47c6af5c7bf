//! Quarantine of poison requests, which crash the upstreams that run them.
//!
//! A lost connection counts as an incident of every request that was in flight on it, so
//! one incident only makes a request a suspect: its next attempt is sent to a single
//! upstream first. Any reply clears it, since a poison request never gets one. A second
//! incident makes it poison. See `docs/DESIGN.md`, "Poison requests".

use async_std::channel::Sender;
use indexmap::{IndexMap, IndexSet};

use crate::types::{Fingerprint, Span, Timestamp};

const POISON_INCIDENTS: u32 = 2;
const MAX_SUSPECTS: usize = 4_096;
/// The maximum number of poison requests sent to another instance at a time.
const MAX_POISON_PER_MESSAGE: usize = 64;
/// How long an incident counts.
pub(super) const INCIDENT_TTL: Span = Span::from_secs(600);

/// The suspect and poison requests.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    marks: IndexMap<Fingerprint, Mark>,
    /// The requests whose marks have changed and not yet been shared with other instances.
    unshared: IndexSet<Fingerprint>,
    /// The requests whose marks other instances already have.
    shared: IndexSet<Fingerprint>,
    wake: Option<Sender<()>>,
}

#[derive(Clone, Copy, Debug)]
struct Mark {
    incidents: u32,
    /// When this instance recorded the last incident.
    recorded_at: Timestamp,
}

/// The mark of one request as instances exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SharedMark {
    pub(crate) request: Fingerprint,
    pub(crate) incidents: u32,
}

impl Suspects {
    /// Records that a connection was lost while a leg of the request, sent at `sent`, was in
    /// flight on it without a reply. A leg sent before the last incident was recorded is
    /// part of that incident.
    pub fn crashed(&mut self, now: Timestamp, request: Fingerprint, sent: Timestamp) {
        self.make_room(now);
        let mark = self.marks.entry(request).or_insert(Mark {
            incidents: 0,
            recorded_at: Timestamp(0),
        });
        if mark.incidents > 0 && sent < mark.recorded_at {
            return;
        }
        mark.incidents += 1;
        mark.recorded_at = now;
        self.mark_unshared(request);
    }

    /// Records that an upstream ran the request and replied, which clears its mark.
    pub fn replied(&mut self, _now: Timestamp, request: Fingerprint) {
        if self.marks.is_empty() {
            return;
        }
        if self.marks.swap_remove(&request).is_some() {
            self.mark_unshared(request);
        }
    }

    /// Whether the request must not be sent to any upstream.
    #[must_use]
    pub fn is_poison(&self, now: Timestamp, request: Fingerprint) -> bool {
        self.incidents(now, request) >= POISON_INCIDENTS
    }

    /// Whether the request must be tried on a single upstream first.
    #[must_use]
    pub fn is_suspect(&self, now: Timestamp, request: Fingerprint) -> bool {
        self.incidents(now, request) > 0
    }

    /// Sets the channel that is notified when there are marks to share.
    pub(crate) fn wake_on_unshared(&mut self, wake: Sender<()>) {
        self.wake = Some(wake);
    }

    /// Merges the marks that all instances share. A mark that was shared before and is
    /// missing now was cleared by a reply.
    pub(crate) fn adopt(&mut self, now: Timestamp, marks: &[SharedMark]) {
        let remote: IndexSet<Fingerprint> = marks.iter().map(|mark| mark.request).collect();
        let cleared: Vec<Fingerprint> = self
            .shared
            .iter()
            .filter(|request| !remote.contains(*request) && !self.unshared.contains(*request))
            .copied()
            .collect();
        for request in cleared {
            self.marks.swap_remove(&request);
        }
        for mark in marks {
            self.merge(now, *mark);
        }
        self.shared = remote;
    }

    /// Returns the poison requests, to be refused by other instances as well.
    pub(crate) fn poison_requests(&self, now: Timestamp) -> Vec<Fingerprint> {
        let requests = self.marks.keys().copied();
        requests
            .filter(|request| self.is_poison(now, *request))
            .take(MAX_POISON_PER_MESSAGE)
            .collect()
    }

    /// Marks a request as poison that crashed upstreams of another instance. An existing
    /// poison mark is not refreshed: it would never expire if instances kept sending it to
    /// each other.
    pub(crate) fn mark_poison(&mut self, now: Timestamp, request: Fingerprint) {
        if !self.is_poison(now, request) {
            self.merge(
                now,
                SharedMark {
                    request,
                    incidents: POISON_INCIDENTS,
                },
            );
        }
    }

    /// Takes the changes that have not been shared yet: the current marks, and the requests
    /// that were cleared.
    pub(crate) fn take_unshared(&mut self) -> (Vec<SharedMark>, Vec<Fingerprint>) {
        let mut marked = Vec::new();
        let mut cleared = Vec::new();
        for request in std::mem::take(&mut self.unshared) {
            match self.marks.get(&request) {
                Some(mark) => marked.push(SharedMark {
                    request,
                    incidents: mark.incidents,
                }),
                None if self.shared.contains(&request) => cleared.push(request),
                None => {}
            }
        }
        (marked, cleared)
    }

    /// Puts back changes that could not be shared.
    pub(crate) fn put_back(&mut self, requests: impl IntoIterator<Item = Fingerprint>) {
        self.unshared.extend(requests);
    }

    /// Notifies the listener if there are changes that arrived while it was busy.
    pub(crate) fn wake_if_unshared(&self) {
        if !self.unshared.is_empty()
            && let Some(wake) = &self.wake
        {
            wake.try_send(()).ok();
        }
    }

    fn merge(&mut self, now: Timestamp, shared: SharedMark) {
        self.make_room(now);
        let mark = self.marks.entry(shared.request).or_insert(Mark {
            incidents: 0,
            recorded_at: now,
        });
        if shared.incidents > mark.incidents {
            mark.incidents = shared.incidents;
            mark.recorded_at = now;
        }
    }

    fn incidents(&self, now: Timestamp, request: Fingerprint) -> u32 {
        let mark = self.marks.get(&request);
        mark.filter(|mark| now.since(mark.recorded_at) < INCIDENT_TTL)
            .map_or(0, |mark| mark.incidents)
    }

    fn mark_unshared(&mut self, request: Fingerprint) {
        self.unshared.insert(request);
        if let Some(wake) = &self.wake {
            // If the channel is full, the listener has been notified already.
            wake.try_send(()).ok();
        }
    }

    /// Evicts expired marks, and then the oldest ones, if there is no room for one more.
    fn make_room(&mut self, now: Timestamp) {
        if self.marks.len() < MAX_SUSPECTS {
            return;
        }
        self.marks
            .retain(|_, mark| now.since(mark.recorded_at) < INCIDENT_TTL);
        self.unshared
            .retain(|request| self.marks.contains_key(request));
        while self.marks.len() >= MAX_SUSPECTS {
            let oldest = self.marks.iter().min_by_key(|(_, mark)| mark.recorded_at);
            let Some(oldest) = oldest.map(|(request, _)| *request) else {
                return;
            };
            self.marks.swap_remove(&oldest);
        }
    }
}

#[cfg(test)]
#[path = "suspects_tests.rs"]
mod suspects_tests;
