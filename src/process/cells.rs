//! Cells: groups of instances within one failure domain, each with one leader.
//!
//! Only leaders read the platform's watches, so its calls grow with the cells and not
//! with the instances; see `docs/DESIGN.md`, "Membership".

use std::fmt;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::str::FromStr;

use indexmap::IndexMap;
use rand::Rng;
use rand::rngs::SmallRng;
use siphasher::sip::SipHasher13;

use crate::types::{CellSeq, Epoch, FailureDomain, Incarnation, InstanceName, ParseError, Region};

/// The most instances of a cell.
pub(crate) const CELL_INSTANCES: usize = 32;

/// The name of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct CellId {
    /// The failure domain that all its instances stand in.
    pub(crate) failure_domain: FailureDomain,
    /// Its number within the failure domain.
    pub(crate) number: u32,
}

impl fmt::Display for CellId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.failure_domain, self.number)
    }
}

impl FromStr for CellId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let wrong = || ParseError::new("a cell id", text, "it is not like suva-a/0");
        let (failure_domain, number) = text.rsplit_once('/').ok_or_else(wrong)?;
        Ok(Self {
            failure_domain: failure_domain.parse()?,
            number: number.parse().map_err(|_| wrong())?,
        })
    }
}

/// Whether an instance takes new callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum MemberState {
    /// It does not serve yet.
    Joining,
    /// It does.
    Live,
    /// It still serves, but no caller is sent to it any more.
    Leaving,
    /// It has stopped.
    Gone,
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Joining => "joining",
            Self::Live => "live",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        })
    }
}

impl FromStr for MemberState {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text {
            "joining" => Ok(Self::Joining),
            "live" => Ok(Self::Live),
            "leaving" => Ok(Self::Leaving),
            "gone" => Ok(Self::Gone),
            _ => Err(ParseError::new(
                "a member state",
                text,
                "it is not joining, live, leaving or gone",
            )),
        }
    }
}

/// One instance as others know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Member {
    /// Its name.
    pub(crate) name: InstanceName,
    /// Which process of that name it is.
    pub(crate) incarnation: Incarnation,
    /// Where callers connect.
    pub(crate) addr: SocketAddr,
    /// Where other instances connect.
    pub(crate) peer_addr: SocketAddr,
    /// The failure domain it stands in.
    pub(crate) failure_domain: FailureDomain,
    /// The region of that failure domain.
    pub(crate) region: Region,
    /// Whether it takes new callers.
    pub(crate) state: MemberState,
}

/// The order of a cell's summaries; a later epoch goes before any sequence number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct CellVersion {
    /// The epoch of the leader that made it.
    pub(crate) epoch: Epoch,
    /// Its place within the epoch.
    pub(crate) seq: CellSeq,
}

/// What a cell's leader states about its instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Summary {
    /// The cell.
    pub(crate) cell: CellId,
    /// Which of its summaries this is.
    pub(crate) version: CellVersion,
    /// The instances by name.
    pub(crate) members: IndexMap<InstanceName, Member>,
}

/// The cell that a new instance joins: one drawn at random from those of its failure
/// domain with room, else the lowest number that is free.
pub(crate) fn choose(
    failure_domain: &FailureDomain,
    name: &InstanceName,
    summaries: &[&Summary],
    rng: &mut SmallRng,
) -> CellId {
    let own: Vec<&&Summary> = summaries
        .iter()
        .filter(|summary| summary.cell.failure_domain == *failure_domain)
        .collect();
    if let Some(before) = own.iter().find(|one| one.members.contains_key(name)) {
        return before.cell.clone();
    }
    let room: Vec<&&&Summary> = own
        .iter()
        .filter(|summary| summary.members.len() < CELL_INSTANCES)
        .collect();
    if !room.is_empty() {
        return room[rng.random_range(0..room.len())].cell.clone();
    }
    let taken = |number: &u32| own.iter().any(|one| one.cell.number == *number);
    let number = (0..u32::MAX).find(|number| !taken(number));
    CellId {
        failure_domain: failure_domain.clone(),
        number: number.unwrap_or_default(),
    }
}

/// The cell whose lease the leader of `of` keeps an eye on: the next in an order in
/// which neighbours rarely share a failure domain.
pub(crate) fn ward<'a>(of: &CellId, cells: impl Iterator<Item = &'a CellId>) -> Option<CellId> {
    let mut ring: Vec<(u64, &CellId)> = cells.map(|cell| (place(cell), cell)).collect();
    ring.sort_unstable();
    let own = place(of);
    let next = ring.iter().find(|(at, cell)| (*at, *cell) > (own, of));
    let next = next.or(ring.first())?;
    (next.1 != of).then(|| next.1.clone())
}

fn place(cell: &CellId) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(cell.failure_domain.as_str().as_bytes());
    hasher.write_u32(cell.number);
    hasher.finish()
}
