//! Membership as this instance knows it; see `docs/DESIGN.md`, "Membership".
//!
//! The code here decides from the current time and its own tables, without I/O;
//! `heartbeat.rs` and `lead.rs` carry the decisions out.

mod heartbeat_messages;
mod leading;
mod learning;
mod reachability;
mod timing;

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use indexmap::{IndexMap, IndexSet};
use rand::Rng;
use rand::rngs::SmallRng;

pub(crate) use timing::{Readiness, Role, Timing};

use super::cell_table::CellTable;
use super::cells::{self, CellId, Member, MemberState, Summary};
use super::change_log::{ChangeLog, Topic, TopicVersion};
use super::instance_count::InstanceCount;
use super::lease::Lease;
use super::{ListedInstance, Object, Settings};
use crate::types::{
    ConfigVersion, Epoch, Incarnation, InstanceName, ObjectVersion, Position, Span, Timestamp,
};

/// The latest contact with an instance, directly or as reported by a peer.
#[derive(Clone, Debug)]
struct Contact {
    member: Member,
    cell: Option<CellId>,
    config: ConfigVersion,
    at: Timestamp,
}

/// The leader that this instance follows.
#[derive(Clone, Copy, Debug)]
struct Leader {
    addr: SocketAddr,
    epoch: Epoch,
    /// When the last heartbeat that the leader replied to was sent.
    acked: Timestamp,
}

/// The membership table of this instance.
#[derive(Clone, Debug)]
pub(crate) struct Members {
    timing: Timing,
    me: Member,
    cell: Option<CellId>,
    cells: CellTable,
    change_log: ChangeLog,
    contacts: IndexMap<InstanceName, Contact>,
    listed: Vec<ListedInstance>,
    seeds: Vec<SocketAddr>,
    /// How far each peer's change log has been read.
    peer_positions: IndexMap<InstanceName, (Incarnation, Position)>,
    unreachable: IndexMap<SocketAddr, Timestamp>,
    pub(crate) lease: Lease,
    led_since: Timestamp,
    leader: Option<Leader>,
    /// The highest epoch in which another instance confirmed that it leads the cell.
    highest_epoch: Epoch,
    instance_count: InstanceCount,
    own_config: ConfigVersion,
    /// The latest configuration known to have been in force at any instance.
    latest_config: ConfigVersion,
    /// The objects of which a peer has a newer version, with that version.
    to_fetch: IndexMap<super::ObjectKey, ObjectVersion>,
    synced_prefixes: IndexSet<&'static str>,
    /// The fresh peers that have reported all their changes.
    synced_peers: IndexSet<InstanceName>,
    learned: bool,
    platform_contact_at: Option<Timestamp>,
    peer_contact_at: Option<Timestamp>,
}

impl Members {
    /// The initial table of an instance with these settings; it holds only that instance.
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
        let heartbeat_interval = settings.heartbeat;
        Self::new(Timing { heartbeat_interval }, me, settings.seeds.clone())
    }

    pub(crate) fn new(timing: Timing, me: Member, seeds: Vec<SocketAddr>) -> Self {
        Self {
            timing,
            me,
            cell: None,
            cells: CellTable::default(),
            change_log: ChangeLog::default(),
            contacts: IndexMap::new(),
            listed: Vec::new(),
            seeds,
            peer_positions: IndexMap::new(),
            unreachable: IndexMap::new(),
            lease: Lease::new(timing.lease_duration()),
            led_since: Timestamp::default(),
            leader: None,
            highest_epoch: Epoch::default(),
            instance_count: InstanceCount::new(timing.departed_retention()),
            own_config: ConfigVersion::default(),
            latest_config: ConfigVersion::default(),
            to_fetch: IndexMap::new(),
            synced_prefixes: IndexSet::new(),
            synced_peers: IndexSet::new(),
            learned: false,
            platform_contact_at: None,
            peer_contact_at: None,
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

    pub(crate) fn change_log(&self) -> &ChangeLog {
        &self.change_log
    }

    /// Marks this instance as leaving in its heartbeats from now on.
    pub(crate) fn leave(&mut self) {
        self.me.state = MemberState::Leaving;
    }

    /// Marks this instance as stopped, for its last heartbeat.
    pub(crate) fn stop(&mut self) {
        self.me.state = MemberState::Gone;
    }

    pub(crate) fn has_stopped(&self) -> bool {
        self.me.state == MemberState::Gone
    }

    /// Whether this instance may take the lease of its cell: while leaving, only if it is
    /// alone in the cell, since no other leader can then publish that it is leaving.
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

    /// The role of this instance in its cell.
    pub(crate) fn role(&self, now: Timestamp) -> Role {
        if let Some(epoch) = self.lease.epoch(now) {
            return Role::Leading(epoch);
        }
        match self.leader {
            Some(leader) if now.since(leader.acked) <= self.timing.leader_timeout() => {
                Role::Following(leader.epoch)
            }
            _ => Role::Orphan,
        }
    }

    /// The leader's address for heartbeats, while this instance follows one.
    pub(crate) fn leader_addr(&self, now: Timestamp) -> Option<SocketAddr> {
        match self.role(now) {
            Role::Following(_) => self.leader.map(|leader| leader.addr),
            Role::Leading(_) | Role::Orphan => None,
        }
    }

    /// Whether this instance reads the platform, as leader for its cell or as orphan for itself.
    pub(crate) fn reads_platform(&self, now: Timestamp) -> bool {
        !matches!(self.role(now), Role::Following(_))
    }

    /// Joins a cell at the first call and returns it; it is kept until the process ends.
    pub(crate) fn join(&mut self, rng: &mut SmallRng) -> CellId {
        if let Some(cell) = &self.cell {
            return cell.clone();
        }
        let summaries = self.summaries();
        let summaries: Vec<&Summary> = summaries.iter().collect();
        let (failure_domain, name) = (&self.me.failure_domain, &self.me.name);
        let cell = cells::choose_cell(failure_domain, name, &summaries, rng);
        self.cell = Some(cell.clone());
        cell
    }

    /// Whether a peer has sent all its changes, so a cell can be chosen without the platform.
    pub(crate) fn has_synced_peer(&self) -> bool {
        !self.synced_peers.is_empty()
    }

    /// Applies a summary stored on the platform, unless the known version is the same or newer.
    pub(crate) fn adopt_summary(&mut self, summary: &Summary) -> bool {
        if self.cells.version(&summary.cell) >= summary.version {
            return false;
        }
        let topic = Topic::Cell(summary.cell.clone());
        let at = self
            .change_log
            .record(&topic, TopicVersion::Cell(summary.version));
        self.cells.adopt(summary, at)
    }

    /// Records an object put into use here, and the configuration in force with it.
    pub(crate) fn adopt_object(&mut self, object: &Object, config: ConfigVersion) {
        self.own_config = self.own_config.max(config);
        self.latest_config = self.latest_config.max(config);
        self.change_log.record_object(object);
        if self
            .to_fetch
            .get(&object.key)
            .is_some_and(|version| *version <= object.version)
        {
            self.to_fetch.swap_remove(&object.key);
        }
    }

    /// The known summary of a cell.
    pub(crate) fn summary(&self, cell: &CellId) -> Option<Summary> {
        self.cells.summary(cell)
    }

    /// The number of instances that share the limits. One that moved to another cell counts
    /// in both until its old leader drops it, so shares are rather too small than too large.
    pub(crate) fn live(&mut self, now: Timestamp) -> u32 {
        let confirmed = self.role(now) != Role::Orphan;
        let contacts = self.contacts.values();
        let unlisted = contacts
            .filter(|c| c.member.state != MemberState::Gone)
            .filter(|c| !confirmed || now.since(c.at) <= self.timing.member_timeout())
            .filter(|c| !self.cells.contains(c.cell.as_ref(), &c.member.name));
        let own = usize::from(!self.cells.contains(self.cell.as_ref(), &self.me.name));
        let known = self.cells.count() + unlisted.count() + own;
        let known = u32::try_from(known).unwrap_or(u32::MAX);
        self.instance_count.count(now, known, confirmed)
    }

    /// The keys of the objects of which a peer has a newer version.
    pub(crate) fn to_fetch(&self) -> Vec<super::ObjectKey> {
        self.to_fetch.keys().cloned().collect()
    }

    /// Drops the objects that no peer sent, and rereads all peers' change logs from the start.
    pub(crate) fn clear_to_fetch(&mut self) {
        self.to_fetch.clear();
        self.peer_positions.clear();
    }

    /// The latest summary of every known cell.
    pub(crate) fn summaries(&self) -> Vec<Summary> {
        let ids = self.cells.ids();
        ids.filter_map(|cell| self.cells.summary(cell)).collect()
    }

    /// Records the instances listed by the platform.
    pub(crate) fn set_listed(&mut self, listed: Vec<ListedInstance>) {
        self.listed = listed;
    }

    /// Records a reply of the platform, which listed everything under `prefix` if it is given.
    pub(crate) fn on_platform_reply(&mut self, now: Timestamp, prefix: Option<&'static str>) {
        self.platform_contact_at = Some(now);
        self.synced_prefixes.extend(prefix);
    }

    /// The configuration in force at this instance.
    pub(crate) fn config(&self) -> ConfigVersion {
        self.own_config
    }

    /// The heartbeat interval less a random 0 to 10%, so instances do not send in lockstep.
    pub(crate) fn next_heartbeat_delay(&self, rng: &mut SmallRng) -> Span {
        let heartbeat_interval = self.timing.heartbeat_interval.0;
        Span(rng.random_range(heartbeat_interval * 9 / 10..=heartbeat_interval))
    }
}
