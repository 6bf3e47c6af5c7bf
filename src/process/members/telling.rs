//! What an instance tells its peers in heartbeats and learns from their replies.

use std::net::SocketAddr;

use super::reach::later;
use super::{Heard, Leader, Members, Readiness, Role};
use crate::process::cells::{CellId, CellVersion, Member};
use crate::process::exchange::{CellDelta, Heartbeat, HeartbeatReply, Met};
use crate::process::journal::{Topic, TopicVersion};
use crate::types::{ConfigVersion, Epoch, InstanceName, Position, Timestamp};

const MOST_TOPICS: usize = 64;
const MOST_MET: usize = 8;
const MOST_HEARD: usize = 256;

impl Members {
    /// The heartbeat to send to a peer, or to one whose name is not known yet.
    pub(crate) fn heartbeat(&self, now: Timestamp, to: Option<&InstanceName>) -> Heartbeat {
        let seen = to.and_then(|name| self.seen.get(name)).copied();
        let (seen_of, seen) = seen.unwrap_or_default();
        Heartbeat {
            from: self.me.clone(),
            cell: self.cell.clone(),
            config: self.own_config,
            seen,
            seen_of,
            digest: self.journal.digest(),
            met: self.met(now),
            poison: Vec::new(),
        }
    }

    fn met(&self, now: Timestamp) -> Vec<Met> {
        if self.role(now) != Role::Orphan {
            return Vec::new();
        }
        let lately = self
            .heard
            .values()
            .rev()
            .filter(|heard| now.since(heard.at) <= self.timing.dead());
        lately
            .take(MOST_MET)
            .map(|heard| Met {
                member: heard.member.clone(),
                config: heard.config,
                age: now.since(heard.at),
            })
            .collect()
    }

    /// Takes a heartbeat and replies to it.
    pub(crate) fn on_heartbeat(&mut self, now: Timestamp, beat: &Heartbeat) -> HeartbeatReply {
        let cell = beat.cell.clone();
        self.hear(&beat.from, cell, beat.config, now);
        self.hear_all(now, &beat.met);
        self.peer_at = Some(now);
        let same = beat.digest == self.journal.digest();
        let seen = if beat.seen_of == self.me.incarnation {
            beat.seen
        } else {
            Position::default()
        };
        let changed = if same {
            Vec::new()
        } else {
            self.journal.since(seen, MOST_TOPICS)
        };
        let more = changed.len() == MOST_TOPICS;
        let last = changed.last().map(|(_, at, _)| *at);
        let mut reply = HeartbeatReply {
            from: self.me.clone(),
            leading: self.lease.epoch(now).zip(self.cell.clone()).map(flip),
            fresh: self.readiness(now) != Readiness::Stale && self.learned,
            said_config: self.said_config,
            up_to: last.filter(|_| more).unwrap_or(self.journal.end()),
            more,
            objects: Vec::new(),
            cells: Vec::new(),
            met: self.met(now),
            poison: Vec::new(),
        };
        for (topic, _, version) in changed {
            match (topic, version) {
                (Topic::Object(key), TopicVersion::Object(version)) => {
                    reply.objects.push((key, version));
                }
                (Topic::Cell(cell), _) => reply.cells.extend(self.cells.delta(&cell, seen)),
                (Topic::Object(_), TopicVersion::Cell(_)) => {}
            }
        }
        reply
    }

    /// Takes the reply to a heartbeat that was sent at `sent`.
    pub(crate) fn on_reply(&mut self, sent: Timestamp, now: Timestamp, reply: &HeartbeatReply) {
        let from = &reply.from;
        self.unreachable.swap_remove(&from.peer_addr);
        self.hear(from, None, ConfigVersion::default(), now);
        self.hear_all(now, &reply.met);
        self.said_config = self.said_config.max(reply.said_config);
        self.seen
            .insert(from.name.clone(), (from.incarnation, reply.up_to));
        for delta in &reply.cells {
            self.adopt_delta(delta);
        }
        for (key, version) in &reply.objects {
            let known = self.journal.object(key).map(|object| object.version);
            if known.is_none_or(|known| known < *version) {
                let wanted = self.wanted.entry(key.clone()).or_insert(*version);
                *wanted = (*wanted).max(*version);
            }
        }
        if reply.fresh {
            self.peer_at = Some(now);
            if !reply.more {
                self.witnesses.insert(from.name.clone());
            }
        }
        match &reply.leading {
            Some((cell, epoch)) if Some(cell) == self.cell.as_ref() => {
                self.acked(sent, from.peer_addr, *epoch);
            }
            _ => self.leader = self.leader.filter(|leader| leader.addr != from.peer_addr),
        }
    }

    fn acked(&mut self, sent: Timestamp, addr: SocketAddr, epoch: Epoch) {
        if epoch < self.top_epoch {
            return;
        }
        self.top_epoch = epoch;
        self.leader = Some(Leader {
            addr,
            epoch,
            acked: sent,
        });
    }

    fn adopt_delta(&mut self, delta: &CellDelta) {
        let known = self.cells.version(&delta.cell);
        let follows = delta.whole || known != CellVersion::default();
        if !follows || known >= delta.version {
            return;
        }
        let topic = Topic::Cell(delta.cell.clone());
        let at = self.journal.note(&topic, TopicVersion::Cell(delta.version));
        self.cells.adopt_delta(delta, at);
    }

    fn hear_all(&mut self, now: Timestamp, met: &[Met]) {
        for one in met {
            let at = now - one.age;
            self.hear(&one.member, None, one.config, at);
        }
    }

    fn hear(
        &mut self,
        member: &Member,
        cell: Option<CellId>,
        config: ConfigVersion,
        at: Timestamp,
    ) {
        if member.name == self.me.name {
            return;
        }
        self.said_config = self.said_config.max(config);
        let known = self.heard.get(&member.name);
        if known.is_some_and(|known| later(&known.member, member) || known.at > at) {
            return;
        }
        let cell = cell.or_else(|| known.and_then(|known| known.cell.clone()));
        let heard = Heard {
            member: member.clone(),
            cell,
            config,
            at,
        };
        self.heard.shift_remove(&member.name);
        self.heard.insert(member.name.clone(), heard);
        if self.heard.len() > MOST_HEARD {
            self.heard.shift_remove_index(0);
        }
    }
}

fn flip((epoch, cell): (Epoch, CellId)) -> (CellId, Epoch) {
    (cell, epoch)
}
