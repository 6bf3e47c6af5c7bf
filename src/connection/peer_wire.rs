//! Messages between instances as `bincode`; see `docs/INTERFACES.md`, "Between
//! instances". Every decoder has a limit of bytes that it checks before it allocates.

use bincode::config::{self, Configuration, Limit};
use bincode::error::{DecodeError, EncodeError};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::fleet_wire::{FollowWire, NewsWire};
use crate::process::{
    Ask, CellDelta, CellId, CellVersion, Heartbeat, HeartbeatReply, Member, Met, Object, ObjectKey,
    Told,
};
use crate::types::{
    CellSeq, ConfigVersion, Epoch, Fingerprint, Incarnation, ObjectVersion, ParseError, Position,
    Span,
};

/// The version of this protocol; two instances must speak the same one.
pub(crate) const PROTOCOL: u16 = 1;
/// The largest message.
pub(crate) const MOST_MESSAGE_BYTES: usize = 4 << 20;
/// The largest message of a peer that has not proved that it has a key.
pub(crate) const MOST_HELLO_BYTES: usize = 1 << 10;

pub(crate) type Nonce = [u8; 32];
pub(crate) type Proof = [u8; 32];

/// Why a message cannot be read or written.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum PeerWireError {
    #[error("could not decode a message: {0}")]
    Decode(#[from] DecodeError),
    #[error("could not encode a message: {0}")]
    Encode(#[from] EncodeError),
    #[error("the message has {0} bytes after its end")]
    Trailing(usize),
    #[error("the message holds a bad value: {0}")]
    Value(#[from] ParseError),
    #[error("the message holds a bad address {0:?}")]
    Addr(String),
    #[error("the peer speaks version {0} of the protocol, not {PROTOCOL}")]
    Version(u16),
}

type Bounded<const MOST: usize> = Configuration<config::LittleEndian, config::Fixint, Limit<MOST>>;

fn bounded<const MOST: usize>() -> Bounded<MOST> {
    config::legacy().with_limit::<MOST>()
}

/// Encodes a message.
pub(crate) fn encode(message: &impl Serialize) -> Result<Vec<u8>, PeerWireError> {
    let config = bounded::<MOST_MESSAGE_BYTES>();
    Ok(bincode::serde::encode_to_vec(message, config)?)
}

/// Decodes a message of at most `MOST` bytes that ends where `bytes` end.
pub(crate) fn decode<T: DeserializeOwned, const MOST: usize>(
    bytes: &[u8],
) -> Result<T, PeerWireError> {
    let (message, used) = bincode::serde::decode_from_slice(bytes, bounded::<MOST>())?;
    match bytes.len() - used {
        0 => Ok(message),
        trailing => Err(PeerWireError::Trailing(trailing)),
    }
}

/// Reads the version that every hello begins with, before anything else of it.
pub(crate) fn version(bytes: &[u8]) -> Result<u16, PeerWireError> {
    let config = bounded::<MOST_HELLO_BYTES>();
    let (version, _) = bincode::serde::decode_from_slice::<u16, _>(bytes, config)?;
    if version == PROTOCOL {
        Ok(version)
    } else {
        Err(PeerWireError::Version(version))
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct HelloWire {
    pub(crate) version: u16,
    pub(crate) name: String,
    pub(crate) nonce: Nonce,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ChallengeWire {
    pub(crate) version: u16,
    pub(crate) nonce: Nonce,
    pub(crate) proofs: Vec<Proof>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ProofWire {
    pub(crate) proof: Proof,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum AskWire {
    Heartbeat(Box<HeartbeatWire>),
    Fetch(Vec<String>),
    Follow(Box<FollowWire>),
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum ToldWire {
    Heartbeat(Box<ReplyWire>),
    Objects(Vec<ObjectWire>),
    News(Box<NewsWire>),
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct MemberWire {
    name: String,
    incarnation: u64,
    addr: String,
    peer_addr: String,
    failure_domain: String,
    region: String,
    state: String,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct MetWire {
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
    met: Vec<MetWire>,
    poison: Vec<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ReplyWire {
    from: MemberWire,
    leading: Option<(String, u64)>,
    fresh: bool,
    said_config: u64,
    up_to: u64,
    more: bool,
    objects: Vec<(String, u64)>,
    cells: Vec<DeltaWire>,
    met: Vec<MetWire>,
    poison: Vec<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct DeltaWire {
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

impl From<&Member> for MemberWire {
    fn from(member: &Member) -> Self {
        Self {
            name: member.name.to_string(),
            incarnation: member.incarnation.0,
            addr: member.addr.to_string(),
            peer_addr: member.peer_addr.to_string(),
            failure_domain: member.failure_domain.to_string(),
            region: member.region.to_string(),
            state: member.state.to_string(),
        }
    }
}

impl TryFrom<MemberWire> for Member {
    type Error = PeerWireError;

    fn try_from(wire: MemberWire) -> Result<Self, PeerWireError> {
        Ok(Self {
            name: wire.name.parse()?,
            incarnation: Incarnation(wire.incarnation),
            addr: addr(wire.addr)?,
            peer_addr: addr(wire.peer_addr)?,
            failure_domain: wire.failure_domain.parse()?,
            region: wire.region.parse()?,
            state: wire.state.parse()?,
        })
    }
}

fn addr(text: String) -> Result<std::net::SocketAddr, PeerWireError> {
    text.parse().map_err(|_| PeerWireError::Addr(text))
}

impl From<&Met> for MetWire {
    fn from(met: &Met) -> Self {
        Self {
            member: MemberWire::from(&met.member),
            config: met.config.0,
            age_us: met.age.0,
        }
    }
}

impl TryFrom<MetWire> for Met {
    type Error = PeerWireError;

    fn try_from(wire: MetWire) -> Result<Self, PeerWireError> {
        Ok(Self {
            member: wire.member.try_into()?,
            config: ConfigVersion(wire.config),
            age: Span(wire.age_us),
        })
    }
}

impl From<&Ask> for AskWire {
    fn from(ask: &Ask) -> Self {
        match ask {
            Ask::Heartbeat(beat) => Self::Heartbeat(Box::new(beat.as_ref().into())),
            Ask::Fetch(keys) => Self::Fetch(keys.iter().map(ToString::to_string).collect()),
            Ask::Follow(follow) => Self::Follow(Box::new(follow.as_ref().into())),
        }
    }
}

impl TryFrom<AskWire> for Ask {
    type Error = PeerWireError;

    fn try_from(wire: AskWire) -> Result<Self, PeerWireError> {
        Ok(match wire {
            AskWire::Heartbeat(beat) => Self::Heartbeat(Box::new((*beat).try_into()?)),
            AskWire::Fetch(keys) => Self::Fetch(keys.into_iter().map(ObjectKey::new).collect()),
            AskWire::Follow(follow) => Self::Follow(Box::new((*follow).try_into()?)),
        })
    }
}

impl From<&Heartbeat> for HeartbeatWire {
    fn from(beat: &Heartbeat) -> Self {
        Self {
            from: MemberWire::from(&beat.from),
            cell: beat.cell.as_ref().map(ToString::to_string),
            config: beat.config.0,
            seen: beat.seen.0,
            seen_of: beat.seen_of.0,
            digest: beat.digest,
            met: beat.met.iter().map(MetWire::from).collect(),
            poison: beat.poison.iter().map(|one| one.0).collect(),
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

impl From<&Told> for ToldWire {
    fn from(told: &Told) -> Self {
        match told {
            Told::Heartbeat(reply) => Self::Heartbeat(Box::new(reply.as_ref().into())),
            Told::Objects(objects) => Self::Objects(
                objects
                    .iter()
                    .map(|object| ObjectWire::from(object.as_ref()))
                    .collect(),
            ),
            Told::News(news) => Self::News(Box::new(news.as_ref().into())),
        }
    }
}

impl TryFrom<ToldWire> for Told {
    type Error = PeerWireError;

    fn try_from(wire: ToldWire) -> Result<Self, PeerWireError> {
        Ok(match wire {
            ToldWire::Heartbeat(reply) => Self::Heartbeat(Box::new((*reply).try_into()?)),
            ToldWire::Objects(objects) => Self::Objects(
                objects
                    .into_iter()
                    .map(|object| Object::from(object).into())
                    .collect(),
            ),
            ToldWire::News(news) => Self::News(Box::new((*news).try_into()?)),
        })
    }
}

impl From<&HeartbeatReply> for ReplyWire {
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
            cells: reply.cells.iter().map(DeltaWire::from).collect(),
            met: reply.met.iter().map(MetWire::from).collect(),
            poison: reply.poison.iter().map(|one| one.0).collect(),
        }
    }
}

impl TryFrom<ReplyWire> for HeartbeatReply {
    type Error = PeerWireError;

    fn try_from(wire: ReplyWire) -> Result<Self, PeerWireError> {
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

impl From<&CellDelta> for DeltaWire {
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

impl TryFrom<DeltaWire> for CellDelta {
    type Error = PeerWireError;

    fn try_from(wire: DeltaWire) -> Result<Self, PeerWireError> {
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

fn collect<W, T>(wires: Vec<W>) -> Result<Vec<T>, PeerWireError>
where
    T: TryFrom<W, Error = PeerWireError>,
{
    wires.into_iter().map(T::try_from).collect()
}
