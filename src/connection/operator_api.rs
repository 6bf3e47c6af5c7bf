//! The HTTP endpoints for operators; see `docs/INTERFACES.md`, "Operators".

use std::sync::Arc;

use rand::Rng;
use serde::{Deserialize, Serialize};
use tide::{Request, Response, Server};

use super::auth;
use super::front::Cx;
use super::operator_wire::{
    AcceptedWire, AuditWire, ClassListWire, IndexStatusWire, StatusWire, TargetsWire,
    UpstreamStatusWire,
};
use super::query_api::read_body;
use super::query_wire::RefusalWire;
use crate::error::{ErrorKind, Refusal};
use crate::process::{
    AuditQuery, ClassChange, Instance, PlatformError, Precondition, Proposal, UpstreamLoad,
};
use crate::types::{ByteCount, ChangeId, ChangeNumber, ClassName, OperatorName, ParseError};
use crate::version::{Class, ClassWire, ClassesWire, Index, UpstreamSpec};

const MAX_BODY: ByteCount = ByteCount(64 << 10);
const MAX_AUDIT_ROWS: usize = 1_000;
const CHANGE_HEADER: &str = "hw-change";

#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AuditParams {
    class: Option<String>,
    before: Option<u64>,
    limit: Option<usize>,
}

/// Adds the operator endpoints to an instance's routes.
pub(super) fn route(app: &mut Server<Cx>) {
    app.at("/v1/operator/classes").get(list);
    app.at("/v1/operator/classes/:class")
        .get(show)
        .put(apply)
        .delete(remove);
    app.at("/v1/operator/status").get(status);
    app.at("/v1/operator/audit").get(audit);
}

async fn list(req: Request<Cx>) -> tide::Result {
    respond(list_classes(&req).await)
}

async fn show(req: Request<Cx>) -> tide::Result {
    let shown = async {
        let name: ClassName = class_name(&req)?;
        let list = list_classes(&req).await?;
        let mut found = list.classes.into_iter();
        found
            .find(|class| class.name == name.as_str())
            .ok_or_else(|| Refusal::new(ErrorKind::NotFound, format!("there is no class {name}")))
    };
    respond(shown.await)
}

async fn apply(mut req: Request<Cx>) -> tide::Result {
    let applied = async {
        let who = authenticate_operator(&req)?;
        let name = class_name(&req)?;
        let body = read_body(&mut req, MAX_BODY).await?;
        let class = Arc::new(TargetsWire::decode(&body)?.class(&name)?);
        let proposal = build_proposal(&req, who, ClassChange::Set(Arc::clone(&class)))?;
        let accepted = req.state().change_class(proposal).await?;
        let mut wire = AcceptedWire::from(&accepted);
        wire.warnings
            .extend(unknown_index_warning(req.state(), &class));
        Ok(wire)
    };
    respond(applied.await)
}

async fn remove(req: Request<Cx>) -> tide::Result {
    let removed = async {
        let who = authenticate_operator(&req)?;
        let proposal = build_proposal(&req, who, ClassChange::Remove(class_name(&req)?))?;
        let accepted = req.state().change_class(proposal).await?;
        Ok(AcceptedWire::from(&accepted))
    };
    respond(removed.await)
}

async fn status(req: Request<Cx>) -> tide::Result {
    respond(authenticate_operator(&req).map(|_| StatusWire::from(req.state().as_ref())))
}

async fn audit(req: Request<Cx>) -> tide::Result {
    let read = async {
        authenticate_operator(&req)?;
        let params: AuditParams = req
            .query()
            .map_err(|error| Refusal::new(ErrorKind::BadRequest, error.to_string()))?;
        let class = params.class.as_deref().map(str::parse);
        let query = AuditQuery {
            class: class.transpose().map_err(bad_request)?,
            before: params.before.map(ChangeNumber),
            limit: params.limit.unwrap_or(MAX_AUDIT_ROWS).min(MAX_AUDIT_ROWS),
        };
        let entries = req
            .state()
            .config
            .trail(&query)
            .await
            .map_err(platform_down)?;
        Ok(AuditWire::from(&entries))
    };
    respond(read.await)
}

async fn list_classes(req: &Request<Cx>) -> Result<ClassListWire, Refusal> {
    authenticate_operator(req)?;
    Ok(match req.state().config.read().await {
        Ok(current) => ClassListWire {
            config: current.version.map_or(0, |version| version.0),
            current: true,
            classes: ClassesWire::from(&current.classes).classes,
        },
        Err(_) => classes_in_force(req.state()),
    })
}

/// Returns the classes in force at this instance, for when the platform cannot be reached.
fn classes_in_force(instance: &Instance) -> ClassListWire {
    let directory = instance.engine.tables.directory();
    let classes = directory.classes.values();
    ClassListWire {
        config: directory.config.0,
        current: false,
        classes: classes.map(|class| ClassWire::from(&**class)).collect(),
    }
}

fn authenticate_operator(req: &Request<Cx>) -> Result<OperatorName, Refusal> {
    let refused = || {
        let detail = "a valid operator token is required in the header authorization: Bearer ...";
        Refusal::new(ErrorKind::Unauthenticated, detail)
    };
    let header = req.header("authorization").ok_or_else(refused)?;
    let (scheme, token) = header.last().as_str().split_once(' ').ok_or_else(refused)?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return Err(refused());
    }
    let instance = req.state();
    let keys = &instance.settings.operator_keys;
    auth::verify(keys, token.trim(), instance.clock.wall()).map_err(|error| {
        tracing::debug!(?error, "rejected an operator token");
        refused()
    })
}

fn class_name(req: &Request<Cx>) -> Result<ClassName, Refusal> {
    let name = req.param("class").unwrap_or_default();
    name.parse().map_err(bad_request)
}

fn build_proposal(
    req: &Request<Cx>,
    who: OperatorName,
    class_change: ClassChange,
) -> Result<Proposal, Refusal> {
    let id = match req.header(CHANGE_HEADER) {
        Some(id) => id.last().as_str().parse().map_err(bad_request)?,
        None => ChangeId(rand::rng().random()),
    };
    Ok(Proposal {
        id,
        at: req.state().clock.wall(),
        who,
        class_change,
        seen: precondition(req)?,
    })
}

/// Reads the precondition of a change: `If-Match` with the number of the change that set the
/// class, or `If-None-Match: *` if the class must not exist yet.
fn precondition(req: &Request<Cx>) -> Result<Precondition, Refusal> {
    let header = |name: &str| req.header(name).map(|values| values.last().as_str());
    match (header("if-match"), header("if-none-match")) {
        (Some(number), None) => {
            let number = number.trim_matches('"').parse().map_err(bad_request)?;
            Ok(Precondition::SetBy(number))
        }
        (None, Some("*")) => Ok(Precondition::Absent),
        _ => Err(Refusal::new(
            ErrorKind::BadRequest,
            "a change requires the header if-match with the number of the change that set the \
             class, or if-none-match: * to create the class",
        )),
    }
}

fn unknown_index_warning(instance: &Instance, class: &Class) -> Option<String> {
    let known = instance
        .engine
        .tables
        .directory()
        .indexes
        .contains_key(&class.index);
    let index = &class.index;
    (!known).then(|| format!("field index: {index} is not known to this instance yet"))
}

#[expect(clippy::needless_pass_by_value, reason = "it is passed to map_err")]
fn bad_request(error: ParseError) -> Refusal {
    Refusal::new(ErrorKind::BadRequest, error.to_string())
}

#[expect(clippy::needless_pass_by_value, reason = "it is passed to map_err")]
fn platform_down(error: PlatformError) -> Refusal {
    Refusal::new(ErrorKind::PlatformDown, error.to_string())
}

fn respond<T: Serialize>(outcome: Result<T, Refusal>) -> tide::Result {
    let (status, body) = match &outcome {
        Ok(wire) => (200, tide::Body::from_json(wire)?),
        Err(refusal) => (
            refusal.kind.row().status,
            tide::Body::from_json(&RefusalWire::from(refusal))?,
        ),
    };
    let res = Response::builder(status).body(body);
    Ok(match outcome {
        Err(refusal) if refusal.kind == ErrorKind::Unauthenticated => {
            res.header("www-authenticate", "Bearer").build()
        }
        _ => res.build(),
    })
}

impl From<&Instance> for StatusWire {
    fn from(instance: &Instance) -> Self {
        let now = instance.clock.now();
        let directory = instance.engine.tables.directory();
        let readiness = instance.members.lock().readiness(now);
        let loads = instance.engine.tables.upstreams.lock().loads(now);
        let settings = &instance.settings;
        let indexes = directory.indexes.values();
        let upstream_specs = indexes.clone().flat_map(|index| {
            let specs = index.upstreams.values();
            specs.map(move |spec| (index, spec))
        });
        let upstreams = upstream_specs
            .map(|(index, spec)| upstream_status(index, spec, loads.get(&spec.name).copied()))
            .collect();
        Self {
            name: settings.name.to_string(),
            failure_domain: settings.failure_domain.to_string(),
            region: settings.region.to_string(),
            readiness: readiness.to_string(),
            config: directory.config.0,
            indexes: indexes
                .map(|index| IndexStatusWire::from(&**index))
                .collect(),
            upstreams,
        }
    }
}

fn upstream_status(
    index: &Index,
    spec: &UpstreamSpec,
    load: Option<UpstreamLoad>,
) -> UpstreamStatusWire {
    UpstreamStatusWire {
        name: spec.name.to_string(),
        index: index.name.to_string(),
        addr: spec.addr.to_string(),
        failure_domain: spec.failure_domain.to_string(),
        leaving: spec.leaving,
        in_flight: load.map_or(0, |load| load.in_flight),
        expected_us: load.map(|load| load.expected.0),
    }
}

impl From<&Index> for IndexStatusWire {
    fn from(index: &Index) -> Self {
        let newest = index.snapshots.first();
        Self {
            name: index.name.to_string(),
            snapshot: newest.map(|snapshot| snapshot.id.0),
            shards: newest.map_or(0, |snapshot| snapshot.shards.len()),
        }
    }
}
