//! The incidents of one request, and what they prove.
//!
//! A lost connection may mean that the request crashed the upstream, or that the upstream failed
//! the request. The difference shows soon after: an upstream that replies to a leg which was sent
//! after the loss did not crash. See `docs/DESIGN.md`, "Poison requests".

use std::hash::Hasher;

use indexmap::IndexMap;
use siphasher::sip::SipHasher13;

use crate::types::{Fingerprint, Span, Timestamp, UpstreamName};

/// How long an incident counts, and how long a reply protects from older reports of incidents.
pub(super) const INCIDENT_TTL: Span = Span::from_secs(600);
/// Incidents of two instances within this time are one: neither could have known of the other's.
const SAME_INCIDENT: Span = Span::from_secs(1);
const MAX_INCIDENTS: usize = 8;
/// The losses that are kept of one incident. A query to many shards may lose hundreds of legs.
const MAX_LOSSES: usize = 4;

/// When the last leg was sent to which an upstream replied.
pub(super) type LastReplies = IndexMap<UpstreamName, Timestamp>;

/// A leg that was lost together with its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Loss {
    pub(crate) upstream: UpstreamName,
    pub(crate) at: Timestamp,
}

impl Loss {
    /// Whether the upstream has replied to a leg that was sent after the loss.
    pub(super) fn is_survived(&self, last_replies: &LastReplies) -> bool {
        let sent = last_replies.get(&self.upstream);
        sent.is_some_and(|sent| *sent > self.at)
    }
}

/// Losses of legs that were in flight together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Incident {
    /// The same at all instances.
    pub(crate) id: u64,
    /// When the first leg was lost.
    pub(crate) at: Timestamp,
    /// Empty if another instance did not say which legs were lost.
    pub(crate) losses: Vec<Loss>,
}

impl Incident {
    fn counts(&self, now: Timestamp, last_replies: &LastReplies) -> bool {
        now.since(self.at) < INCIDENT_TTL && !self.upstreams_survived(last_replies)
    }

    /// Whether every upstream of the incident has replied to a leg that was sent after its loss.
    fn upstreams_survived(&self, last_replies: &LastReplies) -> bool {
        let mut losses = self.losses.iter();
        !self.losses.is_empty() && losses.all(|loss| loss.is_survived(last_replies))
    }
}

/// What is known of one request.
#[derive(Clone, Debug, Default)]
pub(super) struct Mark {
    /// The incidents since the last reply, oldest first.
    incidents: Vec<Incident>,
    /// When an upstream last replied to the request.
    pub(super) replied_at: Option<Timestamp>,
    /// When other instances were last told of the mark.
    pub(super) shared_at: Option<Timestamp>,
    /// Whether all instances were told that the request is poison, and have to be told of a reply.
    pub(super) is_known_to_all: bool,
    /// No trial begins before this time.
    pub(super) next_trial: Timestamp,
}

impl Mark {
    pub(super) fn incidents(&self) -> &[Incident] {
        &self.incidents
    }

    /// Whether the losses of an incident are known here.
    pub(super) fn is_explained(&self) -> bool {
        let mut incidents = self.incidents.iter();
        incidents.any(|incident| !incident.losses.is_empty())
    }

    /// Records a lost leg. A leg that was sent before the last incident became known is part of
    /// that incident.
    pub(super) fn add_loss(&mut self, request: Fingerprint, sent: Timestamp, loss: Loss) {
        match self.incidents.last_mut() {
            Some(last) if sent < last.at => {
                if last.losses.len() < MAX_LOSSES {
                    last.losses.push(loss);
                }
            }
            _ => {
                let id = incident_id(request, &loss);
                let at = loss.at;
                let losses = vec![loss];
                self.push(Incident { id, at, losses });
            }
        }
    }

    /// Adds incidents whose losses are not known until there are `count`.
    pub(super) fn add_unexplained(&mut self, now: Timestamp, count: u32) {
        let known = u32::try_from(self.incidents.len()).unwrap_or(u32::MAX);
        for number in known..count {
            let (id, losses) = (u64::from(number), Vec::new());
            self.push(Incident {
                id,
                at: now,
                losses,
            });
        }
    }

    /// Merges the incidents that another instance reports. Returns whether any is new here.
    pub(super) fn merge(&mut self, reported: Vec<Incident>) -> bool {
        let ids: Vec<u64> = reported.iter().map(|incident| incident.id).collect();
        // Each of the incidents that only this instance knows may be one of the reported ones.
        let mut own: Vec<Timestamp> = self
            .incidents
            .iter()
            .filter(|known| !known.losses.is_empty() && !ids.contains(&known.id))
            .map(|known| known.at)
            .collect();
        let mut is_any_new = false;
        for incident in reported {
            let is_known = self.incidents.iter().any(|known| known.id == incident.id);
            let is_old = self.replied_at.is_some_and(|at| at >= incident.at);
            if is_known || is_old {
                continue;
            }
            let is_same =
                |at: &Timestamp| at.since(incident.at).max(incident.at.since(*at)) < SAME_INCIDENT;
            if let Some(same) = own.iter().position(is_same) {
                own.swap_remove(same);
                continue;
            }
            self.incidents.retain(|known| !known.losses.is_empty());
            self.push(incident);
            is_any_new = true;
        }
        self.incidents.sort_by_key(|known| known.at);
        is_any_new
    }

    /// Records a reply to the request at this time. Returns whether it is news.
    pub(super) fn merge_reply(&mut self, at: Timestamp) -> bool {
        if self.replied_at.is_some_and(|known| known >= at) {
            return false;
        }
        self.replied_at = Some(at);
        let before = self.incidents.len();
        self.incidents.retain(|incident| incident.at > at);
        self.incidents.len() < before
    }

    /// Returns the time and the number of the incidents that count against the request.
    pub(super) fn counted(&self, now: Timestamp, last_replies: &LastReplies) -> (Timestamp, u32) {
        let counting = self
            .incidents
            .iter()
            .filter(|incident| incident.counts(now, last_replies));
        counting.fold((Timestamp(0), 0), |(last, count), incident| {
            (last.max(incident.at), count + 1)
        })
    }

    /// When the mark last changed, by which the oldest are evicted.
    pub(super) fn changed_at(&self) -> Timestamp {
        let last = self.incidents.last().map(|incident| incident.at);
        last.max(self.replied_at).unwrap_or_default()
    }

    fn push(&mut self, incident: Incident) {
        if self.incidents.len() >= MAX_INCIDENTS {
            self.incidents.remove(0);
        }
        self.incidents.push(incident);
    }
}

/// Returns an id by which instances recognize an incident that they hear of more than once.
fn incident_id(request: Fingerprint, first_loss: &Loss) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(request.0);
    hasher.write(first_loss.upstream.as_str().as_bytes());
    hasher.write_u64(first_loss.at.0);
    hasher.finish()
}
