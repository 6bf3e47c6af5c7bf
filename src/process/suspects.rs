//! Quarantine of poison requests, which crash the upstreams that run them.
//!
//! A lost connection counts as an incident of every request that was in flight on it, so
//! one incident only makes a request a suspect: its next attempt is sent to a single
//! upstream first. Any reply clears it, since a poison request never gets one. A second
//! incident makes it poison: it is refused, but for a rare trial, whose reply clears it as
//! well. An incident does not count once its upstreams show that they did not crash. See
//! `docs/DESIGN.md`, "Poison requests".

use async_std::channel::Sender;
use indexmap::{IndexMap, IndexSet};

use super::mark::{INCIDENT_TTL, LastReplies, Loss, Mark};
use super::quarantine::{Quarantine, TRIAL_TURN};
use super::shared_marks::{AddressedReport, Audience, MarkReport, SharedMark};
use crate::types::{Fingerprint, Span, Timestamp, UpstreamName};

const POISON_INCIDENTS: u32 = 2;
const MAX_SUSPECTS: usize = 4_096;
/// This part of the marks is evicted at a time, so that eviction is rare.
const EVICTED_DIVISOR: usize = 8;
/// The maximum number of marks sent to another instance at a time.
const MAX_MARKS_PER_MESSAGE: usize = 64;
const MAX_UPSTREAMS: usize = 16_384;
/// How long after its second incident a poison request is tried again.
const FIRST_TRIAL_AFTER: Span = Span::from_secs(10);
/// The same after each further incident. A request that crashes whatever runs it takes few upstreams
/// until its incidents expire.
const LATER_TRIAL_AFTER: Span = Span::from_secs(120);
/// How long after an incident its upstreams are checked.
const CHECK_PERIOD: Span = Span::from_secs(30);
/// The maximum number of losses whose upstreams are checked at a time.
const MAX_LOSSES_TO_CHECK: usize = 16;
/// Most requests that lose a connection have a reply within this time, from another upstream or for
/// another attempt of their caller.
const SETTLE_TIME: Span = Span::from_secs(1);
/// How often the instances that refuse a request are told that it is not poison.
const RESHARE_INTERVAL: Span = Span::from_secs(5);

/// The suspect and poison requests.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    pub(super) marks: IndexMap<Fingerprint, Mark>,
    last_replies: LastReplies,
    /// The requests whose marks have changed and not yet been shared with other instances.
    pub(super) unshared: IndexSet<Fingerprint>,
    /// The requests in the object that all instances share.
    pub(super) in_object: IndexSet<Fingerprint>,
    wake: Option<Sender<()>>,
}

impl Suspects {
    /// Records that the connection to an upstream was lost while a leg of the request, sent at
    /// `sent`, was in flight on it without a reply.
    pub fn crashed(
        &mut self,
        now: Timestamp,
        request: Fingerprint,
        sent: Timestamp,
        upstream: &UpstreamName,
    ) {
        self.make_room(now);
        let mark = self.marks.entry(request).or_default();
        let upstream = upstream.clone();
        mark.add_loss(request, sent, Loss { upstream, at: now });
        self.mark_unshared(request);
    }

    /// Records that an upstream ran the request and replied, which clears its mark.
    pub fn replied(&mut self, now: Timestamp, request: Fingerprint) {
        let Some(mark) = self.marks.get_mut(&request) else {
            return;
        };
        if mark.shared_at.is_none() {
            // Other instances know of it from the shared object, if at all.
            self.marks.swap_remove(&request);
            self.mark_unshared(request);
        } else if mark.merge_reply(now) {
            self.mark_unshared(request);
        }
    }

    /// Records that an upstream replied to a leg of any request which was sent at `sent`: it has
    /// not crashed since the losses before.
    pub fn survived(&mut self, sent: Timestamp, upstream: &UpstreamName) {
        if self.marks.is_empty() {
            self.last_replies.clear();
            return;
        }
        if let Some(last) = self.last_replies.get_mut(upstream) {
            *last = sent.max(*last);
            return;
        }
        if self.last_replies.len() >= MAX_UPSTREAMS {
            self.last_replies.clear();
        }
        self.last_replies.insert(upstream.clone(), sent);
    }

    /// Whether the request must not be sent to any upstream, but for a trial.
    #[must_use]
    pub fn is_poison(&self, now: Timestamp, request: Fingerprint) -> bool {
        self.quarantine(now, request).is_some()
    }

    /// Whether the request must be tried on a single upstream first.
    #[must_use]
    pub fn is_suspect(&self, now: Timestamp, request: Fingerprint) -> bool {
        self.counted(now, request).1 > 0
    }

    /// Returns the quarantine of a poison request.
    pub(crate) fn quarantine(&self, now: Timestamp, request: Fingerprint) -> Option<Quarantine> {
        let (last, count) = self.counted(now, request);
        let pause = match count.checked_sub(POISON_INCIDENTS)? {
            0 => FIRST_TRIAL_AFTER,
            _ => LATER_TRIAL_AFTER,
        };
        Some(Quarantine {
            trials_from: last + pause,
        })
    }

    /// Returns the upstreams that poison requests lost lately and that have not replied since.
    pub(crate) fn upstreams_to_check(&self, now: Timestamp) -> IndexSet<UpstreamName> {
        let poison = self.marks.iter();
        let poison = poison.filter(|(request, _)| self.is_poison(now, **request));
        let incidents = poison.flat_map(|(_, mark)| mark.incidents());
        let recent = incidents.filter(|incident| now.since(incident.at) < CHECK_PERIOD);
        let losses = recent.flat_map(|incident| &incident.losses);
        let unanswered = losses.filter(|loss| !loss.is_survived(&self.last_replies));
        let names = unanswered.map(|loss| loss.upstream.clone());
        names.take(MAX_LOSSES_TO_CHECK).collect()
    }

    /// Begins a trial of a poison request, unless one is under way.
    pub(crate) fn begin_trial(&mut self, now: Timestamp, request: Fingerprint) -> bool {
        let mark = self.marks.get_mut(&request);
        let Some(mark) = mark.filter(|mark| now >= mark.next_trial) else {
            return false;
        };
        mark.next_trial = now + TRIAL_TURN;
        true
    }

    /// Sets the channel that is notified when there are marks to share.
    pub(crate) fn wake_on_unshared(&mut self, wake: Sender<()>) {
        self.wake = Some(wake);
    }

    /// Returns the poison requests, to be refused by other instances as well. Those whose incidents
    /// are known here are reported first: whoever hears of the verdict has to be able to check it.
    pub(crate) fn poison_requests(&self, now: Timestamp) -> Vec<Fingerprint> {
        let is_told = |mark: &Mark| mark.shared_at.is_some() || !mark.is_explained();
        let told = self.marks.iter().filter(|(_, mark)| is_told(mark));
        told.map(|(request, _)| *request)
            .filter(|request| self.is_poison(now, *request))
            .take(MAX_MARKS_PER_MESSAGE)
            .collect()
    }

    /// Marks a request as poison that another instance refuses, unless more is known of it here.
    /// The other instance is told if it is not poison by what is known here. An existing mark is not
    /// refreshed: it would never expire if instances kept sending it to each other.
    pub(crate) fn mark_poison(&mut self, now: Timestamp, request: Fingerprint) {
        let is_poison = self.is_poison(now, request);
        if let Some(mark) = self.marks.get_mut(&request) {
            let told = mark.shared_at.unwrap_or_default();
            if !is_poison && now.since(told) > RESHARE_INTERVAL {
                mark.is_known_to_all = true;
                mark.shared_at = Some(now);
                self.mark_unshared(request);
            }
            return;
        }
        self.make_room(now);
        let mark = self.marks.entry(request).or_default();
        mark.add_unexplained(now, POISON_INCIDENTS);
    }

    /// Returns the marks that have changed, for instances that have not heard of them. A first incident
    /// that no other instance knows waits for a reply to the request, or a sign that the upstreams are
    /// alive, since most of them come to nothing.
    pub(crate) fn take_reports(&mut self, now: Timestamp) -> Vec<AddressedReport> {
        let mut reports = Vec::new();
        for request in std::mem::take(&mut self.unshared) {
            let (_, counted) = self.counted(now, request);
            let Some(mark) = self.marks.get_mut(&request) else {
                continue;
            };
            let was_poison = mark.incidents().len() >= POISON_INCIDENTS as usize;
            let is_own_suspect = mark.shared_at.is_none() && !was_poison;
            if is_own_suspect && counted == 0 {
                continue;
            }
            let is_unsettled = is_own_suspect && now.since(mark.changed_at()) < SETTLE_TIME;
            if is_unsettled || reports.len() >= MAX_MARKS_PER_MESSAGE {
                self.unshared.insert(request);
                continue;
            }
            mark.shared_at = Some(now);
            mark.is_known_to_all |= was_poison;
            let audience = if mark.is_known_to_all {
                Audience::All
            } else {
                Audience::Collector
            };
            let report = MarkReport::new(now, request, mark);
            reports.extend(report.map(|report| AddressedReport { report, audience }));
        }
        reports
    }

    /// Merges marks that another instance reports, and shares those that are new here.
    pub(crate) fn merge_reports(&mut self, now: Timestamp, reports: Vec<MarkReport>) {
        for report in reports {
            self.make_room(now);
            let request = report.request;
            let mark = self.marks.entry(request).or_default();
            let is_cleared = report
                .replied_at(now)
                .is_some_and(|at| mark.merge_reply(at));
            let is_incident_new = mark.merge(report.incidents(now));
            mark.shared_at.get_or_insert(now);
            if is_cleared || is_incident_new {
                self.mark_unshared(request);
            }
        }
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
            // If the channel is full, the listener has been notified already.
            wake.try_send(()).ok();
        }
    }

    /// Merges the number of incidents that another instance recorded.
    pub(super) fn merge_count(&mut self, now: Timestamp, shared: SharedMark) {
        self.make_room(now);
        let mark = self.marks.entry(shared.request).or_default();
        mark.add_unexplained(now, shared.incidents);
    }

    pub(super) fn counted(&self, now: Timestamp, request: Fingerprint) -> (Timestamp, u32) {
        let mark = self.marks.get(&request);
        mark.map_or((Timestamp(0), 0), |mark| {
            mark.counted(now, &self.last_replies)
        })
    }

    fn mark_unshared(&mut self, request: Fingerprint) {
        self.unshared.insert(request);
        self.wake_if_unshared();
    }

    /// Evicts expired marks, and then the oldest ones, if there is no room for one more.
    fn make_room(&mut self, now: Timestamp) {
        if self.marks.len() < MAX_SUSPECTS {
            return;
        }
        self.marks
            .retain(|_, mark| now.since(mark.changed_at()) < INCIDENT_TTL);
        self.unshared
            .retain(|request| self.marks.contains_key(request));
        if self.marks.len() >= MAX_SUSPECTS {
            let mut times: Vec<Timestamp> = self.marks.values().map(Mark::changed_at).collect();
            times.sort_unstable();
            let oldest_kept = times[MAX_SUSPECTS / EVICTED_DIVISOR];
            self.marks.retain(|_, mark| mark.changed_at() > oldest_kept);
        }
    }
}

#[cfg(test)]
#[path = "suspects_tests.rs"]
mod suspects_tests;
