//! The content of heartbeats and replies, and their effect on the membership table.

use std::net::SocketAddr;

use super::reachability::is_later_state;
use super::{Contact, Leader, Members, Readiness, Role};
use crate::process::cells::{CellId, CellVersion, Member};
use crate::process::change_log::{Topic, TopicVersion};
use crate::process::peer_messages::{CellDelta, Heartbeat, HeartbeatReply, SeenInstance};
use crate::types::{ConfigVersion, Epoch, InstanceName, Position, Timestamp};

const MAX_CHANGES_PER_REPLY: usize = 64;
const MAX_SEEN_INSTANCES: usize = 8;
const MAX_CONTACTS: usize = 256;

impl Members {
    /// The heartbeat to send to a peer; `to` is `None` while its name is unknown.
    pub(crate) fn heartbeat(&self, now: Timestamp, to: Option<&InstanceName>) -> Heartbeat {
        let seen = to.and_then(|name| self.peer_positions.get(name)).copied();
        let (seen_of, seen) = seen.unwrap_or_default();
        Heartbeat {
            from: self.me.clone(),
            cell: self.cell.clone(),
            config: self.own_config,
            seen,
            seen_of,
            digest: self.change_log.digest(),
            met: self.recent_contacts(now),
            poison: Vec::new(),
        }
    }

    fn recent_contacts(&self, now: Timestamp) -> Vec<SeenInstance> {
        if self.role(now) != Role::Orphan {
            return Vec::new();
        }
        let recent = self
            .contacts
            .values()
            .rev()
            .filter(|contact| now.since(contact.at) <= self.timing.member_timeout());
        recent
            .take(MAX_SEEN_INSTANCES)
            .map(|contact| SeenInstance {
                member: contact.member.clone(),
                config: contact.config,
                age: now.since(contact.at),
            })
            .collect()
    }

    /// Applies a heartbeat and returns the reply.
    pub(crate) fn on_heartbeat(&mut self, now: Timestamp, heartbeat: &Heartbeat) -> HeartbeatReply {
        let cell = heartbeat.cell.clone();
        self.record_contact(&heartbeat.from, cell, heartbeat.config, now);
        self.record_seen_instances(now, &heartbeat.met);
        self.peer_contact_at = Some(now);
        let same_digest = heartbeat.digest == self.change_log.digest();
        let seen = if heartbeat.seen_of == self.me.incarnation {
            heartbeat.seen
        } else {
            Position::default()
        };
        let changed = if same_digest {
            Vec::new()
        } else {
            self.change_log.changes_since(seen, MAX_CHANGES_PER_REPLY)
        };
        let more = changed.len() == MAX_CHANGES_PER_REPLY;
        let last = changed.last().map(|(_, at, _)| *at);
        let mut reply = HeartbeatReply {
            from: self.me.clone(),
            leading: self.lease.epoch(now).zip(self.cell.clone()).map(swap),
            fresh: self.readiness(now) != Readiness::Stale && self.learned,
            said_config: self.latest_config,
            up_to: last.filter(|_| more).unwrap_or(self.change_log.end()),
            more,
            objects: Vec::new(),
            cells: Vec::new(),
            met: self.recent_contacts(now),
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

    /// Applies the reply to a heartbeat that was sent at `sent`.
    pub(crate) fn on_reply(&mut self, sent: Timestamp, now: Timestamp, reply: &HeartbeatReply) {
        let from = &reply.from;
        self.unreachable.swap_remove(&from.peer_addr);
        self.record_contact(from, None, ConfigVersion::default(), now);
        self.record_seen_instances(now, &reply.met);
        self.latest_config = self.latest_config.max(reply.said_config);
        self.peer_positions
            .insert(from.name.clone(), (from.incarnation, reply.up_to));
        for delta in &reply.cells {
            self.adopt_delta(delta);
        }
        for (key, version) in &reply.objects {
            let known = self.change_log.object(key).map(|object| object.version);
            if known.is_none_or(|known| known < *version) {
                let newest = self.to_fetch.entry(key.clone()).or_insert(*version);
                *newest = (*newest).max(*version);
            }
        }
        if reply.fresh {
            self.peer_contact_at = Some(now);
            if !reply.more {
                self.synced_peers.insert(from.name.clone());
            }
        }
        match &reply.leading {
            Some((cell, epoch)) if Some(cell) == self.cell.as_ref() => {
                self.follow_leader(sent, from.peer_addr, *epoch);
            }
            _ => self.leader = self.leader.filter(|leader| leader.addr != from.peer_addr),
        }
    }

    fn follow_leader(&mut self, sent: Timestamp, addr: SocketAddr, epoch: Epoch) {
        if epoch < self.highest_epoch {
            return;
        }
        self.highest_epoch = epoch;
        self.leader = Some(Leader {
            addr,
            epoch,
            acked: sent,
        });
    }

    fn adopt_delta(&mut self, delta: &CellDelta) {
        let known = self.cells.version(&delta.cell);
        let applies = delta.whole || known != CellVersion::default();
        if !applies || known >= delta.version {
            return;
        }
        let topic = Topic::Cell(delta.cell.clone());
        let at = self
            .change_log
            .record(&topic, TopicVersion::Cell(delta.version));
        self.cells.adopt_delta(delta, at);
    }

    fn record_seen_instances(&mut self, now: Timestamp, met: &[SeenInstance]) {
        for one in met {
            let at = now - one.age;
            self.record_contact(&one.member, None, one.config, at);
        }
    }

    fn record_contact(
        &mut self,
        member: &Member,
        cell: Option<CellId>,
        config: ConfigVersion,
        at: Timestamp,
    ) {
        if member.name == self.me.name {
            return;
        }
        self.latest_config = self.latest_config.max(config);
        let known = self.contacts.get(&member.name);
        if known.is_some_and(|known| is_later_state(&known.member, member) || known.at > at) {
            return;
        }
        let cell = cell.or_else(|| known.and_then(|known| known.cell.clone()));
        let contact = Contact {
            member: member.clone(),
            cell,
            config,
            at,
        };
        self.contacts.shift_remove(&member.name);
        self.contacts.insert(member.name.clone(), contact);
        if self.contacts.len() > MAX_CONTACTS {
            self.contacts.shift_remove_index(0);
        }
    }
}

fn swap((epoch, cell): (Epoch, CellId)) -> (CellId, Epoch) {
    (cell, epoch)
}
