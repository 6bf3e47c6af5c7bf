//! `hyssopwalk status`: shows every instance and the configuration in force there.

use std::net::SocketAddr;
use std::process::ExitCode;

use anyhow::Result;
use async_std::task::block_on;
use futures::StreamExt;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::client::{Ask, Client, Failure};
use super::operator_args::StatusArgs;
use super::table::{print_json, print_table};
use crate::connection::{MemberStatusWire, MembersWire, StatusWire, UpstreamStatusWire};

const STATUS: &str = "/v1/operator/status";
const ASKED_AT_ONCE: usize = 32;

/// What all instances say of themselves.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
struct FleetWire {
    instances: Vec<StatusWire>,
    /// Instances that the first one knows of and that did not answer.
    silent: Vec<MemberStatusWire>,
}

impl StatusArgs {
    pub(crate) fn run(self) -> Result<ExitCode> {
        let client = Client::operator(&self.operator)?;
        let json = self.operator.ask.json;
        let fleet = match block_on(ask_all(&client)) {
            Ok(fleet) => fleet,
            Err(failure) => return failure.report(json),
        };
        if json {
            print_json(&fleet)?;
        } else if self.upstreams {
            print_upstreams(&fleet)?;
        } else {
            print_instances(&fleet)?;
        }
        Ok(ExitCode::SUCCESS)
    }
}

/// Asks one instance who there is, and then each of those.
async fn ask_all(client: &Client) -> Result<FleetWire, Failure> {
    let first: StatusWire = client.ask(&Ask::get(STATUS)).await?;
    let members: MembersWire = client.ask(&Ask::get("/v1/members")).await?;
    let others = members.cells.into_iter().flat_map(|cell| cell.members);
    let own_name = first.name.clone();
    let others = others.filter(|member| member.name != own_name);
    let asked = others.map(|member| async {
        let status = ask_member(client, &member).await;
        (member, status)
    });
    let mut asked = futures::stream::iter(asked).buffer_unordered(ASKED_AT_ONCE);
    let mut fleet = FleetWire {
        instances: vec![first],
        silent: Vec::new(),
    };
    while let Some((member, status)) = asked.next().await {
        match status {
            Some(status) => fleet.instances.push(status),
            None => fleet.silent.push(member),
        }
    }
    fleet.instances.sort_by(|a, b| a.name.cmp(&b.name));
    fleet.silent.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(fleet)
}

async fn ask_member(client: &Client, member: &MemberStatusWire) -> Option<StatusWire> {
    let addr: SocketAddr = member.addr.parse().ok()?;
    client.only(addr).ask(&Ask::get(STATUS)).await.ok()
}

fn print_instances(fleet: &FleetWire) -> Result<()> {
    let headings = [
        "INSTANCE",
        "FAILURE DOMAIN",
        "REGION",
        "STATE",
        "CONFIGURATION",
    ];
    let known = fleet.instances.iter().map(|status| {
        vec![
            status.name.clone(),
            status.failure_domain.clone(),
            status.region.clone(),
            status.readiness.clone(),
            status.config.to_string(),
        ]
    });
    let silent = fleet.silent.iter().map(|member| {
        let dash = || "-".to_owned();
        let state = format!("{}, no answer", member.state);
        vec![member.name.clone(), dash(), dash(), state, dash()]
    });
    print_table(&headings, &known.chain(silent).collect::<Vec<_>>())
}

fn print_upstreams(fleet: &FleetWire) -> Result<()> {
    let headings = [
        "UPSTREAM",
        "INDEX",
        "FAILURE DOMAIN",
        "STATE",
        "LEGS UNDER WAY",
        "EXPECTED",
    ];
    let rows: Vec<_> = sum_upstreams(fleet).values().map(upstream_row).collect();
    print_table(&headings, &rows)
}

/// The upstreams of all instances: legs added up, the longest expected time.
fn sum_upstreams(fleet: &FleetWire) -> IndexMap<String, UpstreamStatusWire> {
    let mut sums: IndexMap<String, UpstreamStatusWire> = IndexMap::new();
    for upstream in fleet.instances.iter().flat_map(|status| &status.upstreams) {
        match sums.get_mut(&upstream.name) {
            Some(sum) => {
                sum.in_flight += upstream.in_flight;
                sum.expected_us = sum.expected_us.max(upstream.expected_us);
                sum.leaving |= upstream.leaving;
            }
            None => {
                sums.insert(upstream.name.clone(), upstream.clone());
            }
        }
    }
    sums
}

fn upstream_row(upstream: &UpstreamStatusWire) -> Vec<String> {
    let state = if upstream.leaving {
        "leaving"
    } else {
        "listed"
    };
    let expected = upstream.expected_us;
    vec![
        upstream.name.clone(),
        upstream.index.clone(),
        upstream.failure_domain.clone(),
        state.to_owned(),
        upstream.in_flight.to_string(),
        expected.map_or_else(|| "-".to_owned(), |micros| format!("{micros}us")),
    ]
}
