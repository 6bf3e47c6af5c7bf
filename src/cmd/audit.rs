//! `hyssopwalk audit`: lists the accepted and refused changes of classes.

use std::process::ExitCode;

use anyhow::Result;
use async_std::task::block_on;

use super::client::{ApiRequest, Client};
use super::operator_args::AuditArgs;
use super::table::{format_time, print_json, print_table};
use crate::connection::{AuditWire, RefusedChangeWire};
use crate::version::{ChangeWire, ClassWire};

impl AuditArgs {
    pub(crate) fn run(self) -> Result<ExitCode> {
        let client = Client::for_operator(&self.operator)?;
        let json = self.operator.ask.json;
        let audit: AuditWire = match block_on(client.send(&self.request())) {
            Ok(audit) => audit,
            Err(error) => return error.report(json),
        };
        if json {
            print_json(&audit)?;
            return Ok(ExitCode::SUCCESS);
        }
        print_entries(&audit)?;
        if let Some(next) = audit.next {
            eprintln!("hyssopwalk: there may be older changes; list them with --before {next}");
        }
        Ok(ExitCode::SUCCESS)
    }

    fn request(&self) -> ApiRequest {
        ApiRequest::get("/v1/operator/audit")
            .parameter("limit", Some(&self.limit))
            .parameter("class", self.class.as_ref())
            .parameter("before", self.before.as_ref())
    }
}

fn print_entries(audit: &AuditWire) -> Result<()> {
    let headings = ["WHEN", "WHO", "CLASS", "FROM", "TO", "OUTCOME"];
    let accepted = audit
        .accepted
        .iter()
        .map(|change| (change.at, accepted_row(change)));
    let refused = audit
        .refused
        .iter()
        .map(|change| (change.at, refused_row(change)));
    let mut rows: Vec<_> = accepted.chain(refused).collect();
    rows.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
    let rows: Vec<_> = rows.into_iter().map(|(_, row)| row).collect();
    print_table(&headings, &rows)
}

fn accepted_row(change: &ChangeWire) -> Vec<String> {
    vec![
        format_time(change.at),
        change.who.clone(),
        change.class.clone(),
        format_targets(change.from.as_ref()),
        format_targets(change.to.as_ref()),
        format!("accepted as change {}", change.number),
    ]
}

fn refused_row(change: &RefusedChangeWire) -> Vec<String> {
    let to = if change.removes { "removed" } else { "-" };
    vec![
        format_time(change.at),
        change.who.clone(),
        change.class.clone(),
        "-".to_owned(),
        to.to_owned(),
        format!("{}: {}", change.outcome, change.detail),
    ]
}

fn format_targets(class: Option<&ClassWire>) -> String {
    class.map_or_else(
        || "none".to_owned(),
        |class| {
            let kind = if class.repeatable {
                "repeatable"
            } else {
                "order"
            };
            format!(
                "{} {} {} +{} {kind}",
                class.index, class.latency, class.coverage, class.extra_load
            )
        },
    )
}
