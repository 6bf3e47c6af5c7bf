//! Carries out what [`Members`](super::members::Members) decides, once for each
//! heartbeat: as a leader, as a follower, or without a leader.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::channel::{self, Receiver, Sender};
use async_std::future::timeout;

use super::exchange::{Ask, HeartbeatReply, Told};
use super::follow::adopt;
use super::lead::{self, Duties};
use super::members::Role;
use super::{Instance, Object, ObjectKey};
use crate::connection::Host;
use crate::error::{ErrorKind, Refusal};
use crate::types::{InstanceName, PeerKey, Span};
use futures::future::BoxFuture;
use http::StatusCode;

const MOST_FETCHED: usize = 64;
const MOST_FETCHED_BYTES: usize = 3 << 20;
const MOST_ROUNDS: usize = 64;
const HAND_ON_WITHIN: Span = Span::from_secs(5);

/// What the rest of the process holds of the task that beats.
#[derive(Debug)]
pub(crate) struct Beats {
    hurry: Sender<()>,
    ended: Receiver<()>,
}

/// What the task that beats holds of the rest of the process.
#[derive(Debug)]
pub(crate) struct BeatsEnd {
    hurry: Receiver<()>,
    _ended: Sender<()>,
}

pub(crate) fn beats() -> (Beats, BeatsEnd) {
    let (hurry, hurried) = channel::bounded(1);
    let (end, ended) = channel::bounded(1);
    let beats = Beats { hurry, ended };
    let end = BeatsEnd {
        hurry: hurried,
        _ended: end,
    };
    (beats, end)
}

/// Beats until the instance has stopped.
pub(crate) async fn run(instance: Arc<Instance>, end: BeatsEnd) {
    let mut duties = Duties::default();
    loop {
        beat(&instance, &mut duties).await;
        settle(&instance);
        if instance.members.lock().has_stopped() {
            lead::release(&instance).await;
            return;
        }
        let pause = {
            let members = instance.members.lock();
            members.pause(&mut instance.engine.tables.rng.lock())
        };
        timeout(pause.as_duration(), end.hurry.recv()).await.ok();
    }
}

async fn beat(instance: &Instance, duties: &mut Duties) {
    let (role, leader) = {
        let now = instance.clock.now();
        let members = instance.members.lock();
        (members.role(now), members.leader_addr(now))
    };
    match (role, leader) {
        (Role::Leading(_), _) => duties.lead(instance).await,
        (Role::Following(_), Some(addr)) => {
            exchange(instance, None, addr).await;
        }
        (Role::Following(_) | Role::Orphan, _) => {
            duties.forget();
            if !duties.contend(instance).await {
                meet(instance).await;
            }
        }
    }
}

/// Exchanges heartbeats with a peer drawn at random.
async fn meet(instance: &Instance) {
    let now = instance.clock.now();
    let drawn = {
        let members = instance.members.lock();
        members.stranger(now, &mut instance.engine.tables.rng.lock())
    };
    if let Some((name, addr)) = drawn {
        exchange(instance, name.as_ref(), addr).await;
    }
}

/// Sends a heartbeat, takes the reply, and fetches what the peer has newer, until
/// there is no more of it. Says whether the peer replied.
pub(crate) async fn exchange(
    instance: &Instance,
    name: Option<&InstanceName>,
    addr: SocketAddr,
) -> bool {
    let mut name = name.cloned();
    for _ in 0..MOST_ROUNDS {
        let Some(reply) = heartbeat(instance, name.as_ref(), addr).await else {
            return false;
        };
        fetch(instance, addr).await;
        if !reply.more {
            break;
        }
        name = Some(reply.from.name);
    }
    true
}

async fn heartbeat(
    instance: &Instance,
    name: Option<&InstanceName>,
    addr: SocketAddr,
) -> Option<HeartbeatReply> {
    let sent = instance.clock.now();
    let beat = {
        let members = instance.members.lock();
        let name = name.cloned().or_else(|| members.name_at(addr));
        members.heartbeat(sent, name.as_ref())
    };
    let ask = Ask::Heartbeat(Box::new(beat));
    let within = instance.settings.heartbeat;
    let told = instance.peers.ask(addr, &ask, within).await;
    let now = instance.clock.now();
    let mut members = instance.members.lock();
    match told {
        Ok(Told::Heartbeat(reply)) => {
            members.on_reply(sent, now, &reply);
            Some(*reply)
        }
        Ok(Told::Objects(_) | Told::News(_)) => None,
        Err(error) => {
            tracing::debug!(%error, %addr, "an instance did not reply to a heartbeat");
            instance.engine.metrics.members.heartbeat_failed();
            members.on_silence(now, addr);
            None
        }
    }
}

async fn fetch(instance: &Instance, addr: SocketAddr) {
    for _ in 0..MOST_ROUNDS {
        let mut wanted = instance.members.lock().wanted();
        wanted.truncate(MOST_FETCHED);
        if wanted.is_empty() {
            return;
        }
        let ask = Ask::Fetch(wanted);
        let within = instance.settings.fetch_timeout();
        let Ok(Told::Objects(objects)) = instance.peers.ask(addr, &ask, within).await else {
            break;
        };
        if objects.is_empty() {
            break;
        }
        for object in &objects {
            adopt(instance, object);
        }
    }
    instance.members.lock().forget_wanted();
}

/// Makes the rest of the process follow what is known of the members now.
fn settle(instance: &Instance) {
    let now = instance.clock.now();
    let mut members = instance.members.lock();
    members.learn();
    let live = members.live(now);
    instance.engine.metrics.members.state(now, &members, live);
    drop(members);
    instance.engine.tables.limits.lock().set_live(now, live);
    instance.orders.set_live(live);
}

impl Instance {
    /// Tells the others at once that callers should no longer be sent here.
    pub(crate) fn leave(&self) {
        self.members.lock().leave();
        self.beats.hurry.try_send(()).ok();
    }

    /// Tells the others that this instance has stopped and hands on what it holds.
    pub(crate) async fn hand_on(&self) {
        self.members.lock().stop();
        self.beats.hurry.try_send(()).ok();
        let ended = self.beats.ended.recv();
        timeout(HAND_ON_WITHIN.as_duration(), ended).await.ok();
    }

    /// Refuses what comes before the configuration is known, because a class that is
    /// not known yet is not an unknown class.
    pub(crate) fn check_learned(&self) -> Result<(), Refusal> {
        if self.members.lock().learn() {
            return Ok(());
        }
        Err(Refusal::new(
            ErrorKind::NoSnapshot,
            "the instance has not learned the configuration yet",
        ))
    }

    /// Answers another instance.
    pub(crate) fn tell(&self, ask: &Ask) -> Told {
        let now = self.clock.now();
        let mut members = self.members.lock();
        match ask {
            Ask::Heartbeat(beat) => Told::Heartbeat(Box::new(members.on_heartbeat(now, beat))),
            Ask::Fetch(keys) => {
                Told::Objects(bounded(keys.iter().filter_map(|key| members.object(key))))
            }
            // Nobody follows an instance that has a cell.
            Ask::Follow(_) => Told::Objects(Vec::new()),
        }
    }
}

impl Host for Instance {
    fn peer_keys(&self) -> &[PeerKey] {
        &self.settings.peer_keys
    }

    fn refused(&self, status: StatusCode) {
        self.engine.metrics.members.refused_peer(status);
    }

    fn answer(&self, ask: Ask) -> BoxFuture<'_, Told> {
        Box::pin(async move { self.tell(&ask) })
    }
}

fn bounded(objects: impl Iterator<Item = Arc<Object>>) -> Vec<Arc<Object>> {
    let mut bytes = 0;
    objects
        .take_while(|object| {
            let first = bytes == 0;
            bytes += object.value.len();
            first || bytes <= MOST_FETCHED_BYTES
        })
        .collect()
}

impl super::members::Members {
    fn object(&self, key: &ObjectKey) -> Option<Arc<Object>> {
        self.journal().object(key)
    }
}
