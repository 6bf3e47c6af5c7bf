//! `bincode` messages between instances; see `docs/INTERFACES.md`, "Between
//! instances". Every decoder checks a size limit before it allocates.

use bincode::config::{self, Configuration, Limit};
use bincode::error::{DecodeError, EncodeError};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::entry_wire::PartRequestWire;
use super::era_wire::EraUpdatesWire;
use super::fleet_wire::{FollowRequestWire, UpdatesWire};
use super::heartbeat_wire::{HeartbeatReplyWire, HeartbeatWire, ObjectWire};
use super::mark_wire::MarkWire;
use crate::process::{Member, Object, ObjectKey, PeerRequest, PeerResponse, Updates};
use crate::types::{Incarnation, ParseError};

/// The version of this protocol. Two instances must use the same version.
pub(crate) const PROTOCOL: u16 = 1;
/// The maximum size of a message.
pub(crate) const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// The maximum size of a message from a peer that is not authenticated yet.
pub(crate) const MAX_HELLO_BYTES: usize = 1 << 10;

pub(crate) type Nonce = [u8; 32];
pub(crate) type Proof = [u8; 32];

/// Why a message could not be encoded or decoded.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum PeerWireError {
    #[error("could not decode a message: {0}")]
    Decode(#[from] DecodeError),
    #[error("could not encode a message: {0}")]
    Encode(#[from] EncodeError),
    #[error("the message is followed by {0} trailing bytes")]
    Trailing(usize),
    #[error("the message contains an invalid value: {0}")]
    Value(#[from] ParseError),
    #[error("the message contains an invalid address {0:?}")]
    Addr(String),
    #[error("the peer uses protocol version {0} instead of {PROTOCOL}")]
    Version(u16),
    #[error("the peer sends large objects as an older version does")]
    OlderVersion,
}

type Bounded<const MAX_BYTES: usize> =
    Configuration<config::LittleEndian, config::Fixint, Limit<MAX_BYTES>>;

fn bounded<const MAX_BYTES: usize>() -> Bounded<MAX_BYTES> {
    config::legacy().with_limit::<MAX_BYTES>()
}

/// Encodes a message.
pub(crate) fn encode(message: &impl Serialize) -> Result<Vec<u8>, PeerWireError> {
    let config = bounded::<MAX_MESSAGE_BYTES>();
    Ok(bincode::serde::encode_to_vec(message, config)?)
}

/// Decodes a message of at most `MAX_BYTES` bytes; trailing bytes are an error.
pub(crate) fn decode<T: DeserializeOwned, const MAX_BYTES: usize>(
    bytes: &[u8],
) -> Result<T, PeerWireError> {
    let (message, used) = bincode::serde::decode_from_slice(bytes, bounded::<MAX_BYTES>())?;
    match bytes.len() - used {
        0 => Ok(message),
        trailing => Err(PeerWireError::Trailing(trailing)),
    }
}

/// Decodes and checks the version at the start of a hello or its challenge. The
/// version comes first, so that it can be checked before the rest is decoded.
pub(crate) fn version(bytes: &[u8]) -> Result<u16, PeerWireError> {
    let config = bounded::<MAX_HELLO_BYTES>();
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
pub(crate) enum PeerRequestWire {
    Heartbeat(Box<HeartbeatWire>),
    Fetch(Vec<String>),
    Follow(Box<FollowRequestWire>),
    /// Only the version before sends this. It is answered like `Follow`.
    FollowPart(Box<FollowRequestWire>, PartRequestWire),
    /// A follow request that also requests chunks of large objects.
    FollowChunks(Box<FollowRequestWire>, Vec<u128>),
    /// The version before cannot read this, and nothing depends on its answer.
    Marks(Vec<MarkWire>),
    /// A follow request of an instance that understands eras of the store. The version before
    /// refuses it, and gets one of the others instead.
    FollowEras(Box<FollowRequestWire>, Vec<u128>),
}

impl PeerRequestWire {
    /// Returns the request in the form that the version before can read.
    pub(super) fn without_eras(self) -> Self {
        match self {
            Self::FollowEras(follow, chunks) if chunks.is_empty() => Self::Follow(follow),
            Self::FollowEras(follow, chunks) => Self::FollowChunks(follow, chunks),
            other => other,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum PeerResponseWire {
    Heartbeat(Box<HeartbeatReplyWire>),
    Objects(Vec<ObjectWire>),
    News(Box<UpdatesWire>),
    /// Updates that are not complete: the sender has more for the follower.
    MoreNews(Box<UpdatesWire>),
    /// The answer to `FollowEras`.
    EraNews(Box<EraUpdatesWire>),
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

impl From<&PeerRequest> for PeerRequestWire {
    fn from(request: &PeerRequest) -> Self {
        match request {
            PeerRequest::Heartbeat(heartbeat) => {
                Self::Heartbeat(Box::new(heartbeat.as_ref().into()))
            }
            PeerRequest::Fetch(keys) => Self::Fetch(keys.iter().map(ToString::to_string).collect()),
            PeerRequest::Marks(reports) => {
                Self::Marks(reports.iter().map(MarkWire::from).collect())
            }
            PeerRequest::Follow(follow) => {
                let wire = Box::new(follow.as_ref().into());
                let chunks: Vec<u128> = follow.chunks.iter().map(|id| id.0).collect();
                match (follow.knows_eras, chunks.is_empty()) {
                    (true, _) => Self::FollowEras(wire, chunks),
                    (false, true) => Self::Follow(wire),
                    (false, false) => Self::FollowChunks(wire, chunks),
                }
            }
        }
    }
}

impl TryFrom<PeerRequestWire> for PeerRequest {
    type Error = PeerWireError;

    fn try_from(wire: PeerRequestWire) -> Result<Self, PeerWireError> {
        Ok(match wire {
            PeerRequestWire::Heartbeat(heartbeat) => {
                Self::Heartbeat(Box::new((*heartbeat).try_into()?))
            }
            PeerRequestWire::Fetch(keys) => {
                Self::Fetch(keys.into_iter().map(ObjectKey::new).collect())
            }
            PeerRequestWire::Follow(follow) | PeerRequestWire::FollowPart(follow, _) => {
                Self::Follow(Box::new((*follow).try_into()?))
            }
            PeerRequestWire::Marks(marks) => Self::Marks(collect(marks)?),
            PeerRequestWire::FollowChunks(follow, chunks) => {
                Self::Follow(Box::new(follow.with_chunks(chunks, false)?))
            }
            PeerRequestWire::FollowEras(follow, chunks) => {
                Self::Follow(Box::new(follow.with_chunks(chunks, true)?))
            }
        })
    }
}

impl From<&PeerResponse> for PeerResponseWire {
    fn from(response: &PeerResponse) -> Self {
        match response {
            PeerResponse::Heartbeat(reply) => Self::Heartbeat(Box::new(reply.as_ref().into())),
            PeerResponse::Objects(objects) => Self::Objects(
                objects
                    .iter()
                    .map(|object| ObjectWire::from(object.as_ref()))
                    .collect(),
            ),
            PeerResponse::News(updates) => {
                let wire = || Box::new(updates.as_ref().into());
                match (updates.era, updates.is_complete) {
                    (Some(era), _) => Self::EraNews(Box::new(EraUpdatesWire::new(updates, era))),
                    (None, true) => Self::News(wire()),
                    (None, false) => Self::MoreNews(wire()),
                }
            }
        }
    }
}

impl TryFrom<PeerResponseWire> for PeerResponse {
    type Error = PeerWireError;

    fn try_from(wire: PeerResponseWire) -> Result<Self, PeerWireError> {
        Ok(match wire {
            PeerResponseWire::Heartbeat(reply) => Self::Heartbeat(Box::new((*reply).try_into()?)),
            PeerResponseWire::Objects(objects) => Self::Objects(
                objects
                    .into_iter()
                    .map(|object| Object::from(object).into())
                    .collect(),
            ),
            PeerResponseWire::News(updates) => Self::News(Box::new((*updates).try_into()?)),
            PeerResponseWire::MoreNews(updates) => Self::News(Box::new(Updates {
                is_complete: false,
                ..(*updates).try_into()?
            })),
            PeerResponseWire::EraNews(updates) => Self::News(Box::new((*updates).try_into()?)),
        })
    }
}

/// Converts every element of a list in a message.
pub(super) fn collect<W, T>(wires: Vec<W>) -> Result<Vec<T>, PeerWireError>
where
    T: TryFrom<W, Error = PeerWireError>,
{
    wires.into_iter().map(T::try_from).collect()
}
