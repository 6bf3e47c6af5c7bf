//! Follows another instance for updates, and probes for instances that are not present.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::task::sleep;
use futures::future::join_all;
use indexmap::IndexMap;
use rand::seq::IndexedRandom;

use super::{FollowReason, FollowRequest, Freshness, Node, Parent, Updates};
use crate::connection::PeerError;
use crate::process::member_metrics::UpdateOutcome;
use crate::process::{PeerRequest, PeerResponse};
use crate::types::{Incarnation, Position, Span, Timestamp};

/// An instance that does not answer within this time is unresponsive.
pub(super) const ANSWER_TIMEOUT: Span = Span::from_millis(900);
/// Timeout of a probe: regions are some tens of milliseconds apart, and proving a key takes
/// three round trips.
const PROBE_TIMEOUT: Span = Span::from_millis(300);
/// How often an instance whose parent is the store checks for another parent, and the pause
/// after a failed request.
const PARENT_CHECK_INTERVAL: Span = Span::from_millis(100);
/// How often one of the seeds or instances that count as gone is probed.
const PROBE_INTERVAL: Span = Span::from_secs(2);
/// How often all seeds are probed while no other instance is known.
const JOIN_INTERVAL: Span = Span::from_millis(150);

/// What this instance has received from another process, and what it has sent to it.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    of: Incarnation,
    objects: Position,
    members: Position,
    /// The position in this instance's membership changes up to which it has sent them to
    /// that process.
    sent: Position,
}

impl Progress {
    /// Returns the progress after an answer from the process of this incarnation. A process
    /// that started in the meantime knows nothing of what was sent to its predecessor, and its
    /// positions are others.
    fn after_answer(self, of: Incarnation) -> Self {
        if of == self.of {
            return self;
        }
        Self {
            of,
            ..Self::default()
        }
    }
}

/// Follows the current parent until the process ends.
pub(super) async fn run(node: Arc<Node>) {
    // Kept for each instance, so that a parent that is followed again sends only changes.
    let mut progress_by_addr: IndexMap<SocketAddr, Progress> = IndexMap::new();
    let mut followed = None;
    let mut was_detached = false;
    loop {
        let now = node.clock.now();
        let age = node.object_cache.lock().age(now);
        {
            let mut fleet = node.fleet.lock();
            fleet.apply_timeouts(now);
            fleet.check_own_age(now, age);
        }
        node.drop_lapsed();
        node.divide_limits();
        node.detect_silent_replicas();
        let now = node.clock.now();
        let (parent, is_detached, max_wait) = {
            let fleet = node.fleet.lock();
            (
                fleet.parent(now),
                fleet.is_detached(now),
                fleet.answer_timeout(now),
            )
        };
        if is_detached && !was_detached {
            tracing::warn!(
                "the instances that this one follows do not answer; it reads the store itself"
            );
        }
        was_detached = is_detached;
        let Parent::Instance(addr) = parent else {
            followed = None;
            sleep(PARENT_CHECK_INTERVAL.as_duration()).await;
            continue;
        };
        if followed != Some(addr) {
            tracing::info!(%addr, "follows another instance");
            followed = Some(addr);
        }
        let progress = progress_by_addr.get(&addr).copied().unwrap_or_default();
        match request_updates(&node, addr, FollowReason::Follows, progress, max_wait).await {
            Some(after) => {
                progress_by_addr.insert(addr, after);
            }
            None => sleep(PARENT_CHECK_INTERVAL.as_duration()).await,
        }
    }
}

/// Probes seeds and lost instances until the process ends.
pub(super) async fn probe_missing(node: Arc<Node>) {
    loop {
        let now = node.clock.now();
        let seeds = node.seeds();
        let targets = node.fleet.lock().probe_targets(now, &seeds);
        let alone = node.fleet.lock().present().count() <= 1;
        if alone {
            // All at once: an unresponsive instance must not delay the others.
            join_all(targets.iter().map(|addr| probe(&node, *addr))).await;
            sleep(JOIN_INTERVAL.as_duration()).await;
            continue;
        }
        let addr_to_probe = targets.choose(&mut rand::rng()).copied();
        if let Some(addr) = addr_to_probe {
            probe(&node, addr).await;
        }
        sleep(PROBE_INTERVAL.as_duration()).await;
    }
}

async fn probe(node: &Arc<Node>, addr: SocketAddr) {
    let initialized = node.object_cache.lock().is_initialized();
    let reason = if initialized {
        FollowReason::Looks
    } else {
        FollowReason::Joins
    };
    request_updates(node, addr, reason, Progress::default(), PROBE_TIMEOUT).await;
}

async fn request_updates(
    node: &Arc<Node>,
    addr: SocketAddr,
    reason: FollowReason,
    progress: Progress,
    max_wait: Span,
) -> Option<Progress> {
    let (follow, sent) = build_request(node, reason, progress);
    let request = PeerRequest::Follow(Box::new(follow));
    let sent_at = node.clock.now();
    match node.peers.request(addr, &request, max_wait).await {
        Ok(PeerResponse::News(updates)) => {
            if reason == FollowReason::Follows {
                judge(node, addr, sent_at, &updates);
            }
            Some(apply_updates(
                node,
                reason,
                Progress { sent, ..progress },
                *updates,
            ))
        }
        Ok(_) => None,
        Err(error) => {
            tracing::info!(%addr, %error, "an instance does not answer");
            node.engine
                .metrics
                .members
                .updated(UpdateOutcome::Failed, 0);
            let now = node.clock.now();
            if reason == FollowReason::Follows {
                node.fleet.lock().on_no_answer(now, sent_at);
            }
            // An instance that had less time to answer may be well.
            let is_cut_short = reason == FollowReason::Follows && max_wait < ANSWER_TIMEOUT;
            if !(is_cut_short && matches!(error, PeerError::Timeout(_))) {
                node.fleet.lock().mark_unresponsive(now, addr);
                node.notify_waiters();
            }
            None
        }
    }
}

fn build_request(
    node: &Node,
    reason: FollowReason,
    progress: Progress,
) -> (FollowRequest, Position) {
    let now = node.clock.now();
    let poison = node.engine.tables.suspects.lock().poison_requests(now);
    let silent = node.silence.lock().reports(now);
    let chunks = match reason {
        FollowReason::Follows => node.object_cache.lock().next_chunk_request(),
        FollowReason::Joins | FollowReason::Looks => Vec::new(),
    };
    let fleet = node.fleet.lock();
    let (learned, sent) = fleet.since(progress.sent);
    let follow = FollowRequest {
        from: fleet.me().clone(),
        reason,
        of: progress.of,
        objects: progress.objects,
        members: progress.members,
        learned,
        poison,
        silent,
        chunks,
        knows_eras: true,
    };
    (follow, sent)
}

/// Decides whether to go on following an instance with these updates.
fn judge(node: &Node, addr: SocketAddr, sent_at: Timestamp, updates: &Updates) {
    let now = node.clock.now();
    let is_loop = updates.via.contains(&node.settings.me.member.name);
    let age = updates.age;
    // One that has nothing from the store yet knows no era either.
    let era = updates.era.unwrap_or_default();
    let is_earlier_era = age.is_some() && era < node.object_cache.lock().era();
    let (freshness, avoids) = {
        let mut fleet = node.fleet.lock();
        let freshness = if is_earlier_era {
            Freshness::EarlierEra
        } else {
            fleet.freshness(&updates.from.member, age, is_loop)
        };
        if freshness == Freshness::Disconnected {
            fleet.on_no_answer(now, sent_at);
        } else {
            fleet.on_answer(now);
        }
        (freshness, fleet.judge(now, addr, freshness))
    };
    if avoids {
        tracing::info!(%addr, outcome = ?freshness, ?age, "avoids an instance because of its updates");
    }
    let members = &node.engine.metrics.members;
    members.updated(freshness.into(), updates.size());
}

fn apply_updates(
    node: &Node,
    reason: FollowReason,
    progress: Progress,
    updates: Updates,
) -> Progress {
    let now = node.clock.now();
    let me = &node.settings.me.member.name;
    let is_loop = updates.via.contains(me);
    let mut learned = false;
    {
        let mut fleet = node.fleet.lock();
        fleet.apply_record(now, updates.from);
        for record in updates.members {
            learned |= fleet.apply_record(now, record);
        }
    }
    if learned {
        node.notify_waiters();
    }
    mark_poison(node, &updates.poison);
    node.accept_agreed_silence(updates.silent);
    let progress = Progress {
        members: updates.members_to,
        ..progress.after_answer(updates.of)
    };
    if !node.enter_era(updates.era.unwrap_or_default()) {
        return progress;
    }
    let is_complete = updates.is_complete;
    let (age, via) = (updates.age, updates.via);
    let has_everything = node.apply_objects(updates.objects, updates.large, &updates.chunks);
    // A probe is answered without objects, so it says nothing of those that are known here.
    let has_objects = reason != FollowReason::Looks;
    if has_objects && !is_loop {
        if let Some(age) = age {
            node.fleet.lock().on_store_confirmed(now);
            node.confirm(age, is_complete && has_everything);
        }
        *node.via.lock() = via;
    }
    Progress {
        objects: updates.objects_to,
        ..progress
    }
}

pub(super) fn mark_poison(node: &Node, poison: &[crate::types::Fingerprint]) {
    let now = node.clock.now();
    let mut suspects = node.engine.tables.suspects.lock();
    for request in poison {
        suspects.mark_poison(now, *request);
    }
}

#[cfg(test)]
#[path = "follow_tests.rs"]
mod follow_tests;
