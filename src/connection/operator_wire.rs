//! JSON messages from and to operators. Requests are decoded strictly: an unknown field is
//! refused, and the refusal names the field.

use serde::{Deserialize, Serialize};

use crate::error::{ErrorKind, Refusal};
use crate::process::{Accepted, AuditEntries, RefusedChange};
use crate::types::ClassName;
use crate::version::{ChangeWire, Class, ClassWire, WireError};

/// The targets of a class as sent by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetsWire {
    /// The index that the class queries.
    pub index: String,
    /// The target latency, such as `170ms`.
    pub latency: String,
    /// The target coverage, such as `99.5%`.
    pub coverage: String,
    /// The target for extra load, such as `5%`.
    pub extra_load: String,
    /// Whether a request may run more than once.
    pub repeatable: bool,
}

/// The list of all classes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClassListWire {
    /// The version of the configuration.
    pub config: u64,
    /// Whether the list comes from the platform. If not, it holds the classes in force at the
    /// instance, and the numbers of the changes that set them are unknown.
    pub current: bool,
    /// The classes.
    pub classes: Vec<ClassWire>,
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AcceptedWire {
    /// The version of the configuration that first contains the change.
    pub config: u64,
    /// The change.
    pub change: ChangeWire,
    /// Warnings for the operator, such as an index that does not exist yet.
    pub warnings: Vec<String>,
}

/// One page of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AuditWire {
    /// Accepted changes, newest first.
    pub accepted: Vec<ChangeWire>,
    /// The value of `before` that requests the next page; none on the last page.
    pub next: Option<u64>,
    /// Refused changes, newest first.
    pub refused: Vec<RefusedChangeWire>,
    /// The number of further refused changes that were counted but not recorded.
    pub omitted: u64,
}

/// A refused change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RefusedChangeWire {
    /// The id that the sender chose for the change.
    pub id: String,
    /// The time of the change, in seconds since 1970.
    pub at: u64,
    /// The operator who sent the change.
    pub who: String,
    /// The class to be changed.
    pub class: String,
    /// Whether the change was to remove the class.
    pub removes: bool,
    /// The kind of the refusal.
    pub outcome: String,
    /// One sentence for a person.
    pub detail: String,
}

/// The status of one instance and of the upstreams as it observes them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StatusWire {
    /// The instance's name.
    pub name: String,
    /// The failure domain that it belongs to.
    pub failure_domain: String,
    /// The region of that failure domain.
    pub region: String,
    /// Whether callers may be routed to the instance: `ready`, `learning`, `stale` or `leaving`.
    pub readiness: String,
    /// The version of the configuration in force at the instance.
    pub config: u64,
    /// The indexes known to the instance.
    pub indexes: Vec<IndexStatusWire>,
    /// The upstreams that the indexes list.
    pub upstreams: Vec<UpstreamStatusWire>,
}

/// The state of one index at an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct IndexStatusWire {
    /// The index's name.
    pub name: String,
    /// The newest snapshot; none if no snapshot is published.
    pub snapshot: Option<u64>,
    /// The number of shards of that snapshot.
    pub shards: usize,
}

/// The state of one upstream as observed by an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamStatusWire {
    /// The upstream's name.
    pub name: String,
    /// The index that lists the upstream.
    pub index: String,
    /// IP address and port.
    pub addr: String,
    /// The failure domain that it belongs to.
    pub failure_domain: String,
    /// Whether the platform has marked it as leaving.
    pub leaving: bool,
    /// Legs in flight from this instance.
    pub in_flight: u32,
    /// The expected duration of a leg, in microseconds; none before the first leg.
    pub expected_us: Option<u64>,
}

impl TargetsWire {
    /// Decodes targets from JSON and refuses unknown fields.
    ///
    /// # Errors
    /// [`ErrorKind::BadTarget`] with the field's name, or [`ErrorKind::BadRequest`] if
    /// the body is not a JSON object.
    pub(super) fn decode(body: &[u8]) -> Result<Self, Refusal> {
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

    /// Builds the class with the given name and these targets.
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

impl From<&AuditEntries> for AuditWire {
    /// A change whose outcome was unknown when it was recorded as refused, and that was accepted
    /// after all, is listed only as accepted.
    fn from(entries: &AuditEntries) -> Self {
        let was_accepted = |refused: &RefusedChange| {
            let is_accepted = entries
                .accepted
                .iter()
                .any(|change| change.id == refused.id);
            refused.is_unsettled() && is_accepted
        };
        let refused = entries.refused.rows.iter().rev();
        Self {
            accepted: entries.accepted.iter().map(ChangeWire::from).collect(),
            next: entries.next.map(|next| next.0),
            refused: refused
                .filter(|refused| !was_accepted(refused))
                .map(RefusedChangeWire::from)
                .collect(),
            omitted: entries.refused.omitted,
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
