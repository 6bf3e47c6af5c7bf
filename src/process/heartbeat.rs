//! The heartbeat task: one round per heartbeat interval, as a leader, as a follower or
//! without a leader. Decisions are made in [`Members`](super::members::Members).

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::channel::{self, Receiver, Sender};
use async_std::future::timeout;

use super::follow::adopt;
use super::lead::{self, LeaderState};
use super::members::Role;
use super::peer_messages::{HeartbeatReply, PeerRequest, PeerResponse};
use super::{Instance, MemoryBudget, Object, ObjectKey};
use crate::connection::PeerRequestHandler;
use crate::error::{ErrorKind, Refusal};
use crate::types::{InstanceName, PeerKey, Span};
use futures::future::BoxFuture;
use http::StatusCode;

const MAX_OBJECTS_PER_FETCH: usize = 64;
const MAX_FETCHED_BYTES: usize = 3 << 20;
const MAX_ROUNDS: usize = 64;
const HANDOVER_TIMEOUT: Span = Span::from_secs(5);

/// The handle through which the rest of the process wakes and awaits the heartbeat task.
#[derive(Debug)]
pub(crate) struct HeartbeatHandle {
    wake: Sender<()>,
    ended: Receiver<()>,
}

/// The heartbeat task's ends of the channels in [`HeartbeatHandle`].
#[derive(Debug)]
pub(crate) struct HeartbeatState {
    wake: Receiver<()>,
    _ended: Sender<()>,
}

pub(crate) fn heartbeats() -> (HeartbeatHandle, HeartbeatState) {
    let (wake, woken) = channel::bounded(1);
    let (end, ended) = channel::bounded(1);
    let handle = HeartbeatHandle { wake, ended };
    let state = HeartbeatState {
        wake: woken,
        _ended: end,
    };
    (handle, state)
}

/// Runs heartbeat rounds until the instance has stopped, then releases the lease.
pub(crate) async fn run(instance: Arc<Instance>, state: HeartbeatState) {
    let mut leader_state = LeaderState::default();
    loop {
        run_round(&instance, &mut leader_state).await;
        apply_membership(&instance);
        if instance.members.lock().has_stopped() {
            lead::release(&instance).await;
            return;
        }
        let delay = {
            let members = instance.members.lock();
            members.next_heartbeat_delay(&mut instance.engine.tables.rng.lock())
        };
        timeout(delay.as_duration(), state.wake.recv()).await.ok();
    }
}

async fn run_round(instance: &Instance, leader_state: &mut LeaderState) {
    let (role, leader) = {
        let now = instance.clock.now();
        let members = instance.members.lock();
        (members.role(now), members.leader_addr(now))
    };
    match (role, leader) {
        (Role::Leading(_), _) => leader_state.lead(instance).await,
        (Role::Following(_), Some(addr)) => {
            exchange_heartbeats(instance, None, addr).await;
        }
        (Role::Following(_) | Role::Orphan, _) => {
            leader_state.reset();
            if !leader_state.contend(instance).await {
                exchange_with_random_peer(instance).await;
            }
        }
    }
}

/// Exchanges heartbeats with a randomly chosen peer.
async fn exchange_with_random_peer(instance: &Instance) {
    let now = instance.clock.now();
    let peer = {
        let members = instance.members.lock();
        members.random_peer(now, &mut instance.engine.tables.rng.lock())
    };
    if let Some((name, addr)) = peer {
        exchange_heartbeats(instance, name.as_ref(), addr).await;
    }
}

/// Sends heartbeats to a peer and fetches the objects that are newer there, until its
/// change log is read to the end. Returns whether the peer replied.
pub(crate) async fn exchange_heartbeats(
    instance: &Instance,
    name: Option<&InstanceName>,
    addr: SocketAddr,
) -> bool {
    let mut name = name.cloned();
    for _ in 0..MAX_ROUNDS {
        let Some(reply) = send_heartbeat(instance, name.as_ref(), addr).await else {
            return false;
        };
        fetch_objects(instance, addr).await;
        if !reply.more {
            break;
        }
        name = Some(reply.from.name);
    }
    true
}

async fn send_heartbeat(
    instance: &Instance,
    name: Option<&InstanceName>,
    addr: SocketAddr,
) -> Option<HeartbeatReply> {
    let sent = instance.clock.now();
    let heartbeat = {
        let members = instance.members.lock();
        let name = name.cloned().or_else(|| members.name_at(addr));
        members.heartbeat(sent, name.as_ref())
    };
    let request = PeerRequest::Heartbeat(Box::new(heartbeat));
    let within = instance.settings.heartbeat;
    let reply = instance.peers.request(addr, &request, within).await;
    let now = instance.clock.now();
    let mut members = instance.members.lock();
    match reply {
        Ok(PeerResponse::Heartbeat(reply)) => {
            members.on_reply(sent, now, &reply);
            Some(*reply)
        }
        Ok(PeerResponse::Objects(_) | PeerResponse::News(_)) => None,
        Err(error) => {
            tracing::debug!(%error, %addr, "an instance did not reply to a heartbeat");
            instance.engine.metrics.members.heartbeat_failed();
            members.on_no_reply(now, addr);
            None
        }
    }
}

async fn fetch_objects(instance: &Instance, addr: SocketAddr) {
    for _ in 0..MAX_ROUNDS {
        let mut to_fetch = instance.members.lock().to_fetch();
        to_fetch.truncate(MAX_OBJECTS_PER_FETCH);
        if to_fetch.is_empty() {
            return;
        }
        let request = PeerRequest::Fetch(to_fetch);
        let within = instance.settings.fetch_timeout();
        let Ok(PeerResponse::Objects(objects)) =
            instance.peers.request(addr, &request, within).await
        else {
            break;
        };
        if objects.is_empty() {
            break;
        }
        for object in &objects {
            adopt(instance, object);
        }
    }
    instance.members.lock().clear_to_fetch();
}

/// Updates readiness, the metrics and the division of the limits from the current
/// membership.
fn apply_membership(instance: &Instance) {
    let now = instance.clock.now();
    let mut members = instance.members.lock();
    members.learn();
    let live = members.live(now);
    instance
        .engine
        .metrics
        .members
        .record_state(now, &members, live);
    drop(members);
    instance.engine.tables.limits.lock().set_live(now, live);
    instance.orders.set_live(live);
}

impl Instance {
    /// Announces at once that no more callers are to be sent to this instance.
    pub(crate) fn leave(&self) {
        self.members.lock().leave();
        self.heartbeats.wake.try_send(()).ok();
    }

    /// Announces that this instance has stopped, and waits until its last heartbeat is
    /// sent and its lease is released, for at most [`HANDOVER_TIMEOUT`].
    pub(crate) async fn hand_over(&self) {
        self.members.lock().stop();
        self.heartbeats.wake.try_send(()).ok();
        let ended = self.heartbeats.ended.recv();
        timeout(HANDOVER_TIMEOUT.as_duration(), ended).await.ok();
    }

    /// Refuses requests until the configuration is known: until then, a class that is
    /// missing here cannot be reported as an unknown class.
    pub(crate) fn check_learned(&self) -> Result<(), Refusal> {
        if self.members.lock().learn() {
            return Ok(());
        }
        Err(Refusal::new(
            ErrorKind::NoSnapshot,
            "the instance has not learned the configuration yet",
        ))
    }

    /// Returns the reply to a request from another instance.
    pub(crate) fn answer_peer(&self, request: &PeerRequest) -> PeerResponse {
        let now = self.clock.now();
        let mut members = self.members.lock();
        match request {
            PeerRequest::Heartbeat(heartbeat) => {
                PeerResponse::Heartbeat(Box::new(members.on_heartbeat(now, heartbeat)))
            }
            PeerRequest::Fetch(keys) => PeerResponse::Objects(limit_bytes(
                keys.iter().filter_map(|key| members.object(key)),
            )),
            // An instance in a cell has no followers.
            PeerRequest::Follow(_) | PeerRequest::Marks(_) => PeerResponse::Objects(Vec::new()),
        }
    }
}

impl PeerRequestHandler for Instance {
    fn peer_keys(&self) -> &[PeerKey] {
        &self.settings.peer_keys
    }

    fn memory(&self) -> &Arc<MemoryBudget> {
        self.peers.memory()
    }

    fn refused(&self, status: StatusCode) {
        self.engine.metrics.members.refused_peer(status);
    }

    fn answer(&self, request: PeerRequest) -> BoxFuture<'_, PeerResponse> {
        Box::pin(async move { self.answer_peer(&request) })
    }
}

fn limit_bytes(objects: impl Iterator<Item = Arc<Object>>) -> Vec<Arc<Object>> {
    let mut bytes = 0;
    objects
        .take_while(|object| {
            let first = bytes == 0;
            bytes += object.value.len();
            first || bytes <= MAX_FETCHED_BYTES
        })
        .collect()
}

impl super::members::Members {
    fn object(&self, key: &ObjectKey) -> Option<Arc<Object>> {
        self.change_log().object(key)
    }
}
