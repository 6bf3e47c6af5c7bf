//! The endpoints that say which instances there are, and which of them to use.

use serde::{Deserialize, Serialize};
use tide::{Request, Response, Server};

use super::front::Cx;
use super::query_wire::RefusalWire;
use crate::error::{ErrorKind, Refusal};
use crate::process::{Instance, Member, Near, Readiness, Role, Summary, choose_addresses};
use crate::types::{CallerName, ParseError};

const UNNAMED_CALLER: &str = "unnamed";

/// Which addresses a caller should use.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AddressesWire {
    /// How long the answer may be kept, in milliseconds.
    pub keep_ms: u64,
    /// The addresses, the one to try first in front.
    pub addresses: Vec<AddressWire>,
}

/// One address.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AddressWire {
    /// The instance's name.
    pub name: String,
    /// IP number and port.
    pub addr: String,
    /// The failure domain it stands in.
    pub failure_domain: String,
}

/// What an instance knows of itself and the others.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MembersWire {
    /// The instance that answers.
    pub name: String,
    /// Whether callers may be sent to it: `ready`, `learning`, `stale` or `leaving`.
    pub readiness: String,
    /// The configuration in force there.
    pub config: u64,
    /// Its cell, once it has joined one.
    pub cell: Option<String>,
    /// What it is in its cell: `leading`, `following` or `orphan`.
    pub role: String,
    /// The epoch of the leader that it follows or is.
    pub epoch: Option<u64>,
    /// What is left of the lease that it holds, in milliseconds.
    pub lease_left_ms: u64,
    /// The cells in the order in which it heard of them.
    pub cells: Vec<CellStatusWire>,
}

/// One cell.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CellStatusWire {
    /// Its name.
    pub cell: String,
    /// The epoch of the summary.
    pub epoch: u64,
    /// The summary's place within the epoch.
    pub seq: u64,
    /// Its instances.
    pub members: Vec<MemberStatusWire>,
}

/// One instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberStatusWire {
    /// Its name.
    pub name: String,
    /// Where callers connect.
    pub addr: String,
    /// Where other instances connect.
    pub peer_addr: String,
    /// `joining`, `live` or `leaving`.
    pub state: String,
}

#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AddressQuery {
    caller: Option<String>,
    failure_domain: Option<String>,
    region: Option<String>,
}

/// Adds the endpoints to an instance's routes.
pub(super) fn route(app: &mut Server<Cx>) {
    app.at("/v1/addresses").get(addresses);
    app.at("/v1/members").get(members);
    app.at("/healthz").get(health);
    app.at("/readyz").get(ready);
}

async fn addresses(req: Request<Cx>) -> tide::Result {
    match choose(&req) {
        Ok(wire) => json(200, &wire),
        Err(refusal) => json(refusal.kind.row().status, &RefusalWire::from(&refusal)),
    }
}

fn choose(req: &Request<Cx>) -> Result<AddressesWire, Refusal> {
    let query: AddressQuery = req
        .query()
        .map_err(|error| Refusal::new(ErrorKind::BadRequest, error.to_string()))?;
    let caller = query.caller.as_deref().unwrap_or(UNNAMED_CALLER);
    let caller: CallerName = caller.parse().map_err(bad_request)?;
    let near = Near {
        failure_domain: parse(query.failure_domain.as_deref())?,
        region: parse(query.region.as_deref())?,
    };
    let instance = req.state();
    let now = instance.clock.now();
    let candidates = instance.members.lock().candidates(now);
    let chosen = choose_addresses(&candidates, &caller, &near);
    if chosen.is_empty() {
        return Err(Refusal::new(
            ErrorKind::Stopping,
            "no instance takes new callers",
        ));
    }
    Ok(AddressesWire {
        keep_ms: instance.settings.address_keep.as_millis(),
        addresses: chosen.into_iter().map(AddressWire::from).collect(),
    })
}

fn parse<T: std::str::FromStr<Err = ParseError>>(text: Option<&str>) -> Result<Option<T>, Refusal> {
    text.map(str::parse).transpose().map_err(bad_request)
}

#[expect(clippy::needless_pass_by_value, reason = "it is passed to map_err")]
fn bad_request(error: ParseError) -> Refusal {
    Refusal::new(ErrorKind::BadRequest, error.to_string())
}

async fn members(req: Request<Cx>) -> tide::Result {
    json(200, &MembersWire::from(req.state().as_ref()))
}

async fn health(_: Request<Cx>) -> tide::Result {
    Ok(Response::new(200))
}

async fn ready(req: Request<Cx>) -> tide::Result {
    let readiness = readiness(req.state());
    let status = if readiness == Readiness::Ready {
        200
    } else {
        503
    };
    Ok(Response::builder(status)
        .body(readiness.to_string())
        .build())
}

fn readiness(instance: &Instance) -> Readiness {
    let now = instance.clock.now();
    instance.members.lock().readiness(now)
}

fn json(status: u16, wire: &impl Serialize) -> tide::Result {
    let body = tide::Body::from_json(wire)?;
    Ok(Response::builder(status).body(body).build())
}

impl From<&Member> for AddressWire {
    fn from(member: &Member) -> Self {
        Self {
            name: member.name.to_string(),
            addr: member.addr.to_string(),
            failure_domain: member.failure_domain.to_string(),
        }
    }
}

impl From<&Instance> for MembersWire {
    fn from(instance: &Instance) -> Self {
        let now = instance.clock.now();
        let members = instance.members.lock();
        let (role, epoch) = match members.role(now) {
            Role::Leading(epoch) => ("leading", Some(epoch.0)),
            Role::Following(epoch) => ("following", Some(epoch.0)),
            Role::Orphan => ("orphan", None),
        };
        let summaries = members.summaries();
        Self {
            name: members.me().name.to_string(),
            readiness: members.readiness(now).to_string(),
            config: members.config().0,
            cell: members.cell().map(ToString::to_string),
            role: role.to_owned(),
            epoch,
            lease_left_ms: members.lease.left(now).as_millis(),
            cells: summaries.iter().map(CellStatusWire::from).collect(),
        }
    }
}

impl From<&Summary> for CellStatusWire {
    fn from(summary: &Summary) -> Self {
        Self {
            cell: summary.cell.to_string(),
            epoch: summary.version.epoch.0,
            seq: summary.version.seq.0,
            members: summary
                .members
                .values()
                .map(MemberStatusWire::from)
                .collect(),
        }
    }
}

impl From<&Member> for MemberStatusWire {
    fn from(member: &Member) -> Self {
        Self {
            name: member.name.to_string(),
            addr: member.addr.to_string(),
            peer_addr: member.peer_addr.to_string(),
            state: member.state.to_string(),
        }
    }
}
