//! `hyssopwalk status`: shows every instance and its active configuration.

use std::net::SocketAddr;
use std::process::ExitCode;

use anyhow::Result;
use async_std::task::block_on;
use futures::StreamExt;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::client::{ApiRequest, Client, ClientError};
use super::operator_args::StatusArgs;
use super::table::{print_json, print_table};
use crate::connection::{MemberStatusWire, MembersWire, StatusWire, UpstreamStatusWire};

const STATUS_PATH: &str = "/v1/operator/status";
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// The status of every instance.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
struct FleetWire {
    instances: Vec<StatusWire>,
    /// Instances that the first one lists as members and that did not answer.
    silent: Vec<MemberStatusWire>,
}

impl StatusArgs {
    pub(crate) fn run(self) -> Result<ExitCode> {
        let client = Client::for_operator(&self.operator)?;
        let json = self.operator.ask.json;
        let fleet = match block_on(fetch_all(&client)) {
            Ok(fleet) => fleet,
            Err(error) => return error.report(json),
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

/// Requests the list of members from one instance, and the status from each of them.
async fn fetch_all(client: &Client) -> Result<FleetWire, ClientError> {
    let first: StatusWire = client.send(&ApiRequest::get(STATUS_PATH)).await?;
    let members: MembersWire = client.send(&ApiRequest::get("/v1/members")).await?;
    let others = members.cells.into_iter().flat_map(|cell| cell.members);
    let own_name = first.name.clone();
    let others = others.filter(|member| member.name != own_name);
    let requests = others.map(|member| async {
        let status = fetch_member(client, &member).await;
        (member, status)
    });
    let mut replies = futures::stream::iter(requests).buffer_unordered(MAX_CONCURRENT_REQUESTS);
    let mut fleet = FleetWire {
        instances: vec![first],
        silent: Vec::new(),
    };
    while let Some((member, status)) = replies.next().await {
        match status {
            Some(status) => fleet.instances.push(status),
            None => fleet.silent.push(member),
        }
    }
    fleet.instances.sort_by(|a, b| a.name.cmp(&b.name));
    fleet.silent.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(fleet)
}

async fn fetch_member(client: &Client, member: &MemberStatusWire) -> Option<StatusWire> {
    let addr: SocketAddr = member.addr.parse().ok()?;
    client
        .for_instance(addr)
        .send(&ApiRequest::get(STATUS_PATH))
        .await
        .ok()
}

fn print_instances(fleet: &FleetWire) -> Result<()> {
    let headings = [
        "INSTANCE",
        "FAILURE DOMAIN",
        "REGION",
        "STATE",
        "CONFIGURATION",
    ];
    let reachable = fleet.instances.iter().map(|status| {
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
    print_table(&headings, &reachable.chain(silent).collect::<Vec<_>>())
}

fn print_upstreams(fleet: &FleetWire) -> Result<()> {
    let headings = [
        "UPSTREAM",
        "INDEX",
        "FAILURE DOMAIN",
        "STATE",
        "LEGS IN FLIGHT",
        "EXPECTED",
    ];
    let rows: Vec<_> = merge_upstreams(fleet).values().map(upstream_row).collect();
    print_table(&headings, &rows)
}

/// Merges the upstreams of all instances: sums their legs and takes the longest expected time.
fn merge_upstreams(fleet: &FleetWire) -> IndexMap<String, UpstreamStatusWire> {
    let mut merged: IndexMap<String, UpstreamStatusWire> = IndexMap::new();
    for upstream in fleet.instances.iter().flat_map(|status| &status.upstreams) {
        match merged.get_mut(&upstream.name) {
            Some(total) => {
                total.in_flight += upstream.in_flight;
                total.expected_us = total.expected_us.max(upstream.expected_us);
                total.leaving |= upstream.leaving;
            }
            None => {
                merged.insert(upstream.name.clone(), upstream.clone());
            }
        }
    }
    merged
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
