//! Shares with other instances which requests lost their connections to upstreams, and which had a
//! reply since.
//!
//! Each instance passes on what is new to it to a few others, which reaches all of them within
//! a few steps. In a large fleet a first incident goes to one instance only. See `docs/DESIGN.md`,
//! "Poison requests".

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::channel::Receiver;
use async_std::task::sleep;
use futures::future::join_all;
use http::StatusCode;
use indexmap::{IndexMap, IndexSet};

use super::Node;
use crate::connection::PeerError;
use crate::process::cells::{Member, MemberState};
use crate::process::{AddressedReport, Audience, MarkReport, PeerRequest};
use crate::types::{Fingerprint, Incarnation, Span};

/// How many other instances are told directly, within the number of connections that are kept open.
const RECIPIENTS: u32 = 6;
/// How long changes are collected for one message.
const SHARE_DELAY: Span = Span::from_millis(100);
/// The pause between two messages, while marks change all the time.
const SHARE_INTERVAL: Span = Span::from_millis(300);
const SEND_TIMEOUT: Span = Span::from_millis(900);

/// A round in which no trial takes place.
const COLLECTOR_ROUND: u64 = u64::MAX;

/// The instances of the version before, which cannot read marks and close the connection.
type OlderInstances = IndexMap<SocketAddr, Incarnation>;

/// Sends marks to other instances as they change, until the process ends.
pub(super) async fn share(node: Arc<Node>, updates: Receiver<()>) {
    let mut older = OlderInstances::new();
    while updates.recv().await.is_ok() {
        sleep(SHARE_DELAY.as_duration()).await;
        let reports = {
            let mut suspects = node.engine.tables.suspects.lock();
            suspects.take_reports(node.clock.now())
        };
        if !reports.is_empty() {
            log(&node, &reports);
            send(&node, reports, &mut older).await;
        }
        sleep(SHARE_INTERVAL.as_duration()).await;
        node.engine.tables.suspects.lock().wake_if_unshared();
    }
}

fn log(node: &Node, reports: &[AddressedReport]) {
    for AddressedReport { report, audience } in reports {
        if let Some(suppressed) = node.engine.may_log() {
            let (request, incidents) = (report.request, report.incidents.len());
            let lost = report.lost_upstreams();
            let replied = report.replied.map(|age| age.to_string());
            tracing::info!(%request, incidents, lost, replied, ?audience, left_out = suppressed, "shares the mark of a request that lost its connections");
        }
    }
}

async fn send(node: &Node, reports: Vec<AddressedReport>, older: &mut OlderInstances) {
    let mut messages: IndexMap<(SocketAddr, Incarnation), Vec<MarkReport>> = IndexMap::new();
    {
        let me = &node.settings.me.member;
        let fleet = node.fleet.lock();
        let present: Vec<&Member> = fleet.present().map(|record| &record.member).collect();
        let is_small = present.len() <= RECIPIENTS as usize + 1;
        for AddressedReport { report, audience } in reports {
            let recipients = match audience {
                Audience::Collector if !is_small => {
                    let collector = elect(present.iter().copied(), report.request, COLLECTOR_ROUND);
                    let other = collector.filter(|member| member.name != me.name);
                    other.into_iter().collect()
                }
                Audience::Collector | Audience::All => recipients(present.clone(), me),
            };
            for member in recipients {
                let address = (member.peer_addr, member.incarnation);
                messages.entry(address).or_default().push(report.clone());
            }
        }
    }
    messages.retain(|(addr, incarnation), _| older.get(addr) != Some(incarnation));
    let sent = messages.into_iter().map(|(address, reports)| async move {
        let request = PeerRequest::Marks(reports);
        let outcome = node.peers.request(address.0, &request, SEND_TIMEOUT).await;
        (address, outcome)
    });
    for ((addr, incarnation), outcome) in join_all(sent).await {
        let Err(error) = outcome else {
            continue;
        };
        tracing::debug!(%addr, %error, "could not share marks of requests with an instance");
        if matches!(error, PeerError::Refused(StatusCode::BAD_REQUEST)) {
            older.insert(addr, incarnation);
        }
    }
}

/// Returns the live instance that all instances which know the same others choose for a request.
fn elect<'a>(
    present: impl Iterator<Item = &'a Member>,
    request: Fingerprint,
    round: u64,
) -> Option<&'a Member> {
    let live = present.filter(|member| member.state <= MemberState::Live);
    live.max_by_key(|member| request.rendezvous_weight(round, &member.name))
}

/// Chooses whom this instance tells: the same ones each time, so that connections are kept. On a ring
/// in the order of the names' hashes their distances are powers of two, spread over the whole ring.
/// Each is told by as many as it tells, and a mark reaches all within a few steps.
fn recipients<'a>(mut present: Vec<&'a Member>, me: &Member) -> Vec<&'a Member> {
    present.sort_by_cached_key(|member| Fingerprint::of_name(&member.name));
    let Some(own) = present.iter().position(|member| member.name == me.name) else {
        return Vec::new();
    };
    present.rotate_left(own);
    let others = &present[1..];
    if others.len() <= RECIPIENTS as usize {
        return others.to_vec();
    }
    let doublings = others.len().ilog2();
    let distances = (0..RECIPIENTS).map(|number| 1 << (number * doublings / (RECIPIENTS - 1)));
    let distances: IndexSet<usize> = distances.collect();
    let chosen = distances.into_iter();
    chosen.map(|distance| others[distance - 1]).collect()
}

impl Node {
    /// Whether this is the one instance that may try the request in that turn.
    pub(super) fn owns_trial(&self, request: Fingerprint, turn: u64) -> bool {
        let fleet = self.fleet.lock();
        let present = fleet.present().map(|record| &record.member);
        let owner = elect(present, request, turn);
        owner.is_none_or(|owner| owner.name == self.settings.me.member.name)
    }
}

#[cfg(test)]
#[path = "marks_tests.rs"]
mod marks_tests;
