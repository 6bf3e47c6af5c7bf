//! The JSON encoding of leases and cell summaries in the platform's objects.

use serde::{Deserialize, Serialize};

use super::ObjectKey;
use super::cells::{CellId, CellVersion, Member, Summary};
use super::lease::LeaseRecord;
use crate::types::{CellSeq, Epoch, Incarnation, ParseError};

const LEASE_PREFIX: &str = "leases/";
/// The key prefix of all cell summaries.
pub(crate) const CELL_PREFIX: &str = "cells/";

/// Why a lease or summary could not be encoded or decoded.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum CellWireError {
    #[error("invalid JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Value(#[from] ParseError),
    #[error("invalid address {0:?}")]
    Addr(String),
}

/// The key of the lease of a cell.
pub(crate) fn lease_key(cell: &CellId) -> ObjectKey {
    ObjectKey::new(format!("{LEASE_PREFIX}{cell}"))
}

/// The key of the summary of a cell.
pub(crate) fn cell_key(cell: &CellId) -> ObjectKey {
    ObjectKey::new(format!("{CELL_PREFIX}{cell}"))
}

#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct LeaseWire {
    epoch: u64,
    holder: String,
    incarnation: u64,
    peer_addr: String,
    renewals: u64,
    released: bool,
}

#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct CellWire {
    cell: String,
    epoch: u64,
    seq: u64,
    members: Vec<MemberWire>,
}

#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct MemberWire {
    name: String,
    incarnation: u64,
    addr: String,
    peer_addr: String,
    region: String,
    state: String,
}

impl LeaseRecord {
    pub(crate) fn to_json(&self) -> Result<Vec<u8>, CellWireError> {
        let wire = LeaseWire {
            epoch: self.epoch.0,
            holder: self.holder.to_string(),
            incarnation: self.incarnation.0,
            peer_addr: self.peer_addr.to_string(),
            renewals: self.renewals,
            released: self.released,
        };
        Ok(serde_json::to_vec(&wire)?)
    }

    pub(crate) fn from_json(json: &[u8]) -> Result<Self, CellWireError> {
        let wire: LeaseWire = serde_json::from_slice(json)?;
        Ok(Self {
            epoch: Epoch(wire.epoch),
            holder: wire.holder.parse()?,
            incarnation: Incarnation(wire.incarnation),
            peer_addr: addr(wire.peer_addr)?,
            renewals: wire.renewals,
            released: wire.released,
        })
    }
}

impl Summary {
    pub(crate) fn to_json(&self) -> Result<Vec<u8>, CellWireError> {
        let wire = CellWire {
            cell: self.cell.to_string(),
            epoch: self.version.epoch.0,
            seq: self.version.seq.0,
            members: self.members.values().map(MemberWire::from).collect(),
        };
        Ok(serde_json::to_vec(&wire)?)
    }

    pub(crate) fn from_json(json: &[u8]) -> Result<Self, CellWireError> {
        let wire: CellWire = serde_json::from_slice(json)?;
        let cell: CellId = wire.cell.parse()?;
        let members = wire.members.into_iter().map(|member| {
            let member = read_member(&cell, member)?;
            Ok((member.name.clone(), member))
        });
        Ok(Self {
            members: members.collect::<Result<_, CellWireError>>()?,
            cell,
            version: CellVersion {
                epoch: Epoch(wire.epoch),
                seq: CellSeq(wire.seq),
            },
        })
    }
}

impl From<&Member> for MemberWire {
    fn from(member: &Member) -> Self {
        Self {
            name: member.name.to_string(),
            incarnation: member.incarnation.0,
            addr: member.addr.to_string(),
            peer_addr: member.peer_addr.to_string(),
            region: member.region.to_string(),
            state: member.state.to_string(),
        }
    }
}

fn read_member(cell: &CellId, wire: MemberWire) -> Result<Member, CellWireError> {
    Ok(Member {
        name: wire.name.parse()?,
        incarnation: Incarnation(wire.incarnation),
        addr: addr(wire.addr)?,
        peer_addr: addr(wire.peer_addr)?,
        failure_domain: cell.failure_domain.clone(),
        region: wire.region.parse()?,
        state: wire.state.parse()?,
    })
}

fn addr(text: String) -> Result<std::net::SocketAddr, CellWireError> {
    text.parse().map_err(|_| CellWireError::Addr(text))
}
