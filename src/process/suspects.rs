//! Requests that crashed the upstreams that ran them.
//!
//! A lost connection counts against every request that was under way on it, so one
//! incident makes a request a suspect and nothing more: its next attempt asks a single
//! upstream first. Any reply clears it, since a poisonous request never gets one; a
//! second incident makes it poison. See `docs/DESIGN.md`, "Poison requests".

use async_std::channel::Sender;
use indexmap::{IndexMap, IndexSet};

use crate::types::{Fingerprint, Span, Timestamp};

const INCIDENTS_OF_POISON: u32 = 2;
const MOST_SUSPECTS: usize = 4_096;
/// How many requests that are refused are told to another instance at a time.
const MOST_TOLD: usize = 64;
/// How long an incident is remembered.
pub(super) const REMEMBERED_FOR: Span = Span::from_secs(600);

/// The requests under suspicion.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    marks: IndexMap<Fingerprint, Mark>,
    /// The requests whose marks other instances are yet to be told of.
    news: IndexSet<Fingerprint>,
    /// The requests whose marks other instances know.
    shared: IndexSet<Fingerprint>,
    wake: Option<Sender<()>>,
}

#[derive(Clone, Copy, Debug)]
struct Mark {
    incidents: u32,
    /// When the last incident became known here.
    known: Timestamp,
}

/// What instances tell each other about one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SharedMark {
    pub(crate) request: Fingerprint,
    pub(crate) incidents: u32,
}

impl Suspects {
    /// Notes that a connection was lost while the request, sent at `sent`, was under way
    /// on it and had no reply. Legs that were sent before an incident was known belong
    /// to that incident.
    pub fn crashed(&mut self, now: Timestamp, request: Fingerprint, sent: Timestamp) {
        self.forget_old(now);
        let mark = self.marks.entry(request).or_insert(Mark {
            incidents: 0,
            known: Timestamp(0),
        });
        if mark.incidents > 0 && sent < mark.known {
            return;
        }
        mark.incidents += 1;
        mark.known = now;
        self.tell(request);
    }

    /// Notes that an upstream ran the request and replied.
    pub fn replied(&mut self, _now: Timestamp, request: Fingerprint) {
        if self.marks.is_empty() {
            return;
        }
        if self.marks.swap_remove(&request).is_some() {
            self.tell(request);
        }
    }

    /// Whether the request may not be sent to any upstream.
    #[must_use]
    pub fn is_poison(&self, now: Timestamp, request: Fingerprint) -> bool {
        self.incidents(now, request) >= INCIDENTS_OF_POISON
    }

    /// Whether the request is to be tried on one upstream first.
    #[must_use]
    pub fn is_suspect(&self, now: Timestamp, request: Fingerprint) -> bool {
        self.incidents(now, request) > 0
    }

    /// Has `wake` told whenever there is something to share.
    pub(crate) fn wake_on_news(&mut self, wake: Sender<()>) {
        self.wake = Some(wake);
    }

    /// Takes over what other instances know: marks that were there and are gone now
    /// were cleared by a reply.
    pub(crate) fn adopt(&mut self, now: Timestamp, marks: &[SharedMark]) {
        let known: IndexSet<Fingerprint> = marks.iter().map(|mark| mark.request).collect();
        let cleared: Vec<Fingerprint> = self
            .shared
            .iter()
            .filter(|request| !known.contains(*request) && !self.news.contains(*request))
            .copied()
            .collect();
        for request in cleared {
            self.marks.swap_remove(&request);
        }
        for mark in marks {
            self.learn(now, *mark);
        }
        self.shared = known;
    }

    /// The requests that are refused, for other instances to refuse as well.
    pub(crate) fn condemned(&self, now: Timestamp) -> Vec<Fingerprint> {
        let requests = self.marks.keys().copied();
        requests
            .filter(|request| self.is_poison(now, *request))
            .take(MOST_TOLD)
            .collect()
    }

    /// Refuses a request that crashed upstreams elsewhere. What is known here of the
    /// request stands: a mark that is told in circles would never grow old.
    pub(crate) fn condemn(&mut self, now: Timestamp, request: Fingerprint) {
        if !self.is_poison(now, request) {
            self.learn(
                now,
                SharedMark {
                    request,
                    incidents: INCIDENTS_OF_POISON,
                },
            );
        }
    }

    /// Takes what others have not been told: the marks as they are now, and the requests
    /// that were cleared.
    pub(crate) fn take_news(&mut self) -> (Vec<SharedMark>, Vec<Fingerprint>) {
        let mut marked = Vec::new();
        let mut cleared = Vec::new();
        for request in std::mem::take(&mut self.news) {
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

    /// Puts back news that could not be told.
    pub(crate) fn put_back(&mut self, requests: impl IntoIterator<Item = Fingerprint>) {
        self.news.extend(requests);
    }

    /// Has the listener told if news came while it was busy.
    pub(crate) fn wake_for_news(&self) {
        if !self.news.is_empty()
            && let Some(wake) = &self.wake
        {
            wake.try_send(()).ok();
        }
    }

    fn learn(&mut self, now: Timestamp, shared: SharedMark) {
        self.forget_old(now);
        let mark = self.marks.entry(shared.request).or_insert(Mark {
            incidents: 0,
            known: now,
        });
        if shared.incidents > mark.incidents {
            mark.incidents = shared.incidents;
            mark.known = now;
        }
    }

    fn incidents(&self, now: Timestamp, request: Fingerprint) -> u32 {
        let mark = self.marks.get(&request);
        mark.filter(|mark| now.since(mark.known) < REMEMBERED_FOR)
            .map_or(0, |mark| mark.incidents)
    }

    fn tell(&mut self, request: Fingerprint) {
        self.news.insert(request);
        if let Some(wake) = &self.wake {
            // A full queue of one has woken the listener already.
            wake.try_send(()).ok();
        }
    }

    /// Makes room for one more mark.
    fn forget_old(&mut self, now: Timestamp) {
        if self.marks.len() < MOST_SUSPECTS {
            return;
        }
        self.marks
            .retain(|_, mark| now.since(mark.known) < REMEMBERED_FOR);
        self.news.retain(|request| self.marks.contains_key(request));
        while self.marks.len() >= MOST_SUSPECTS {
            let oldest = self.marks.iter().min_by_key(|(_, mark)| mark.known);
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
