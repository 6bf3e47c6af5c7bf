//! `hyssopwalk audit`: shows who changed which class, and what became of it.

use std::process::ExitCode;

use anyhow::Result;
use async_std::task::block_on;

use super::client::{Ask, Client};
use super::operator_args::AuditArgs;
use super::table::{date, print_json, print_table};
use crate::connection::{AuditWire, RefusedChangeWire};
use crate::version::{ChangeWire, ClassWire};

impl AuditArgs {
    pub(crate) fn run(self) -> Result<ExitCode> {
        let client = Client::operator(&self.operator)?;
        let json = self.operator.ask.json;
        let audit: AuditWire = match block_on(client.ask(&self.request())) {
            Ok(audit) => audit,
            Err(failure) => return failure.report(json),
        };
        if json {
            print_json(&audit)?;
            return Ok(ExitCode::SUCCESS);
        }
        print_trail(&audit)?;
        if let Some(next) = audit.next {
            eprintln!("hyssopwalk: there may be older changes; see them with --before {next}");
        }
        Ok(ExitCode::SUCCESS)
    }

    fn request(&self) -> Ask {
        Ask::get("/v1/operator/audit")
            .parameter("limit", Some(&self.limit))
            .parameter("class", self.class.as_ref())
            .parameter("before", self.before.as_ref())
    }
}

fn print_trail(audit: &AuditWire) -> Result<()> {
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
        date(change.at),
        change.who.clone(),
        change.class.clone(),
        targets(change.from.as_ref()),
        targets(change.to.as_ref()),
        format!("accepted as change {}", change.number),
    ]
}

fn refused_row(change: &RefusedChangeWire) -> Vec<String> {
    let to = if change.removes { "removed" } else { "-" };
    vec![
        date(change.at),
        change.who.clone(),
        change.class.clone(),
        "-".to_owned(),
        to.to_owned(),
        format!("{}: {}", change.outcome, change.detail),
    ]
}

fn targets(class: Option<&ClassWire>) -> String {
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
