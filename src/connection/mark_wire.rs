//! The `bincode` types of the marks of requests; see `peer_wire.rs` for the encoding.

use serde::{Deserialize, Serialize};

use super::peer_wire::PeerWireError;
use crate::process::{IncidentReport, MarkReport};
use crate::types::{Fingerprint, Span, UpstreamName};

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct MarkWire {
    request: u64,
    replied_age_us: Option<u64>,
    incidents: Vec<IncidentWire>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct IncidentWire {
    id: u64,
    age_us: u64,
    /// The upstreams whose connections were lost, and how long ago.
    losses: Vec<(String, u64)>,
}

impl From<&MarkReport> for MarkWire {
    fn from(report: &MarkReport) -> Self {
        Self {
            request: report.request.0,
            replied_age_us: report.replied.map(|age| age.0),
            incidents: report.incidents.iter().map(IncidentWire::from).collect(),
        }
    }
}

impl TryFrom<MarkWire> for MarkReport {
    type Error = PeerWireError;

    fn try_from(wire: MarkWire) -> Result<Self, PeerWireError> {
        let incidents = wire.incidents.into_iter().map(IncidentReport::try_from);
        Ok(Self {
            request: Fingerprint(wire.request),
            replied: wire.replied_age_us.map(Span),
            incidents: incidents.collect::<Result<_, _>>()?,
        })
    }
}

impl From<&IncidentReport> for IncidentWire {
    fn from(report: &IncidentReport) -> Self {
        let losses = report.losses.iter();
        Self {
            id: report.id,
            age_us: report.age.0,
            losses: losses
                .map(|(upstream, age)| (upstream.to_string(), age.0))
                .collect(),
        }
    }
}

impl TryFrom<IncidentWire> for IncidentReport {
    type Error = PeerWireError;

    fn try_from(wire: IncidentWire) -> Result<Self, PeerWireError> {
        let loss = |(upstream, age_us): (String, u64)| -> Result<_, PeerWireError> {
            Ok((upstream.parse::<UpstreamName>()?, Span(age_us)))
        };
        let losses = wire.losses.into_iter().map(loss);
        Ok(Self {
            id: wire.id,
            age: Span(wire.age_us),
            losses: losses.collect::<Result<_, _>>()?,
        })
    }
}
