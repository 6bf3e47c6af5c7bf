//! Who is alive, as far as this instance knows, and what it tells its peers.
//!
//! Everything here is decided over the present and the table alone. What is carried
//! out is in `heartbeat.rs` and `lead.rs`; the rules are in `docs/DESIGN.md`,
//! "Membership".

use std::fmt;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use indexmap::{IndexMap, IndexSet};
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

use super::cell_table::CellTable;
use super::cells::{self, CellId, CellVersion, Member, MemberState, Summary};
use super::exchange::{CellDelta, Heartbeat, HeartbeatReply, Met};
use super::journal::{Journal, Topic, TopicVersion};
use super::lease::Lease;
use super::share::Share;
use super::{ListedInstance, Object, Settings};
use crate::types::{
    CellSeq, ConfigVersion, Epoch, Incarnation, InstanceName, ObjectVersion, Position, Span,
    Timestamp,
};

const MOST_TOPICS: usize = 64;
const MOST_MET: usize = 8;
const MOST_HEARD: usize = 256;
const ENOUGH_WITNESSES: usize = 3;

/// The times that follow from the time between heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Timing {
    /// Between two heartbeats.
    pub(crate) beat: Span,
}

impl Timing {
    /// A leader that did not reply for so long is given up.
    pub(crate) fn silent(self) -> Span {
        Span(self.beat.0 * 2)
    }

    /// Between two renewals of a lease.
    pub(crate) fn renew(self) -> Span {
        Span(self.beat.0 * 3)
    }

    /// How long a lease lasts.
    pub(crate) fn lease(self) -> Span {
        Span(self.beat.0 * 9)
    }

    /// An instance that sent no heartbeat for so long is taken out of its cell.
    pub(crate) fn dead(self) -> Span {
        Span(self.beat.0 * 5)
    }

    /// An instance that reached nobody for so long says that it is stale.
    pub(crate) fn stale(self) -> Span {
        Span(self.beat.0 * 10)
    }

    /// How long an instance that is gone still counts for the limits.
    pub(crate) fn count_hold(self) -> Span {
        Span(self.beat.0 * 30)
    }
}

/// What an instance is in its cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// It holds the lease of this epoch.
    Leading(Epoch),
    /// Its leader, of this epoch, replies to its heartbeats.
    Following(Epoch),
    /// It has no leader.
    Orphan,
}

/// Whether callers may be sent to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Readiness {
    /// It is in force with what others have.
    Ready,
    /// It has not learned the configuration and the indexes yet.
    Learning,
    /// It has reached neither the platform nor a peer for a while.
    Stale,
    /// It is leaving.
    Leaving,
}

impl fmt::Display for Readiness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ready => "ready",
            Self::Learning => "learning",
            Self::Stale => "stale",
            Self::Leaving => "leaving",
        })
    }
}

#[derive(Clone, Debug)]
struct Heard {
    member: Member,
    cell: Option<CellId>,
    config: ConfigVersion,
    at: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct Leader {
    addr: SocketAddr,
    epoch: Epoch,
    acked: Timestamp,
}

/// The instances as this one knows them.
#[derive(Clone, Debug)]
pub(crate) struct Members {
    timing: Timing,
    me: Member,
    cell: Option<CellId>,
    cells: CellTable,
    journal: Journal,
    heard: IndexMap<InstanceName, Heard>,
    listed: Vec<ListedInstance>,
    seeds: Vec<SocketAddr>,
    seen: IndexMap<InstanceName, (Incarnation, Position)>,
    unreachable: IndexMap<SocketAddr, Timestamp>,
    pub(crate) lease: Lease,
    led_since: Timestamp,
    leader: Option<Leader>,
    top_epoch: Epoch,
    share: Share,
    own_config: ConfigVersion,
    said_config: ConfigVersion,
    wanted: IndexMap<super::ObjectKey, ObjectVersion>,
    synced: IndexSet<&'static str>,
    witnesses: IndexSet<InstanceName>,
    learned: bool,
    platform_at: Option<Timestamp>,
    peer_at: Option<Timestamp>,
}

impl Members {
    /// What an instance with these settings knows when it starts: itself.
    pub(crate) fn of(settings: &Settings) -> Self {
        let started = SystemTime::now().duration_since(UNIX_EPOCH);
        let started = started.unwrap_or_default().as_millis();
        let me = Member {
            name: settings.name.clone(),
            incarnation: Incarnation(u64::try_from(started).unwrap_or(u64::MAX)),
            addr: settings.listen,
            peer_addr: settings.peer_listen,
            failure_domain: settings.failure_domain.clone(),
            region: settings.region.clone(),
            state: MemberState::Joining,
        };
        let beat = settings.heartbeat;
        Self::new(Timing { beat }, me, settings.seeds.clone())
    }

    pub(crate) fn new(timing: Timing, me: Member, seeds: Vec<SocketAddr>) -> Self {
        Self {
            timing,
            me,
            cell: None,
            cells: CellTable::default(),
            journal: Journal::default(),
            heard: IndexMap::new(),
            listed: Vec::new(),
            seeds,
            seen: IndexMap::new(),
            unreachable: IndexMap::new(),
            lease: Lease::new(timing.lease()),
            led_since: Timestamp::default(),
            leader: None,
            top_epoch: Epoch::default(),
            share: Share::new(timing.count_hold()),
            own_config: ConfigVersion::default(),
            said_config: ConfigVersion::default(),
            wanted: IndexMap::new(),
            synced: IndexSet::new(),
            witnesses: IndexSet::new(),
            learned: false,
            platform_at: None,
            peer_at: None,
        }
    }

    pub(crate) fn timing(&self) -> Timing {
        self.timing
    }

    pub(crate) fn me(&self) -> &Member {
        &self.me
    }

    pub(crate) fn cell(&self) -> Option<&CellId> {
        self.cell.as_ref()
    }

    pub(crate) fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Says that this instance is leaving, from the next heartbeat on.
    pub(crate) fn leave(&mut self) {
        self.me.state = MemberState::Leaving;
    }

    /// Says that this instance has stopped, in its last heartbeat.
    pub(crate) fn stop(&mut self) {
        self.me.state = MemberState::Gone;
    }

    /// Whether this instance has stopped.
    pub(crate) fn has_stopped(&self) -> bool {
        self.me.state == MemberState::Gone
    }

    /// Whether this instance may take the lease of its cell. One that is leaving does
    /// so only when there is nobody else to say that it is leaving.
    pub(crate) fn may_lead(&self) -> bool {
        match self.me.state {
            MemberState::Joining | MemberState::Live => true,
            MemberState::Gone => false,
            MemberState::Leaving => {
                let cell = self.cell.as_ref().and_then(|cell| self.cells.summary(cell));
                cell.is_none_or(|cell| cell.members.keys().all(|name| *name == self.me.name))
            }
        }
    }

    /// What this instance is in its cell now.
    pub(crate) fn role(&self, now: Timestamp) -> Role {
        if let Some(epoch) = self.lease.epoch(now) {
            return Role::Leading(epoch);
        }
        match self.leader {
            Some(leader) if now.since(leader.acked) <= self.timing.silent() => {
                Role::Following(leader.epoch)
            }
            _ => Role::Orphan,
        }
    }

    /// Where the leader takes heartbeats, while there is one.
    pub(crate) fn leader_addr(&self, now: Timestamp) -> Option<SocketAddr> {
        match self.role(now) {
            Role::Following(_) => self.leader.map(|leader| leader.addr),
            Role::Leading(_) | Role::Orphan => None,
        }
    }

    /// Whether this instance itself reads the platform: as a leader for its cell, and
    /// without a leader for itself.
    pub(crate) fn reads_platform(&self, now: Timestamp) -> bool {
        !matches!(self.role(now), Role::Following(_))
    }

    /// Joins a cell, once; the choice stands for the life of the process.
    pub(crate) fn join(&mut self, rng: &mut SmallRng) -> CellId {
        if let Some(cell) = &self.cell {
            return cell.clone();
        }
        let summaries = self.summaries();
        let summaries: Vec<&Summary> = summaries.iter().collect();
        let (failure_domain, name) = (&self.me.failure_domain, &self.me.name);
        let cell = cells::choose(failure_domain, name, &summaries, rng);
        self.cell = Some(cell.clone());
        cell
    }

    /// The fence to take the lease with, above every one that was seen.
    pub(crate) fn epoch_above(&self, epoch: Epoch) -> Epoch {
        let known = self
            .cell
            .as_ref()
            .map(|cell| self.cells.version(cell).epoch)
            .unwrap_or_default();
        let seen = known.max(self.top_epoch);
        epoch.max(Epoch(seen.0 + 1))
    }

    /// Whether enough is known to choose a cell without the platform's list of them.
    pub(crate) fn met_somebody(&self) -> bool {
        !self.witnesses.is_empty()
    }

    /// Notes that a lease was taken.
    pub(crate) fn begin_leading(&mut self, now: Timestamp) {
        self.led_since = now;
        self.leader = None;
        self.seen.clear();
    }

    /// The summary to publish as leader, when it differs from the published one.
    ///
    /// An instance that was not heard yet stays for a while after the lease changed
    /// hands, because it may not have found its new leader.
    pub(crate) fn to_publish(&self, now: Timestamp) -> Option<Summary> {
        let epoch = self.lease.epoch(now)?;
        let cell = self.cell.clone()?;
        let known = self.cells.summary(&cell);
        let mut members = IndexMap::new();
        let waits = now.since(self.led_since) <= self.timing.dead();
        if waits && let Some(known) = &known {
            members.extend(known.members.clone());
        }
        for heard in self.heard.values() {
            let alive = now.since(heard.at) <= self.timing.dead();
            if heard.cell.as_ref() == Some(&cell) && alive {
                members.insert(heard.member.name.clone(), heard.member.clone());
            }
        }
        members.insert(self.me.name.clone(), self.me.clone());
        members.retain(|_, member| member.state != MemberState::Gone);
        let version = known
            .as_ref()
            .map(|known| known.version)
            .unwrap_or_default();
        if version.epoch == epoch && known.is_some_and(|known| known.members == members) {
            return None;
        }
        Some(Summary {
            cell,
            version: next_version(version, epoch),
            members,
        })
    }

    /// Takes a summary that the platform holds.
    pub(crate) fn adopt_summary(&mut self, summary: &Summary) -> bool {
        if self.cells.version(&summary.cell) >= summary.version {
            return false;
        }
        let topic = Topic::Cell(summary.cell.clone());
        let at = self
            .journal
            .note(&topic, TopicVersion::Cell(summary.version));
        self.cells.adopt(summary, at)
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

    /// Takes an object that the directory accepted.
    pub(crate) fn adopt_object(&mut self, object: &Object, config: ConfigVersion) {
        self.own_config = self.own_config.max(config);
        self.said_config = self.said_config.max(config);
        self.journal.note_object(object);
        if self
            .wanted
            .get(&object.key)
            .is_some_and(|version| *version <= object.version)
        {
            self.wanted.swap_remove(&object.key);
        }
    }

    /// The summary of a cell.
    pub(crate) fn summary(&self, cell: &CellId) -> Option<Summary> {
        self.cells.summary(cell)
    }

    /// The next version of a cell's summary under `epoch`.
    pub(crate) fn next_version(&self, cell: &CellId, epoch: Epoch) -> CellVersion {
        next_version(self.cells.version(cell), epoch)
    }

    /// The cell whose lease this leader keeps an eye on.
    pub(crate) fn ward(&self) -> Option<CellId> {
        cells::ward(self.cell.as_ref()?, self.cells.ids())
    }

    /// The instances to choose from, each once, with those that did not reply lately
    /// left out.
    pub(crate) fn candidates(&self, now: Timestamp) -> Vec<Member> {
        let mut by_name: IndexMap<InstanceName, &Member> = IndexMap::new();
        let heard = self
            .heard
            .values()
            .filter(|heard| now.since(heard.at) <= self.timing.dead())
            .map(|heard| &heard.member);
        for member in self.cells.members().chain(heard).chain([&self.me]) {
            let known = by_name.get(&member.name);
            if known.is_none_or(|known| later(member, known)) {
                by_name.insert(member.name.clone(), member);
            }
        }
        let serves_here = self.readiness(now) == Readiness::Ready;
        by_name
            .into_values()
            .filter(|member| !self.failed_lately(now, member.peer_addr))
            .filter(|member| serves_here || member.name != self.me.name)
            .cloned()
            .collect()
    }

    /// How many instances the limits are divided among. One that moved to another cell
    /// counts in both until its old leader drops it, which errs towards small shares.
    pub(crate) fn live(&mut self, now: Timestamp) -> u32 {
        let vouched = self.role(now) != Role::Orphan;
        let heard = self.heard.values();
        let unlisted = heard
            .filter(|heard| heard.member.state != MemberState::Gone)
            .filter(|heard| !vouched || now.since(heard.at) <= self.timing.dead())
            .filter(|heard| !self.cells.contains(heard.cell.as_ref(), &heard.member.name));
        let own = usize::from(!self.cells.contains(self.cell.as_ref(), &self.me.name));
        let known = self.cells.count() + unlisted.count() + own;
        let known = u32::try_from(known).unwrap_or(u32::MAX);
        self.share.count(now, known, vouched)
    }

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

    /// Notes that a peer did not reply.
    pub(crate) fn on_silence(&mut self, now: Timestamp, addr: SocketAddr) {
        let hold = self.timing.count_hold();
        self.unreachable.retain(|_, at| now.since(*at) <= hold);
        self.unreachable.insert(addr, now);
    }

    /// Objects that peers have in a newer state.
    pub(crate) fn wanted(&self) -> Vec<super::ObjectKey> {
        self.wanted.keys().cloned().collect()
    }

    /// Stops waiting for objects that no peer sent.
    pub(crate) fn forget_wanted(&mut self) {
        self.wanted.clear();
        self.seen.clear();
    }

    /// The cells with their latest summaries.
    pub(crate) fn summaries(&self) -> Vec<Summary> {
        let ids = self.cells.ids();
        ids.filter_map(|cell| self.cells.summary(cell)).collect()
    }

    /// Notes what the platform listed.
    pub(crate) fn on_list(&mut self, listed: Vec<ListedInstance>) {
        self.listed = listed;
    }

    /// Notes that the platform answered; `whole` names a prefix that was read whole.
    pub(crate) fn on_platform(&mut self, now: Timestamp, whole: Option<&'static str>) {
        self.platform_at = Some(now);
        self.synced.extend(whole);
    }

    /// A peer to exchange with when there is no leader: one drawn at random, those
    /// that did not reply lately last.
    pub(crate) fn stranger(
        &self,
        now: Timestamp,
        rng: &mut SmallRng,
    ) -> Option<(Option<InstanceName>, SocketAddr)> {
        let mut known: IndexMap<SocketAddr, Option<InstanceName>> = IndexMap::new();
        known.extend(self.seeds.iter().map(|addr| (*addr, None)));
        let listed = self.listed.iter();
        known.extend(listed.map(|one| (one.peer_addr, Some(one.name.clone()))));
        let heard = self.heard.values().map(|heard| &heard.member);
        for member in self.cells.members().chain(heard) {
            known.insert(member.peer_addr, Some(member.name.clone()));
        }
        known.swap_remove(&self.me.peer_addr);
        let replying = known
            .iter()
            .filter(|(addr, _)| !self.failed_lately(now, **addr));
        let drawn = replying.choose(rng).or_else(|| known.iter().choose(rng))?;
        Some((drawn.1.clone(), *drawn.0))
    }

    /// The name of the instance that takes heartbeats at `addr`.
    pub(crate) fn name_at(&self, addr: SocketAddr) -> Option<InstanceName> {
        let heard = self.heard.values().map(|heard| &heard.member);
        let mut known = heard.chain(self.cells.members());
        let found = known.find(|member| member.peer_addr == addr);
        found.map(|member| member.name.clone())
    }

    fn failed_lately(&self, now: Timestamp, addr: SocketAddr) -> bool {
        self.unreachable
            .get(&addr)
            .is_some_and(|at| now.since(*at) <= self.timing.dead())
    }

    /// Whether callers may be sent here.
    pub(crate) fn readiness(&self, now: Timestamp) -> Readiness {
        if self.me.state >= MemberState::Leaving {
            return Readiness::Leaving;
        }
        if !self.learned {
            return Readiness::Learning;
        }
        let heard_at = self.platform_at.max(self.peer_at);
        if heard_at.is_none_or(|at| now.since(at) > self.timing.stale()) {
            return Readiness::Stale;
        }
        Readiness::Ready
    }

    /// Whether the configuration and the indexes are known; once they are, they stay.
    ///
    /// They are known after the platform listed them, or after several peers that are
    /// in step with others told all they know and no one is known to have had a newer
    /// configuration in force.
    pub(crate) fn learn(&mut self) -> bool {
        if self.learned {
            return true;
        }
        let listed = super::follow::LEARNED_FROM
            .iter()
            .all(|prefix| self.synced.contains(prefix));
        let others = self.others().max(1);
        let asked = self.witnesses.len() >= ENOUGH_WITNESSES.min(others);
        let told = asked && self.wanted.is_empty() && self.own_config >= self.said_config;
        self.learned = listed || told;
        if self.learned && self.me.state == MemberState::Joining {
            self.me.state = MemberState::Live;
        }
        self.learned
    }

    fn others(&self) -> usize {
        let mut names: IndexSet<&InstanceName> =
            self.cells.members().map(|member| &member.name).collect();
        names.extend(self.heard.keys());
        names.swap_remove(&self.me.name);
        names.len()
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

    /// The configuration in force here.
    pub(crate) fn config(&self) -> ConfigVersion {
        self.own_config
    }

    /// A part of a heartbeat's time, drawn so that instances do not beat in step.
    pub(crate) fn pause(&self, rng: &mut SmallRng) -> Span {
        let beat = self.timing.beat.0;
        Span(rng.random_range(beat * 9 / 10..=beat))
    }
}

/// Whether `one` is a later state of the same instance; its states only move on.
fn later(one: &Member, than: &Member) -> bool {
    (one.incarnation, one.state) > (than.incarnation, than.state)
}

fn next_version(known: CellVersion, epoch: Epoch) -> CellVersion {
    if known.epoch == epoch {
        CellVersion {
            epoch,
            seq: CellSeq(known.seq.0 + 1),
        }
    } else {
        CellVersion {
            epoch,
            seq: CellSeq(1),
        }
    }
}

fn flip((epoch, cell): (Epoch, CellId)) -> (CellId, Epoch) {
    (cell, epoch)
}
