//! The `bincode` types of follow requests and updates; see `peer_wire.rs` for the encoding.

use serde::{Deserialize, Serialize};

use super::entry_wire::{EntryWire, entries, received};
use super::peer_wire::{MemberWire, PeerWireError, collect};
use crate::process::{
    FollowReason, FollowRequest, InstanceRecord, SilenceReport, SilentReplica, Updates,
};
use crate::types::{ChunkId, Fingerprint, Incarnation, InstanceName, Position, Span};

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct InstanceRecordWire {
    member: MemberWire,
    seq: u64,
    capacity: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum FollowReasonWire {
    Follows,
    Joins,
    Looks,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct SilenceReportWire {
    upstream: String,
    by: String,
    age_us: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct SilentReplicaWire {
    upstream: String,
    age_us: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct FollowRequestWire {
    from: InstanceRecordWire,
    reason: FollowReasonWire,
    of: u64,
    objects: u64,
    members: u64,
    learned: Vec<InstanceRecordWire>,
    poison: Vec<u64>,
    silent: Vec<SilenceReportWire>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct UpdatesWire {
    from: InstanceRecordWire,
    of: u64,
    age_us: Option<u64>,
    via: Vec<String>,
    objects: Vec<EntryWire>,
    objects_to: u64,
    members: Vec<InstanceRecordWire>,
    members_to: u64,
    poison: Vec<u64>,
    silent: Vec<SilentReplicaWire>,
}

impl From<&InstanceRecord> for InstanceRecordWire {
    fn from(instance_record: &InstanceRecord) -> Self {
        Self {
            member: MemberWire::from(&instance_record.member),
            seq: instance_record.seq,
            capacity: instance_record.capacity,
        }
    }
}

impl TryFrom<InstanceRecordWire> for InstanceRecord {
    type Error = PeerWireError;

    fn try_from(wire: InstanceRecordWire) -> Result<Self, PeerWireError> {
        Ok(Self {
            member: wire.member.try_into()?,
            seq: wire.seq,
            capacity: wire.capacity,
        })
    }
}

impl From<FollowReason> for FollowReasonWire {
    fn from(reason: FollowReason) -> Self {
        match reason {
            FollowReason::Follows => Self::Follows,
            FollowReason::Joins => Self::Joins,
            FollowReason::Looks => Self::Looks,
        }
    }
}

impl From<FollowReasonWire> for FollowReason {
    fn from(wire: FollowReasonWire) -> Self {
        match wire {
            FollowReasonWire::Follows => Self::Follows,
            FollowReasonWire::Joins => Self::Joins,
            FollowReasonWire::Looks => Self::Looks,
        }
    }
}

impl From<&SilenceReport> for SilenceReportWire {
    fn from(report: &SilenceReport) -> Self {
        Self {
            upstream: report.upstream.to_string(),
            by: report.by.to_string(),
            age_us: report.age.0,
        }
    }
}

impl TryFrom<SilenceReportWire> for SilenceReport {
    type Error = PeerWireError;

    fn try_from(wire: SilenceReportWire) -> Result<Self, PeerWireError> {
        Ok(Self {
            upstream: wire.upstream.parse()?,
            by: wire.by.parse()?,
            age: Span(wire.age_us),
        })
    }
}

impl From<&SilentReplica> for SilentReplicaWire {
    fn from(silent: &SilentReplica) -> Self {
        Self {
            upstream: silent.upstream.to_string(),
            age_us: silent.age.0,
        }
    }
}

impl TryFrom<SilentReplicaWire> for SilentReplica {
    type Error = PeerWireError;

    fn try_from(wire: SilentReplicaWire) -> Result<Self, PeerWireError> {
        Ok(Self {
            upstream: wire.upstream.parse()?,
            age: Span(wire.age_us),
        })
    }
}

impl From<&FollowRequest> for FollowRequestWire {
    fn from(follow: &FollowRequest) -> Self {
        Self {
            from: InstanceRecordWire::from(&follow.from),
            reason: follow.reason.into(),
            of: follow.of.0,
            objects: follow.objects.0,
            members: follow.members.0,
            learned: follow
                .learned
                .iter()
                .map(InstanceRecordWire::from)
                .collect(),
            poison: follow
                .poison
                .iter()
                .map(|fingerprint| fingerprint.0)
                .collect(),
            silent: follow.silent.iter().map(SilenceReportWire::from).collect(),
        }
    }
}

impl TryFrom<FollowRequestWire> for FollowRequest {
    type Error = PeerWireError;

    fn try_from(wire: FollowRequestWire) -> Result<Self, PeerWireError> {
        Ok(Self {
            from: wire.from.try_into()?,
            reason: wire.reason.into(),
            of: Incarnation(wire.of),
            objects: Position(wire.objects),
            members: Position(wire.members),
            learned: collect(wire.learned)?,
            poison: wire.poison.into_iter().map(Fingerprint).collect(),
            silent: collect(wire.silent)?,
            chunks: Vec::new(),
            knows_eras: false,
        })
    }
}

impl FollowRequestWire {
    /// Decodes a follow request that came with a request for chunks.
    pub(super) fn with_chunks(
        self,
        chunks: Vec<u128>,
        knows_eras: bool,
    ) -> Result<FollowRequest, PeerWireError> {
        let chunks = chunks.into_iter().map(ChunkId).collect();
        Ok(FollowRequest {
            chunks,
            knows_eras,
            ..self.try_into()?
        })
    }
}

impl From<&Updates> for UpdatesWire {
    fn from(updates: &Updates) -> Self {
        Self {
            from: InstanceRecordWire::from(&updates.from),
            of: updates.of.0,
            age_us: updates.age.map(|age| age.0),
            via: updates.via.iter().map(ToString::to_string).collect(),
            objects: match updates.era {
                Some(_) => Vec::new(),
                None => entries(updates),
            },
            objects_to: updates.objects_to.0,
            members: updates
                .members
                .iter()
                .map(InstanceRecordWire::from)
                .collect(),
            members_to: updates.members_to.0,
            poison: updates
                .poison
                .iter()
                .map(|fingerprint| fingerprint.0)
                .collect(),
            silent: updates.silent.iter().map(SilentReplicaWire::from).collect(),
        }
    }
}

impl TryFrom<UpdatesWire> for Updates {
    type Error = PeerWireError;

    fn try_from(wire: UpdatesWire) -> Result<Self, PeerWireError> {
        let via: Result<Vec<InstanceName>, _> = wire.via.iter().map(|name| name.parse()).collect();
        let received = received(wire.objects)?;
        Ok(Self {
            from: wire.from.try_into()?,
            of: Incarnation(wire.of),
            era: None,
            age: wire.age_us.map(Span),
            via: via?,
            objects: received.entries,
            large: received.large,
            chunks: received.chunks,
            objects_to: Position(wire.objects_to),
            is_complete: true,
            members: collect(wire.members)?,
            members_to: Position(wire.members_to),
            poison: wire.poison.into_iter().map(Fingerprint).collect(),
            silent: collect(wire.silent)?,
        })
    }
}
