//! What operators send and are sent, as JSON. What they send is read strictly: a field
//! that is not known is refused by its name.

use serde::{Deserialize, Serialize};

use crate::error::{ErrorKind, Refusal};
use crate::process::{Accepted, RefusedChange, Trail};
use crate::types::ClassName;
use crate::version::{ChangeWire, Class, ClassWire, WireError};

/// The targets of a class, as an operator sends them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetsWire {
    /// The index that the class queries.
    pub index: String,
    /// The target of latency, such as `170ms`.
    pub latency: String,
    /// The target of coverage, such as `99.5%`.
    pub coverage: String,
    /// The target of extra load, such as `5%`.
    pub extra_load: String,
    /// Whether a request may run more than once.
    pub repeatable: bool,
}

/// All classes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClassListWire {
    /// The version of the configuration.
    pub config: u64,
    /// Whether the platform was asked; when not, the classes are those in force at the
    /// instance, and the numbers of their changes are not known.
    pub current: bool,
    /// The classes.
    pub classes: Vec<ClassWire>,
}

/// A change that is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AcceptedWire {
    /// The version of the configuration from which on it is in force.
    pub config: u64,
    /// The change.
    pub change: ChangeWire,
    /// What the operator should know, such as an index that is not there yet.
    pub warnings: Vec<String>,
}

/// A part of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AuditWire {
    /// Accepted changes, newest first.
    pub accepted: Vec<ChangeWire>,
    /// What to send as `before` for older ones; none when there are no more.
    pub next: Option<u64>,
    /// Refused changes, newest first.
    pub refused: Vec<RefusedChangeWire>,
    /// How many more were refused than were kept.
    pub omitted: u64,
}

/// A refused change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RefusedChangeWire {
    /// The id that its sender gave it.
    pub id: String,
    /// When, in seconds since 1970.
    pub at: u64,
    /// Which operator.
    pub who: String,
    /// The class it was about.
    pub class: String,
    /// Whether it would have removed the class.
    pub removes: bool,
    /// The kind of the refusal.
    pub outcome: String,
    /// One sentence for a person.
    pub detail: String,
}

/// What one instance knows of itself and the upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StatusWire {
    /// The instance's name.
    pub name: String,
    /// The failure domain it stands in.
    pub failure_domain: String,
    /// The region of that failure domain.
    pub region: String,
    /// Whether callers may be sent to it: `ready`, `learning`, `stale` or `leaving`.
    pub readiness: String,
    /// The version of the configuration in force there.
    pub config: u64,
    /// The indexes it knows.
    pub indexes: Vec<IndexStatusWire>,
    /// The upstreams that the indexes name.
    pub upstreams: Vec<UpstreamStatusWire>,
}

/// One index, as an instance knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct IndexStatusWire {
    /// The index's name.
    pub name: String,
    /// The newest snapshot; none when none is published.
    pub snapshot: Option<u64>,
    /// How many shards that has.
    pub shards: usize,
}

/// One upstream, as an instance observes it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamStatusWire {
    /// The upstream's name.
    pub name: String,
    /// The index that names it.
    pub index: String,
    /// IP number and port.
    pub addr: String,
    /// The failure domain it stands in.
    pub failure_domain: String,
    /// Whether the platform says that it is leaving.
    pub leaving: bool,
    /// Legs under way from this instance.
    pub in_flight: u32,
    /// What a leg is expected to take, in microseconds; none before the first.
    pub expected_us: Option<u64>,
}

impl TargetsWire {
    /// Reads targets strictly.
    ///
    /// # Errors
    /// [`ErrorKind::BadTarget`] with the field's name, or [`ErrorKind::BadRequest`] when
    /// the text is not JSON.
    pub(super) fn read(body: &[u8]) -> Result<Self, Refusal> {
        if !body.trim_ascii_start().starts_with(b"{") {
            return Err(Refusal::new(
                ErrorKind::BadRequest,
                "the body is not a JSON object",
            ));
        }
        serde_json::from_slice(body).map_err(|error| {
            let kind = if error.is_data() {
                ErrorKind::BadTarget
            } else {
                ErrorKind::BadRequest
            };
            Refusal::new(kind, error.to_string())
        })
    }

    /// The class of that name with these targets.
    ///
    /// # Errors
    /// [`ErrorKind::BadTarget`] with the field's name.
    pub(super) fn class(self, name: &ClassName) -> Result<Class, Refusal> {
        let wire = ClassWire {
            name: name.to_string(),
            index: self.index,
            latency: self.latency,
            coverage: self.coverage,
            extra_load: self.extra_load,
            repeatable: self.repeatable,
            change: 0,
        };
        Class::try_from(&wire)
            .map_err(|error: WireError| Refusal::new(ErrorKind::BadTarget, error.to_string()))
    }
}

impl From<&Accepted> for AcceptedWire {
    fn from(accepted: &Accepted) -> Self {
        Self {
            config: accepted.version.0,
            change: ChangeWire::from(&accepted.change),
            warnings: Vec::new(),
        }
    }
}

impl From<&Trail> for AuditWire {
    /// A change that was in doubt and turned out to be accepted is shown as accepted.
    fn from(trail: &Trail) -> Self {
        let accepted = |refused: &RefusedChange| {
            let settled = trail.accepted.iter().any(|change| change.id == refused.id);
            refused.is_unsettled() && settled
        };
        let refused = trail.refused.rows.iter().rev();
        Self {
            accepted: trail.accepted.iter().map(ChangeWire::from).collect(),
            next: trail.next.map(|next| next.0),
            refused: refused
                .filter(|refused| !accepted(refused))
                .map(RefusedChangeWire::from)
                .collect(),
            omitted: trail.refused.omitted,
        }
    }
}

impl From<&RefusedChange> for RefusedChangeWire {
    fn from(refused: &RefusedChange) -> Self {
        Self {
            id: refused.id.to_string(),
            at: refused.at.0,
            who: refused.who.to_string(),
            class: refused.name.to_string(),
            removes: refused.removes,
            outcome: refused.outcome.clone(),
            detail: refused.detail.clone(),
        }
    }
}
