//! Heartbeats between instances in cells, and the replies to them, as `bincode` messages; see
//! `peer_wire.rs` for the encoding.

use serde::{Deserialize, Serialize};

use super::peer_wire::{MemberWire, PeerWireError, collect};
use crate::process::{
    CellDelta, CellId, CellVersion, Heartbeat, HeartbeatReply, Object, ObjectKey, SeenInstance,
};
use crate::types::{
    CellSeq, ConfigVersion, Epoch, Fingerprint, Incarnation, ObjectVersion, Position, Span,
};

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct SeenInstanceWire {
    member: MemberWire,
    config: u64,
    age_us: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct HeartbeatWire {
    from: MemberWire,
    cell: Option<String>,
    config: u64,
    seen: u64,
    seen_of: u64,
    digest: u64,
    met: Vec<SeenInstanceWire>,
    poison: Vec<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct HeartbeatReplyWire {
    from: MemberWire,
    leading: Option<(String, u64)>,
    fresh: bool,
    said_config: u64,
    up_to: u64,
    more: bool,
    objects: Vec<(String, u64)>,
    cells: Vec<CellDeltaWire>,
    met: Vec<SeenInstanceWire>,
    poison: Vec<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct CellDeltaWire {
    cell: String,
    epoch: u64,
    seq: u64,
    whole: bool,
    changed: Vec<MemberWire>,
    removed: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ObjectWire {
    key: String,
    version: u64,
    value: Vec<u8>,
}

impl From<&SeenInstance> for SeenInstanceWire {
    fn from(seen: &SeenInstance) -> Self {
        Self {
            member: MemberWire::from(&seen.member),
            config: seen.config.0,
            age_us: seen.age.0,
        }
    }
}

impl TryFrom<SeenInstanceWire> for SeenInstance {
    type Error = PeerWireError;

    fn try_from(wire: SeenInstanceWire) -> Result<Self, PeerWireError> {
        Ok(Self {
            member: wire.member.try_into()?,
            config: ConfigVersion(wire.config),
            age: Span(wire.age_us),
        })
    }
}

impl From<&Heartbeat> for HeartbeatWire {
    fn from(heartbeat: &Heartbeat) -> Self {
        Self {
            from: MemberWire::from(&heartbeat.from),
            cell: heartbeat.cell.as_ref().map(ToString::to_string),
            config: heartbeat.config.0,
            seen: heartbeat.seen.0,
            seen_of: heartbeat.seen_of.0,
            digest: heartbeat.digest,
            met: heartbeat.met.iter().map(SeenInstanceWire::from).collect(),
            poison: heartbeat
                .poison
                .iter()
                .map(|fingerprint| fingerprint.0)
                .collect(),
        }
    }
}

impl TryFrom<HeartbeatWire> for Heartbeat {
    type Error = PeerWireError;

    fn try_from(wire: HeartbeatWire) -> Result<Self, PeerWireError> {
        Ok(Self {
            from: wire.from.try_into()?,
            cell: wire.cell.map(|cell| cell.parse()).transpose()?,
            config: ConfigVersion(wire.config),
            seen: Position(wire.seen),
            seen_of: Incarnation(wire.seen_of),
            digest: wire.digest,
            met: collect(wire.met)?,
            poison: wire.poison.into_iter().map(Fingerprint).collect(),
        })
    }
}

impl From<&HeartbeatReply> for HeartbeatReplyWire {
    fn from(reply: &HeartbeatReply) -> Self {
        let leading = reply.leading.as_ref();
        let objects = reply.objects.iter();
        Self {
            from: MemberWire::from(&reply.from),
            leading: leading.map(|(cell, epoch)| (cell.to_string(), epoch.0)),
            fresh: reply.fresh,
            said_config: reply.said_config.0,
            up_to: reply.up_to.0,
            more: reply.more,
            objects: objects
                .map(|(key, version)| (key.to_string(), version.0))
                .collect(),
            cells: reply.cells.iter().map(CellDeltaWire::from).collect(),
            met: reply.met.iter().map(SeenInstanceWire::from).collect(),
            poison: reply
                .poison
                .iter()
                .map(|fingerprint| fingerprint.0)
                .collect(),
        }
    }
}

impl TryFrom<HeartbeatReplyWire> for HeartbeatReply {
    type Error = PeerWireError;

    fn try_from(wire: HeartbeatReplyWire) -> Result<Self, PeerWireError> {
        let leading = match wire.leading {
            Some((cell, epoch)) => Some((cell.parse()?, Epoch(epoch))),
            None => None,
        };
        let objects = wire.objects.into_iter();
        Ok(Self {
            from: wire.from.try_into()?,
            leading,
            fresh: wire.fresh,
            said_config: ConfigVersion(wire.said_config),
            up_to: Position(wire.up_to),
            more: wire.more,
            objects: objects
                .map(|(key, version)| (ObjectKey::new(key), ObjectVersion(version)))
                .collect(),
            cells: collect(wire.cells)?,
            met: collect(wire.met)?,
            poison: wire.poison.into_iter().map(Fingerprint).collect(),
        })
    }
}

impl From<&CellDelta> for CellDeltaWire {
    fn from(delta: &CellDelta) -> Self {
        Self {
            cell: delta.cell.to_string(),
            epoch: delta.version.epoch.0,
            seq: delta.version.seq.0,
            whole: delta.whole,
            changed: delta.changed.iter().map(MemberWire::from).collect(),
            removed: delta.removed.iter().map(ToString::to_string).collect(),
        }
    }
}

impl TryFrom<CellDeltaWire> for CellDelta {
    type Error = PeerWireError;

    fn try_from(wire: CellDeltaWire) -> Result<Self, PeerWireError> {
        let cell: CellId = wire.cell.parse()?;
        let removed = wire.removed.iter().map(|name| name.parse());
        Ok(Self {
            cell,
            version: CellVersion {
                epoch: Epoch(wire.epoch),
                seq: CellSeq(wire.seq),
            },
            whole: wire.whole,
            changed: collect(wire.changed)?,
            removed: removed.collect::<Result<_, _>>()?,
        })
    }
}

impl From<&Object> for ObjectWire {
    fn from(object: &Object) -> Self {
        Self {
            key: object.key.to_string(),
            version: object.version.0,
            value: object.value.clone(),
        }
    }
}

impl From<ObjectWire> for Object {
    fn from(wire: ObjectWire) -> Self {
        Self {
            key: ObjectKey::new(wire.key),
            version: ObjectVersion(wire.version),
            value: wire.value,
        }
    }
}
