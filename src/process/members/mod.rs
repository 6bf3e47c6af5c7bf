//! Who is alive, as far as this instance knows, and what it tells its peers.
//!
//! Everything here is decided over the present and the table alone. What is carried
//! out is in `heartbeat.rs` and `lead.rs`; the rules are in `docs/DESIGN.md`,
//! "Membership".

mod leading;
mod learning;
mod reach;
mod standing;
mod telling;

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use indexmap::{IndexMap, IndexSet};
use rand::Rng;
use rand::rngs::SmallRng;

pub(crate) use standing::{Readiness, Role, Timing};

use super::cell_table::CellTable;
use super::cells::{self, CellId, Member, MemberState, Summary};
use super::journal::{Journal, Topic, TopicVersion};
use super::lease::Lease;
use super::share::Share;
use super::{ListedInstance, Object, Settings};
use crate::types::{
    ConfigVersion, Epoch, Incarnation, InstanceName, ObjectVersion, Position, Span, Timestamp,
};

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

    /// Whether enough is known to choose a cell without the platform's list of them.
    pub(crate) fn met_somebody(&self) -> bool {
        !self.witnesses.is_empty()
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
