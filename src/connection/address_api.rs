//! The HTTP endpoints for addresses, membership, health and readiness.

use serde::{Deserialize, Serialize};
use tide::{Request, Response, Server};

use super::front::Cx;
use super::query_wire::RefusalWire;
use crate::error::{ErrorKind, Refusal};
use crate::process::{
    CallerLocation, Instance, Member, Readiness, Role, Summary, choose_addresses,
};
use crate::types::{CallerName, ParseError};

const UNNAMED_CALLER: &str = "unnamed";

/// The addresses that a caller should use.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AddressesWire {
    /// How long the caller may cache this response, in milliseconds.
    pub keep_ms: u64,
    /// The addresses, in the order in which to try them.
    pub addresses: Vec<AddressWire>,
}

/// One address of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AddressWire {
    /// The instance's name.
    pub name: String,
    /// IP address and port.
    pub addr: String,
    /// The failure domain of the instance.
    pub failure_domain: String,
}

/// The state of the responding instance and its view of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MembersWire {
    /// The name of the responding instance.
    pub name: String,
    /// Whether the instance may receive callers: `ready`, `learning`, `stale` or `leaving`.
    pub readiness: String,
    /// The version of its active configuration.
    pub config: u64,
    /// Its cell, if it has joined one.
    pub cell: Option<String>,
    /// Its role in the cell: `leading`, `following` or `orphan`.
    pub role: String,
    /// The epoch of the cell's leader, unless the instance is an orphan.
    pub epoch: Option<u64>,
    /// The remaining time of the lease that it holds, in milliseconds.
    pub lease_left_ms: u64,
    /// The cells, in the order in which the instance learned of them.
    pub cells: Vec<CellStatusWire>,
}

/// The latest summary of one cell.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CellStatusWire {
    /// The name of the cell.
    pub cell: String,
    /// The epoch of the summary.
    pub epoch: u64,
    /// The sequence number of the summary within the epoch.
    pub seq: u64,
    /// The instances of the cell.
    pub members: Vec<MemberStatusWire>,
}

/// One instance of a cell.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberStatusWire {
    /// The name of the instance.
    pub name: String,
    /// The address for callers.
    pub addr: String,
    /// The address for other instances.
    pub peer_addr: String,
    /// The membership state: `joining`, `live` or `leaving`.
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

/// Adds the endpoints to the routes of an instance.
pub(super) fn route(app: &mut Server<Cx>) {
    app.at("/v1/addresses").get(addresses);
    app.at("/v1/members").get(members);
    app.at("/healthz").get(health);
    app.at("/readyz").get(ready);
}

async fn addresses(req: Request<Cx>) -> tide::Result {
    match choose_addresses_for(&req) {
        Ok(wire) => json_response(200, &wire),
        Err(refusal) => json_response(refusal.kind.row().status, &RefusalWire::from(&refusal)),
    }
}

fn choose_addresses_for(req: &Request<Cx>) -> Result<AddressesWire, Refusal> {
    let query: AddressQuery = req
        .query()
        .map_err(|error| Refusal::new(ErrorKind::BadRequest, error.to_string()))?;
    let caller = query.caller.as_deref().unwrap_or(UNNAMED_CALLER);
    let caller: CallerName = caller.parse().map_err(bad_request)?;
    let location = CallerLocation {
        failure_domain: parse_optional(query.failure_domain.as_deref())?,
        region: parse_optional(query.region.as_deref())?,
    };
    let instance = req.state();
    let now = instance.clock.now();
    let candidates = instance.members.lock().candidates(now);
    let chosen = choose_addresses(&candidates, &caller, &location);
    if chosen.is_empty() {
        return Err(Refusal::new(
            ErrorKind::Stopping,
            "no instance accepts new callers",
        ));
    }
    Ok(AddressesWire {
        keep_ms: instance.settings.address_keep.as_millis(),
        addresses: chosen.into_iter().map(AddressWire::from).collect(),
    })
}

fn parse_optional<T: std::str::FromStr<Err = ParseError>>(
    text: Option<&str>,
) -> Result<Option<T>, Refusal> {
    text.map(str::parse).transpose().map_err(bad_request)
}

#[expect(clippy::needless_pass_by_value, reason = "it is passed to map_err")]
fn bad_request(error: ParseError) -> Refusal {
    Refusal::new(ErrorKind::BadRequest, error.to_string())
}

async fn members(req: Request<Cx>) -> tide::Result {
    json_response(200, &MembersWire::from(req.state().as_ref()))
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

fn json_response(status: u16, wire: &impl Serialize) -> tide::Result {
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
