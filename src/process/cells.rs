//! Cells: groups of instances within one failure domain, each with one leader.
//!
//! Only leaders watch the platform, so the calls to it grow with the number of cells and
//! not with the number of instances; see `docs/DESIGN.md`, "Membership".

use std::fmt;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::str::FromStr;

use indexmap::IndexMap;
use rand::Rng;
use rand::rngs::SmallRng;
use siphasher::sip::SipHasher13;

use crate::types::{CellSeq, Epoch, FailureDomain, Incarnation, InstanceName, ParseError, Region};

/// The maximum number of instances in a cell.
pub(crate) const MAX_CELL_INSTANCES: usize = 32;

/// The name of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct CellId {
    /// The failure domain of all its instances.
    pub(crate) failure_domain: FailureDomain,
    /// The number of the cell within the failure domain.
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
        let invalid = || ParseError::new("a cell id", text, "it does not have the form suva-a/0");
        let (failure_domain, number) = text.rsplit_once('/').ok_or_else(invalid)?;
        Ok(Self {
            failure_domain: failure_domain.parse()?,
            number: number.parse().map_err(|_| invalid())?,
        })
    }
}

/// The life cycle of an instance, in the order in which it passes through the states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum MemberState {
    /// The instance does not serve yet.
    Joining,
    /// The instance serves and accepts new callers.
    Live,
    /// The instance still serves, but no new callers are sent to it.
    Leaving,
    /// The instance has stopped.
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

/// An instance as other instances know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Member {
    /// The name of the instance.
    pub(crate) name: InstanceName,
    /// Distinguishes its process from others of the same name.
    pub(crate) incarnation: Incarnation,
    /// The address for callers.
    pub(crate) addr: SocketAddr,
    /// The address for other instances.
    pub(crate) peer_addr: SocketAddr,
    /// The failure domain of the instance.
    pub(crate) failure_domain: FailureDomain,
    /// The region of that failure domain.
    pub(crate) region: Region,
    /// Its life cycle state.
    pub(crate) state: MemberState,
}

/// The version of a cell's summary, ordered by epoch and then by sequence number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct CellVersion {
    /// The epoch of the leader that published the summary.
    pub(crate) epoch: Epoch,
    /// The sequence number within the epoch.
    pub(crate) seq: CellSeq,
}

/// The instances of a cell, as published by its leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Summary {
    /// The cell.
    pub(crate) cell: CellId,
    /// The version of the summary.
    pub(crate) version: CellVersion,
    /// The instances of the cell by name.
    pub(crate) members: IndexMap<InstanceName, Member>,
}

/// Returns the cell that an instance joins, within its failure domain: the cell that
/// already lists it, else a random cell below [`MAX_CELL_INSTANCES`], else a new cell with the
/// lowest free number.
pub(crate) fn choose_cell(
    failure_domain: &FailureDomain,
    name: &InstanceName,
    summaries: &[&Summary],
    rng: &mut SmallRng,
) -> CellId {
    let own: Vec<&&Summary> = summaries
        .iter()
        .filter(|summary| summary.cell.failure_domain == *failure_domain)
        .collect();
    if let Some(previous) = own.iter().find(|own| own.members.contains_key(name)) {
        return previous.cell.clone();
    }
    let with_room: Vec<&&&Summary> = own
        .iter()
        .filter(|summary| summary.members.len() < MAX_CELL_INSTANCES)
        .collect();
    if !with_room.is_empty() {
        return with_room[rng.random_range(0..with_room.len())].cell.clone();
    }
    let taken = |number: &u32| own.iter().any(|own| own.cell.number == *number);
    let number = (0..u32::MAX).find(|number| !taken(number));
    CellId {
        failure_domain: failure_domain.clone(),
        number: number.unwrap_or_default(),
    }
}

/// Returns the cell whose lease the leader of `cell` monitors: the next one on a hash
/// ring, where neighbours rarely share a failure domain.
pub(crate) fn monitored_cell<'a>(
    cell: &CellId,
    cells: impl Iterator<Item = &'a CellId>,
) -> Option<CellId> {
    let mut ring: Vec<(u64, &CellId)> = cells.map(|cell| (ring_position(cell), cell)).collect();
    ring.sort_unstable();
    let own = ring_position(cell);
    let next = ring.iter().find(|(at, other)| (*at, *other) > (own, cell));
    let next = next.or(ring.first())?;
    (next.1 != cell).then(|| next.1.clone())
}

fn ring_position(cell: &CellId) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(cell.failure_domain.as_str().as_bytes());
    hasher.write_u32(cell.number);
    hasher.finish()
}
